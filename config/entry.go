package config

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Defaults of settings that usually come from the platform's own configuration.
const (
	defaultGrace       = 8 * time.Second
	defaultLease       = 3 * time.Second
	defaultDrain       = 2 * time.Second
	defaultApply       = 2 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultTrust       = 10 * time.Second // a few seconds, but longer than the pauses between responses of a slow store
)

// minTrust is longer than the time between two responses of a healthy store.
const minTrust = 6 * time.Second

// minDescriptors leaves room for files and a few connections of each listener.
const minDescriptors = 256

// Entry holds the settings of an entry host on a platform whose endpoints register themselves.
type Entry struct {
	Name              string            `json:"name"`
	Domain            string            `json:"domain"`
	Callers           string            `json:"callers"`     // listener for callers; this and the other addresses are IP numbers with ports
	Ready             string            `json:"ready"`       // listener for the balancer's health check
	Peers             string            `json:"peers"`       // listener for other hosts
	AdvertisedAddress string            `json:"reachable"`   // address at which other hosts reach the peer listener; empty: that of Peers
	Operators         string            `json:"operators"`   // listener for metrics and status
	Store             string            `json:"store"`       // address of the platform's store
	MemoryMB          int64             `json:"memory"`      // memory limit of the process, in megabytes
	Bodies            float64           `json:"bodies"`      // fraction of the memory that request bodies and responses may use together
	Descriptors       int               `json:"descriptors"` // file descriptors that the process may use; 0: its soft limit
	ProcessorShare    float64           `json:"share"`       // of a processor core that the process may use; 0 if unknown
	LinkMbps          float64           `json:"link"`        // bandwidth of the host's link, in megabits per second; 0 if unknown
	ShutdownGrace     document.Duration `json:"grace"`       // longest time from SIGTERM to the end of the process
	HandoverGap       document.Duration `json:"lease"`       // least time between the orders of two successive lease holders
	DrainLimit        document.Duration `json:"drain"`       // time after which an endpoint that has announced that it shuts down must get no requests
	ApplyLimit        document.Duration `json:"apply"`       // time within which a change of the configuration must be in force
	MaxStoreSilence   document.Duration `json:"trust"`       // time without contact with the store after which API keys are no longer accepted
	Retries           Retries           `json:"retries"`
	Log               Log               `json:"log"`
}

// Retries is the retry budget of all hosts together.
type Retries struct {
	Ratio      float64           `json:"share"`  // retries as a fraction of the requests in a window
	MinRetries float64           `json:"floor"`  // retries that a window always allows
	Window     document.Duration `json:"window"` // over which requests and retries are counted
}

// DefaultEntry returns the defaults of the settings that a file may leave out.
func DefaultEntry() Entry {
	return Entry{
		MemoryMB:        256,
		Bodies:          0.25,
		ShutdownGrace:   document.Duration(defaultGrace),
		HandoverGap:     document.Duration(defaultLease),
		DrainLimit:      document.Duration(defaultDrain),
		ApplyLimit:      document.Duration(defaultApply),
		MaxStoreSilence: document.Duration(defaultTrust),
		Retries:         Retries{Ratio: 0.2, MinRetries: 10, Window: document.Duration(defaultRetryWindow)},
		Log:             Log{Level: "info", Format: "json"},
	}
}

// ParseEntry decodes settings, applies defaults for those that are missing, and validates them. The error is of type
// document.Problems.
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

// LoadEntry reads and parses a file of settings. Problems with the settings have the name of the file.
func LoadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.Annotate(err, "config: unable to read the settings of an entry host")
	}
	e, err := ParseEntry(data)
	var problems document.Problems
	if errors.As(err, &problems) {
		return Entry{}, problems.WithFile(file)
	}
	return e, err
}

// Dump returns the settings as indented JSON.
func (e Entry) Dump() ([]byte, error) {
	data, err := json.MarshalIndent(e, "", "  ")
	if err != nil {
		return nil, errors.Annotate(err, "config: unable to encode the settings of an entry host")
	}
	return append(data, '\n'), nil
}

// Validate checks the settings and reports all problems. The error is of type document.Problems.
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
	if e.AdvertisedAddress != "" {
		_, err := netip.ParseAddrPort(e.AdvertisedAddress)
		c.Require(err == nil, "reachable", e.AdvertisedAddress, "an IP number with a port")
	}
	c.Require(e.MemoryMB >= 32 && e.MemoryMB <= 1<<20, "memory", e.MemoryMB, "32 to 1048576 megabytes")
	c.Require(e.Bodies >= 0.05 && e.Bodies <= 0.4, "bodies", e.Bodies, "0.05 to 0.4")
	c.Require(e.Descriptors == 0 || e.Descriptors >= minDescriptors && e.Descriptors <= 1<<24, "descriptors", e.Descriptors, "0, or 256 to 16777216")
	c.Require(e.ProcessorShare >= 0 && e.ProcessorShare <= 1024, "share", e.ProcessorShare, "0 to 1024 cores")
	c.Require(e.LinkMbps >= 0 && e.LinkMbps <= 1e6, "link", e.LinkMbps, "0 to 1000000 megabits per second")
	c.Require(e.ShutdownGrace > 0, "grace", e.ShutdownGrace, e.ShutdownGrace.Allowed())
	c.Require(e.HandoverGap > 0, "lease", e.HandoverGap, e.HandoverGap.Allowed())
	c.Require(e.DrainLimit > 0, "drain", e.DrainLimit, e.DrainLimit.Allowed())
	c.Require(e.ApplyLimit > 0, "apply", e.ApplyLimit, e.ApplyLimit.Allowed())
	c.Require(e.MaxStoreSilence >= document.Duration(minTrust), "trust", e.MaxStoreSilence, "a duration of 6s or more")
	c.Require(e.Retries.Ratio >= 0 && e.Retries.Ratio <= 1, "retries.share", e.Retries.Ratio, "0 to 1")
	c.Require(e.Retries.MinRetries >= 0, "retries.floor", e.Retries.MinRetries, "0 or more")
	c.Require(e.Retries.Window > 0, "retries.window", e.Retries.Window, e.Retries.Window.Allowed())
	c.Require(validLevel(e.Log.Level), "log.level", e.Log.Level, "trace, debug, info, warn or error")
	c.Require(e.Log.Format == "text" || e.Log.Format == "json", "log.format", e.Log.Format, "text or json")
	return c.Err()
}
