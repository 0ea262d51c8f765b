package dev

import (
	"net"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Delays and sizes of the example engines.
const (
	firstToken = 40_000_000 // nanoseconds
	perToken   = 5_000_000  // nanoseconds
	slots      = 16
	memory     = 80_000_000_000 // bytes
)

// fleet is a set of running stand-ins.
type fleet struct {
	standins  []Standin
	addresses map[string]string // by name
}

// start runs a stand-in on a free port of the loopback interface.
func (f *fleet) start(name, kind string, o Options) error {
	standin, err := NewStandin(kind, o)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotatef(err, "dev: unable to listen for %s", name)
	}
	go standin.Serve(listener)
	f.standins = append(f.standins, standin)
	f.addresses[name] = listener.Addr().String()
	return nil
}

// stop ends all stand-ins.
func (f *fleet) stop() {
	for _, standin := range f.standins {
		standin.Stop()
		<-standin.Done()
	}
}

// newFleet runs the stand-ins of the example.
func newFleet() (*fleet, error) {
	f := &fleet{addresses: map[string]string{}}
	for _, s := range []struct {
		name, kind string
		options    Options
	}{
		{"table", "table", Options{}},
		{"objects", "objects", Options{}},
		{"hosts", "hosts", Options{}},
		{"weights", "weights", Options{Rate: 2, Full: 10}},
		{"fukuoka-1", "engine", engine(true)},
		{"kumamoto-1", "engine", engine(false)},
		{"thu-duc-1", "engine", engine(true)},
		{"tan-binh-1", "engine", engine(true)},
		{"tags-1", "service", Options{Name: "tags-1"}},
		{"desk-1", "service", Options{Name: "desk-1"}},
	} {
		if err := f.start(s.name, s.kind, s.options); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// engine is an engine that holds nothing; placement loads the models of the example.
func engine(fenced bool) Options {
	return Options{
		Slots:  slots,
		First:  document.Duration(firstToken),
		Token:  document.Duration(perToken),
		Memory: memory,
		Fenced: fenced,
	}
}
