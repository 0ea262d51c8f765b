package config

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Field describes one setting of a host.
type Field struct {
	Path        string // JSON names, separated by dots
	Default     string // as JSON; empty if the setting is required
	Allowed     string // description of the accepted values
	Description string // meaning of the setting
	Secret      bool   // whether dumps mask the value
}

// hostFields describes the settings of Host, in the order of docs/configuration.md. Only this table defines their defaults.
var hostFields = []Field{
	{Path: "id", Default: `""`, Allowed: "a name", Description: "id of the process, different from that of every earlier process; empty: a new random id."},
	{Path: "domain", Allowed: "a name", Description: "failure domain in which the host runs."},
	{Path: "group", Default: `"all"`, Allowed: "a name", Description: "witness group; the hosts of a group inform each other of changes."},
	{Path: "listen.callers", Default: `"127.0.0.1:8080"`, Allowed: "an IP number with a port", Description: "listener for callers."},
	{Path: "listen.operators", Default: `"127.0.0.1:8081"`, Allowed: "an IP number with a port", Description: "listener for operators, health and metrics."},
	{Path: "listen.peers", Default: `"127.0.0.1:8082"`, Allowed: "an IP number, not the unspecified one, with a port", Description: "listener for other hosts; the address is published to them."},
	{Path: "platform.table", Allowed: "an IP number with a port", Description: "address of the table service."},
	{Path: "platform.objects", Allowed: "an IP number with a port", Description: "address of the object store."},
	{Path: "platform.hosts", Allowed: "an IP number with a port", Description: "address of the list of live and leaving hosts."},
	{Path: "platform.weights", Default: `""`, Allowed: "an IP number with a port", Description: "address of the weight store; empty: it is not watched."},
	{Path: "secret", Default: `""`, Allowed: "16 characters or more", Description: "secret shared by all hosts. This or tls.peers is required if listen.peers is not a loopback address.", Secret: true},
	{Path: "credential", Default: `""`, Allowed: "16 characters or more", Description: "bearer token of operators. Required if listen.operators is not a loopback address.", Secret: true},
	{Path: "tls.callers.cert", Default: `""`, Allowed: "a PEM file", Description: "certificate of the listener for callers; empty: no TLS."},
	{Path: "tls.callers.key", Default: `""`, Allowed: "a PEM file", Description: "private key of the certificate."},
	{Path: "tls.callers.ca", Default: `""`, Allowed: "a PEM file", Description: "authorities whose client certificates are required; empty: none required."},
	{Path: "tls.operators.cert", Default: `""`, Allowed: "a PEM file", Description: "certificate of the listener for operators; empty: no TLS."},
	{Path: "tls.operators.key", Default: `""`, Allowed: "a PEM file", Description: "private key of the certificate."},
	{Path: "tls.operators.ca", Default: `""`, Allowed: "a PEM file", Description: "authorities whose client certificates are required; empty: none required."},
	{Path: "tls.peers.cert", Default: `""`, Allowed: "a PEM file", Description: "certificate of the host towards other hosts, as server and as client; empty: the secret is used."},
	{Path: "tls.peers.key", Default: `""`, Allowed: "a PEM file", Description: "private key of the certificate."},
	{Path: "tls.peers.ca", Default: `""`, Allowed: "a PEM file", Description: "authorities of the other hosts' certificates; required with tls.peers.cert."},
	{Path: "limits.body", Default: `1048576`, Allowed: "1024 to 1073741824 bytes", Description: "largest request body."},
	{Path: "limits.header", Default: `16384`, Allowed: "1024 to 1048576 bytes", Description: "largest request header."},
	{Path: "limits.connections", Default: `4096`, Allowed: "1 to 1000000", Description: "largest number of open connections of callers."},
	{Path: "limits.read", Default: `"10s"`, Allowed: "more than 0s", Description: "longest time for reading a request."},
	{Path: "limits.idle", Default: `"1m"`, Allowed: "more than 0s", Description: "longest time that a connection stays open without a request."},
	{Path: "limits.call", Default: `"10m"`, Allowed: "more than 0s", Description: "longest time for a call, from the arrival of its request to the end of its response."},
	{Path: "window", Default: `"3s"`, Allowed: "500ms to 5s, at least twice poll", Description: "freshness window: how long a host stays fresh after an exchange. It must be the same on all hosts."},
	{Path: "poll", Default: `"1s"`, Allowed: "50ms or more", Description: "time between reads of the table service."},
	{Path: "lag", Default: `"3s"`, Allowed: "0s to 1m", Description: "how long a draining host continues to accept requests, so that the balancer has time to notice the drain."},
	{Path: "holders", Default: `5`, Allowed: "1 to 64", Description: "hosts among which the rate and burst of an account are divided. It must be the same on all hosts."},
	{Path: "overcommit", Default: `1`, Allowed: "1 to 4", Description: "calls that may run on an endpoint at once, as a multiple of its slots; further ones wait in the host's queue."},
	{Path: "placement.rate", Default: `2`, Allowed: "0.01 to 10000", Description: "model loads per second that the weight store serves, for all pools together."},
	{Path: "placement.full", Default: `10`, Allowed: "1 to 10000", Description: "concurrent model loads that the weight store serves at full speed, for all pools together."},
	{Path: "placement.knee", Default: `90`, Allowed: "1 to 100000", Description: "concurrent adapter loads above which each of them becomes slower, for all pools together."},
	{Path: "placement.replica", Default: `450`, Allowed: "0 to 1000000", Description: "tokens per second that one replica of a model serves; replicas are added as demand requires. 0: only the replicas that the pools table states."},
	{Path: "log.level", Default: `"info"`, Allowed: "trace, debug, info, warn or error", Description: "least severe level of lines that are logged."},
	{Path: "log.format", Default: `"text"`, Allowed: "text or json", Description: "format of log lines."},
	{Path: "ring", Default: `16384`, Allowed: "16 to 1048576", Description: "number of timeline events that a host keeps in memory."},
}

// Describe returns a description of every setting of a host.
func Describe() []Field { return append([]Field(nil), hostFields...) }

// Markdown returns the content of docs/configuration.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings of a host\n\nA host reads one JSON file. Bad settings are rejected as a whole; unknown fields are errors.\n" +
		"This page is generated from the table of fields in package `config`.\n\n" +
		"| setting | default | allowed | meaning |\n|---|---|---|---|\n")
	for _, f := range hostFields {
		value := "required"
		if f.Default != "" {
			value = "`" + f.Default + "`"
		}
		text := f.Description
		if f.Secret {
			text += " Masked in dumps."
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Path, value, f.Allowed, text)
	}
	return b.String()
}

// defaultDocument returns a JSON document with the defaults of all settings of a host that have one.
func defaultDocument() []byte {
	root := map[string]any{}
	for _, f := range hostFields {
		if f.Default == "" {
			continue
		}
		object := root
		parts := strings.Split(f.Path, ".")
		for _, part := range parts[:len(parts)-1] {
			if object[part] == nil {
				object[part] = map[string]any{}
			}
			object = object[part].(map[string]any)
		}
		object[parts[len(parts)-1]] = json.RawMessage(f.Default)
	}
	data, err := json.Marshal(root)
	if err != nil {
		panic("config: unable to encode the defaults: " + err.Error()) // a default in hostFields is not valid JSON
	}
	return data
}

// allowedValues returns the description of the accepted values of a setting.
func allowedValues(path string) string {
	for _, f := range hostFields {
		if f.Path == path {
			return f.Allowed
		}
	}
	return "a documented setting"
}
