// Package dev runs the stand-ins of the platform and of endpoints, and everything in one process.
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

// Standin is a stand-in that answers on a listener.
type Standin interface {
	Serve(l net.Listener) error
	Stop()
	Done() <-chan struct{}
}

// Options are the settings of a stand-in, as JSON; each kind uses some of them.
type Options struct {
	Name     string                `json:"name"`
	Instance string                `json:"instance"`
	Slots    int                   `json:"slots"`
	First    document.Duration     `json:"first"` // to the first token
	Token    document.Duration     `json:"token"` // between tokens
	Memory   int64                 `json:"memory"`
	Fenced   bool                  `json:"fenced"`
	Weights  string                `json:"weights"` // address of the weight store
	Resident []fakeengine.Resident `json:"resident,omitempty"`
	Rate     float64               `json:"rate"` // loads a second
	Full     int                   `json:"full"` // loads at once at full speed
	Load     document.Duration     `json:"load"` // of a model
	Adapter  document.Duration     `json:"adapter"`
	Knee     int                   `json:"knee"`
	Hosts    []fakehosts.Host      `json:"hosts,omitempty"`
}

// ParseOptions reads the options of a stand-in; empty data stands for none.
func ParseOptions(data []byte) (Options, error) {
	var o Options
	if len(data) == 0 {
		return o, nil
	}
	return o, document.Decode(data, &o)
}

// NewStandin returns a stand-in of a kind: table, objects, hosts, weights, engine or service.
func NewStandin(kind string, o Options) (Standin, error) {
	switch kind {
	case "table":
		return faketable.New(faketable.Settings{}), nil
	case "objects":
		return fakeobject.New(fakeobject.Settings{}), nil
	case "hosts":
		return fakehosts.New(fakehosts.Settings{Hosts: o.Hosts}), nil
	case "weights":
		return fakeweights.New(o.weights()), nil
	case "engine":
		return fakeengine.New(o.engine()), nil
	case "service":
		return fakeservice.New(fakeservice.Settings{Name: o.Name}), nil
	default:
		return nil, errors.Errorf("dev: unable to run stand-in %q: not one of table, objects, hosts, weights, engine, service", kind)
	}
}

func (o Options) weights() fakeweights.Settings {
	return fakeweights.Settings{
		Rate:    o.Rate,
		Full:    o.Full,
		Load:    o.Load.Std(),
		Adapter: o.Adapter.Std(),
		Knee:    o.Knee,
	}
}

func (o Options) engine() fakeengine.Settings {
	return fakeengine.Settings{
		Instance:   o.Instance,
		Slots:      o.Slots,
		FirstToken: o.First.Std(),
		PerToken:   o.Token.Std(),
		Memory:     o.Memory,
		Fenced:     o.Fenced,
		Weights:    o.Weights,
		Adapter:    o.Adapter.Std(),
		Resident:   o.Resident,
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

// NewPlatformStandin returns a stand-in for the platform whose endpoints register themselves, by its kind: store or
// endpoint. The options of an endpoint are fakeplatform.Settings as JSON.
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

// RunStandin runs one stand-in until the context ends. It writes the address on which it listens.
func RunStandin(ctx context.Context, kind, listen, options string, out io.Writer) error {
	standin, err := newStandin(kind, []byte(options))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Annotate(err, "dev: unable to listen")
	}
	fmt.Fprintf(out, "listening %s\n", listener.Addr())
	go func() {
		<-ctx.Done()
		standin.Stop()
	}()
	if err := standin.Serve(listener); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "dev: stand-in ended")
	}
	return nil
}
