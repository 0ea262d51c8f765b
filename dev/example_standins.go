package dev

import (
	"net"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Settings of the example engines.
const (
	firstTokenDelay = 40_000_000 // nanoseconds from the start of a request to its first token
	perTokenDelay   = 5_000_000  // nanoseconds between tokens
	engineSlots     = 16
	engineMemory    = 80_000_000_000 // bytes
)

// exampleStandins holds the running stand-ins of the example.
type exampleStandins struct {
	standins  []Standin
	addresses map[string]string // of the stand-ins, by name
}

// start starts a stand-in on a free port of the loopback interface.
func (e *exampleStandins) start(name, kind string, o Options) error {
	standin, err := NewStandin(kind, o)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotatef(err, "dev: unable to listen for stand-in %s", name)
	}
	go standin.Serve(listener)
	e.standins = append(e.standins, standin)
	e.addresses[name] = listener.Addr().String()
	return nil
}

// stop stops all stand-ins and waits until they have ended.
func (e *exampleStandins) stop() {
	for _, standin := range e.standins {
		standin.Stop()
		<-standin.Done()
	}
}

// startExampleStandins starts the stand-ins of the example. If one fails to start, it stops the others.
func startExampleStandins() (*exampleStandins, error) {
	e := &exampleStandins{addresses: map[string]string{}}
	for _, s := range []struct {
		name, kind string
		options    Options
	}{
		{"table", "table", Options{}},
		{"objects", "objects", Options{}},
		{"hosts", "hosts", Options{}},
		{"weights", "weights", Options{ModelLoadRate: 2, FullSpeedModelLoads: 10}},
		{"fukuoka-1", "engine", engineOptions(true)},
		{"kumamoto-1", "engine", engineOptions(false)},
		{"thu-duc-1", "engine", engineOptions(true)},
		{"tan-binh-1", "engine", engineOptions(true)},
		{"tags-1", "service", Options{Name: "tags-1"}},
		{"desk-1", "service", Options{Name: "desk-1"}},
	} {
		if err := e.start(s.name, s.kind, s.options); err != nil {
			e.stop()
			return nil, err
		}
	}
	return e, nil
}

// engineOptions returns the options of an engine without models; placement loads those of the example tables. With fenced,
// the engine checks fencing numbers.
func engineOptions(fenced bool) Options {
	return Options{
		Slots:      engineSlots,
		FirstToken: document.Duration(firstTokenDelay),
		PerToken:   document.Duration(perTokenDelay),
		Memory:     engineMemory,
		Fenced:     fenced,
	}
}
