// Package config holds the settings of a process: their defaults, checks, description and dump.
package config

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Host holds the settings of an entry host. The table of fields describes each of them.
type Host struct {
	ID         string            `json:"id"`
	Domain     string            `json:"domain"`
	Group      string            `json:"group"`
	Listen     Listen            `json:"listen"`
	Platform   Platform          `json:"platform"`
	Secret     Secret            `json:"secret"`
	Credential Secret            `json:"credential"`
	TLS        TLS               `json:"tls"`
	Limits     Limits            `json:"limits"`
	Window     document.Duration `json:"window"`
	Poll       document.Duration `json:"poll"`
	Lag        document.Duration `json:"lag"`
	Holders    int               `json:"holders"`
	Overcommit float64           `json:"overcommit"`
	Placement  Placement         `json:"placement"`
	Log        Log               `json:"log"`
	Ring       int               `json:"ring"`
}

// Listen holds the addresses of the listeners.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	Hosts   string `json:"hosts"`
	Weights string `json:"weights"`
}

// TLS holds the certificates of the listeners.
type TLS struct {
	Callers   Files `json:"callers"`
	Operators Files `json:"operators"`
	Peers     Files `json:"peers"`
}

// Files names PEM files.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Used reports whether a certificate is set.
func (f Files) Used() bool { return f.Cert != "" }

// Limits bounds what connections may take up.
type Limits struct {
	Body        int64             `json:"body"`   // bytes
	Header      int               `json:"header"` // bytes
	Connections int               `json:"connections"`
	Read        document.Duration `json:"read"`
	Idle        document.Duration `json:"idle"`
	Call        document.Duration `json:"call"`
}

// Placement bounds what placement asks of the weight store, over all pools, and sizes replicas.
type Placement struct {
	Rate    float64 `json:"rate"`    // model loads per second
	Full    int     `json:"full"`    // model loads at once
	Knee    int     `json:"knee"`    // adapter loads at once
	Replica float64 `json:"replica"` // tokens per second
}

// Log says what is logged and how.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Default returns the settings with every default of the table of fields.
func Default() Host {
	var h Host
	if err := json.Unmarshal(defaults(), &h); err != nil {
		panic("config: unable to read the defaults: " + err.Error()) // the table of fields is wrong
	}
	return h
}

// Parse reads settings over the defaults and validates them.
// The error is of type document.Problems.
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

// Load reads the settings in a file. Problems carry the file's name.
func Load(file string) (Host, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Host{}, errors.Annotate(err, "config: unable to read the settings")
	}
	h, err := Parse(data)
	var problems document.Problems
	if errors.As(err, &problems) {
		return Host{}, problems.WithFile(file)
	}
	return h, err
}

// Dump writes the settings in force as JSON, with secrets masked.
func (h Host) Dump() ([]byte, error) {
	data, err := json.MarshalIndent(h, "", "  ")
	if err != nil {
		return nil, errors.Annotate(err, "config: unable to write the settings")
	}
	return append(data, '\n'), nil
}
