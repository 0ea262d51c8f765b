// Package config defines the settings of a process, with their defaults, validation, descriptions and dump.
package config

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Host holds the settings of an entry host. Describe returns a description of each of them.
type Host struct {
	ID                string            `json:"id"`
	Domain            string            `json:"domain"`
	WitnessGroup      string            `json:"group"`
	Listen            Listen            `json:"listen"`
	Platform          Platform          `json:"platform"`
	Secret            Secret            `json:"secret"`
	Credential        Secret            `json:"credential"`
	TLS               TLS               `json:"tls"`
	Limits            Limits            `json:"limits"`
	FreshnessWindow   document.Duration `json:"window"`
	TablePollInterval document.Duration `json:"poll"`
	BalancerLag       document.Duration `json:"lag"`
	HoldersPerAccount int               `json:"holders"`
	Overcommit        float64           `json:"overcommit"`
	Placement         Placement         `json:"placement"`
	Log               Log               `json:"log"`
	TimelineSize      int               `json:"ring"`
}

// Listen holds the addresses of the listeners, each an IP number and a port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Platform holds the addresses of the platform's services, each an IP number and a port.
type Platform struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	Hosts   string `json:"hosts"`
	Weights string `json:"weights"`
}

// TLS holds the certificates of each listener.
type TLS struct {
	Callers   TLSFiles `json:"callers"`
	Operators TLSFiles `json:"operators"`
	Peers     TLSFiles `json:"peers"`
}

// TLSFiles holds the names of the PEM files of a listener's certificate.
type TLSFiles struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"` // authorities of the other side's certificates
}

// HasCertificate reports whether a certificate is set, and TLS is thereby enabled.
func (f TLSFiles) HasCertificate() bool { return f.Cert != "" }

// Limits bounds the sizes, number and durations of connections and requests.
type Limits struct {
	MaxBodyBytes   int64             `json:"body"`        // bytes
	MaxHeaderBytes int               `json:"header"`      // bytes
	MaxConnections int               `json:"connections"` // open connections of callers
	ReadTimeout    document.Duration `json:"read"`        // for reading a request
	IdleTimeout    document.Duration `json:"idle"`        // of a connection without a request
	CallTimeout    document.Duration `json:"call"`        // from the arrival of a request to the end of its response
}

// Placement limits the loads from the weight store, over all pools, and states the throughput of a replica.
type Placement struct {
	ModelLoadRate    float64 `json:"rate"`    // model loads per second
	MaxModelLoads    int     `json:"full"`    // concurrent model loads that the weight store serves at full speed
	MaxAdapterLoads  int     `json:"knee"`    // concurrent adapter loads above which each of them becomes slower
	TokensPerReplica float64 `json:"replica"` // tokens per second that one replica of a model serves; 0: replicas as in the pools table
}

// Log holds the least severe level that is logged, and the format of log lines.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Default returns the default settings of a host; required settings are empty.
func Default() Host {
	var h Host
	if err := json.Unmarshal(defaultDocument(), &h); err != nil {
		panic("config: unable to decode the defaults: " + err.Error()) // a default in hostFields has the wrong type
	}
	return h
}

// Parse decodes settings, applies defaults for those that are missing, and validates them. The error is of type
// document.Problems.
func Parse(data []byte) (Host, error) {
	h := Default()
	if err := document.Decode(data, &h); err != nil {
		return Host{}, err
	}
	if err := h.Validate(); err != nil {
		return Host{}, err
	}
	return h, nil
}

// Load reads and parses a file of settings. Problems with the settings have the name of the file.
func Load(file string) (Host, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Host{}, errors.Annotate(err, "config: unable to read the settings of a host")
	}
	h, err := Parse(data)
	var problems document.Problems
	if errors.As(err, &problems) {
		return Host{}, problems.WithFile(file)
	}
	return h, err
}

// Dump returns the settings as indented JSON, with secrets masked.
func (h Host) Dump() ([]byte, error) {
	data, err := json.MarshalIndent(h, "", "  ")
	if err != nil {
		return nil, errors.Annotate(err, "config: unable to encode the settings of a host")
	}
	return append(data, '\n'), nil
}
