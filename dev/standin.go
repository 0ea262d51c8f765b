// Package dev runs stand-ins for the services of the platform and for endpoints, and a host with all of them in one process.
package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"

	"github.com/juju/errors"

	"magnoliahoist/document"
	"magnoliahoist/fakeengine"
	"magnoliahoist/fakehosts"
	"magnoliahoist/fakeobject"
	"magnoliahoist/fakeservice"
	"magnoliahoist/faketable"
	"magnoliahoist/fakeweights"
	"magnoliahoist/platform/fakeplatform"
)

// Standin is a server that stands in for a service of the platform or for an endpoint.
type Standin interface {
	// Serve serves requests on the listener until Stop.
	Serve(l net.Listener) error
	// Stop makes Serve return.
	Stop()
	// Done returns a channel that is closed once the stand-in has ended.
	Done() <-chan struct{}
}

// Options holds the settings of all kinds of stand-ins, as JSON; each kind uses some of them.
type Options struct {
	Name                  string                    `json:"name"`               // of a service
	Instance              string                    `json:"instance"`           // id of an engine process; empty: a random id
	Slots                 int                       `json:"slots"`              // requests that an engine runs at once
	FirstToken            document.Duration         `json:"first"`              // of an engine: from the start of a request to its first token
	PerToken              document.Duration         `json:"token"`              // of an engine: between tokens
	Memory                int64                     `json:"memory"`             // of an engine, in bytes
	Fenced                bool                      `json:"fenced"`             // whether an engine checks fencing numbers
	Weights               string                    `json:"weights"`            // address of the weight store of an engine
	Resident              []fakeengine.ResidentItem `json:"resident,omitempty"` // models and adapters in an engine's memory from the start
	ModelLoadRate         float64                   `json:"rate"`               // of the weight store: model loads per second
	FullSpeedModelLoads   int                       `json:"full"`               // of the weight store: concurrent model loads at full speed
	ModelLoadTime         document.Duration         `json:"load"`               // of the weight store: duration of a model load at full speed
	AdapterLoadTime       document.Duration         `json:"adapter"`            // of the weight store and of an engine: duration of an adapter load
	FullSpeedAdapterLoads int                       `json:"knee"`               // of the weight store: concurrent adapter loads above which each becomes slower
	Hosts                 []fakehosts.Host          `json:"hosts,omitempty"`    // of the list of hosts
}

// ParseOptions decodes the options of a stand-in. Empty data gives options that are all unset.
func ParseOptions(data []byte) (Options, error) {
	var o Options
	if len(data) == 0 {
		return o, nil
	}
	return o, document.Decode(data, &o)
}

// NewStandin returns a stand-in of a kind: table, objects, hosts, weights, engine or service. It fails for any other kind.
func NewStandin(kind string, o Options) (Standin, error) {
	switch kind {
	case "table":
		return faketable.New(faketable.Settings{}), nil
	case "objects":
		return fakeobject.New(fakeobject.Settings{}), nil
	case "hosts":
		return fakehosts.New(fakehosts.Settings{Hosts: o.Hosts}), nil
	case "weights":
		return fakeweights.New(o.weightStoreSettings()), nil
	case "engine":
		return fakeengine.New(o.engineSettings()), nil
	case "service":
		return fakeservice.New(fakeservice.Settings{Name: o.Name}), nil
	default:
		return nil, errors.Errorf("dev: unable to run stand-in %q: not one of table, objects, hosts, weights, engine, service, store, endpoint", kind)
	}
}

// weightStoreSettings returns the options that a weight store uses.
func (o Options) weightStoreSettings() fakeweights.Settings {
	return fakeweights.Settings{
		ModelLoadRate:         o.ModelLoadRate,
		FullSpeedModelLoads:   o.FullSpeedModelLoads,
		ModelLoadTime:         o.ModelLoadTime.Std(),
		AdapterLoadTime:       o.AdapterLoadTime.Std(),
		FullSpeedAdapterLoads: o.FullSpeedAdapterLoads,
	}
}

// engineSettings returns the options that an engine uses.
func (o Options) engineSettings() fakeengine.Settings {
	return fakeengine.Settings{
		Instance:            o.Instance,
		Slots:               o.Slots,
		TimeToFirstToken:    o.FirstToken.Std(),
		InterTokenLatency:   o.PerToken.Std(),
		Memory:              o.Memory,
		CheckFencingNumbers: o.Fenced,
		WeightStore:         o.Weights,
		AdapterLoadTime:     o.AdapterLoadTime.Std(),
		Resident:            o.Resident,
	}
}

// String returns the options as JSON.
func (o Options) String() string {
	data, err := json.Marshal(o)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// NewPlatformStandin returns a stand-in for a platform whose endpoints register themselves. Its kind is store or endpoint;
// the options of an endpoint are fakeplatform.Settings as JSON.
func NewPlatformStandin(kind string, options []byte) (Standin, error) {
	if kind == "store" {
		return fakeplatform.NewStore(), nil
	}
	var settings fakeplatform.Settings
	if err := document.Decode(options, &settings); err != nil {
		return nil, err
	}
	return fakeplatform.NewEndpoint(settings), nil
}

// newStandin returns a stand-in of any kind from its options as JSON.
func newStandin(kind string, options []byte) (Standin, error) {
	if kind == "store" || kind == "endpoint" {
		return NewPlatformStandin(kind, options)
	}
	o, err := ParseOptions(options)
	if err != nil {
		return nil, err
	}
	return NewStandin(kind, o)
}

// RunStandin runs one stand-in until the context is done. It writes a line with the address on which it listens to out.
func RunStandin(ctx context.Context, kind, listen, options string, out io.Writer) error {
	standin, err := newStandin(kind, []byte(options))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Annotate(err, "dev: unable to listen for the stand-in")
	}
	fmt.Fprintf(out, "listening %s\n", listener.Addr())
	go func() {
		<-ctx.Done()
		standin.Stop()
	}()
	if err := standin.Serve(listener); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "dev: unable to serve the stand-in")
	}
	return nil
}
