package config

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Defaults of settings that a platform states itself.
const (
	defaultGrace       = 8 * time.Second
	defaultLease       = 3 * time.Second
	defaultDrain       = 2 * time.Second
	defaultApply       = 2 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultTrust       = 10 * time.Second // within seconds, and above the pauses of a store that is slow
)

// minTrust is above the time between two answers of a store that is well.
const minTrust = 6 * time.Second

// Entry holds the settings of an entry host on a platform whose endpoints register themselves.
type Entry struct {
	Name      string            `json:"name"`
	Domain    string            `json:"domain"`
	Callers   string            `json:"callers"`   // listener, IP number and port
	Ready     string            `json:"ready"`     // listener of the balancer's check
	Peers     string            `json:"peers"`     // listener for other hosts
	Reachable string            `json:"reachable"` // address of it that other hosts use, where it is not the listener's own
	Operators string            `json:"operators"` // listener for metrics and status
	Store     string            `json:"store"`     // address of the platform's store
	Memory    int64             `json:"memory"`    // megabytes that the process may use
	Grace     document.Duration `json:"grace"`     // between SIGTERM and the end of the process
	Lease     document.Duration `json:"lease"`     // least time between orders of two hosts
	Drain     document.Duration `json:"drain"`     // after which an endpoint that has said that it leaves gets no request
	Apply     document.Duration `json:"apply"`     // within which a change of the configuration must be in force
	Trust     document.Duration `json:"trust"`     // without contact, after which keys are no longer relied on
	Retries   Retries           `json:"retries"`
	Log       Log               `json:"log"`
}

// Retries bounds the attempts after the first, over all hosts.
type Retries struct {
	Share  float64           `json:"share"` // of the requests
	Floor  float64           `json:"floor"` // attempts in a window
	Window document.Duration `json:"window"`
}

// DefaultEntry returns the settings that a file may leave out.
func DefaultEntry() Entry {
	return Entry{
		Memory:  256,
		Grace:   document.Duration(defaultGrace),
		Lease:   document.Duration(defaultLease),
		Drain:   document.Duration(defaultDrain),
		Apply:   document.Duration(defaultApply),
		Trust:   document.Duration(defaultTrust),
		Retries: Retries{Share: 0.2, Floor: 10, Window: document.Duration(defaultRetryWindow)},
		Log:     Log{Level: "info", Format: "json"},
	}
}

// ParseEntry reads settings over the defaults and validates them. The error is of type document.Problems.
func ParseEntry(data []byte) (Entry, error) {
	e := DefaultEntry()
	if err := document.Decode(data, &e); err != nil {
		return Entry{}, err
	}
	if err := e.Validate(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// LoadEntry reads the settings in a file. Problems carry the file's name.
func LoadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.Annotate(err, "config: unable to read the settings")
	}
	e, err := ParseEntry(data)
	var problems document.Problems
	if errors.As(err, &problems) {
		return Entry{}, problems.WithFile(file)
	}
	return e, err
}

// Dump writes the settings in force as JSON.
func (e Entry) Dump() ([]byte, error) {
	data, err := json.MarshalIndent(e, "", "  ")
	if err != nil {
		return nil, errors.Annotate(err, "config: unable to write the settings")
	}
	return append(data, '\n'), nil
}

// Validate finds everything that is wrong with the settings. The error is of type document.Problems.
func (e Entry) Validate() error {
	c := &document.Checker{}
	c.Require(document.ValidName(e.Name), "name", e.Name, "a name")
	c.Require(document.ValidName(e.Domain), "domain", e.Domain, "a name")
	used := map[netip.AddrPort]string{}
	for _, l := range []struct{ path, address string }{
		{"callers", e.Callers}, {"ready", e.Ready}, {"peers", e.Peers}, {"operators", e.Operators}, {"store", e.Store},
	} {
		address, err := netip.ParseAddrPort(l.address)
		c.Require(err == nil, l.path, l.address, "an IP number with a port")
		if err != nil || address.Port() == 0 {
			continue
		}
		c.Require(used[address] == "", l.path, l.address, "an address other than that of "+used[address])
		used[address] = l.path
	}
	if e.Reachable != "" {
		_, err := netip.ParseAddrPort(e.Reachable)
		c.Require(err == nil, "reachable", e.Reachable, "an IP number with a port")
	}
	c.Require(e.Memory >= 32 && e.Memory <= 1<<20, "memory", e.Memory, "32 to 1048576 megabytes")
	c.Require(e.Grace > 0, "grace", e.Grace, e.Grace.Allowed())
	c.Require(e.Lease > 0, "lease", e.Lease, e.Lease.Allowed())
	c.Require(e.Drain > 0, "drain", e.Drain, e.Drain.Allowed())
	c.Require(e.Apply > 0, "apply", e.Apply, e.Apply.Allowed())
	c.Require(e.Trust >= document.Duration(minTrust), "trust", e.Trust, "a duration of 6s or more")
	c.Require(e.Retries.Share >= 0 && e.Retries.Share <= 1, "retries.share", e.Retries.Share, "0 to 1")
	c.Require(e.Retries.Floor >= 0, "retries.floor", e.Retries.Floor, "0 or more")
	c.Require(e.Retries.Window > 0, "retries.window", e.Retries.Window, e.Retries.Window.Allowed())
	c.Require(validLevel(e.Log.Level), "log.level", e.Log.Level, "trace, debug, info, warn or error")
	c.Require(e.Log.Format == "text" || e.Log.Format == "json", "log.format", e.Log.Format, "text or json")
	return c.Err()
}
