package cli

import (
	"github.com/juju/errors"

	"magnoliahoist/config"
)

// errNotBuilt is the error of a command whose hook is nil.
const errNotBuilt = errors.ConstError("not built")

type hostCommand struct {
	Config string `required:"" type:"existingfile" placeholder:"FILE" help:"File of the host's settings."`
}

// Run runs an entry host until the process is asked to stop.
func (c hostCommand) Run(s *session) error {
	if s.hooks.Host == nil {
		return errors.Annotate(errNotBuilt, "cli: unable to run a host")
	}
	return s.hooks.Host(s.ctx, func() (config.Host, error) { return config.Load(c.Config) }, s.out, s.errs)
}

type entryCommand struct {
	Config string `required:"" type:"existingfile" placeholder:"FILE" help:"File of the host's settings."`
}

// Run runs an entry host on a platform whose endpoints register themselves until the process is asked to stop.
func (c entryCommand) Run(s *session) error {
	if s.hooks.Entry == nil {
		return errors.Annotate(errNotBuilt, "cli: unable to run an entry host")
	}
	return s.hooks.Entry(s.ctx, func() (config.Entry, error) { return config.LoadEntry(c.Config) }, s.out)
}

type devCommand struct{}

// Run runs a host and stand-ins for all services and endpoints in this process until it is asked to stop.
func (c devCommand) Run(s *session) error {
	if s.hooks.Dev == nil {
		return errors.Annotate(errNotBuilt, "cli: unable to run a host with stand-ins")
	}
	return s.hooks.Dev(s.ctx, s.out, s.errs)
}

type standinCommand struct {
	Kind    string `arg:"" help:"What to stand in for: table, objects, hosts, weights, engine or service; or, of a platform whose endpoints register themselves, store or endpoint."`
	Listen  string `default:"127.0.0.1:0" placeholder:"ADDRESS" help:"Address to listen on."`
	Options string `placeholder:"JSON" help:"Options of the stand-in."`
}

// Run runs a stand-in for a service of the platform or an endpoint until the process is asked to stop.
func (c standinCommand) Run(s *session) error {
	if s.hooks.Standin == nil {
		return errors.Annotate(errNotBuilt, "cli: unable to run a stand-in")
	}
	return s.hooks.Standin(s.ctx, c.Kind, c.Listen, c.Options, s.out)
}
