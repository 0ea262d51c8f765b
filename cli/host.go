package cli

import (
	"github.com/juju/errors"

	"magnoliahoist/config"
)

// errNotBuilt says that the binary lacks the command.
const errNotBuilt = errors.ConstError("not built")

type hostCommand struct {
	Config string `required:"" type:"existingfile" placeholder:"FILE" help:"Settings of the host."`
}

// Run runs an entry host until the process is asked to stop.
func (c hostCommand) Run(s *session) error {
	settings, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if s.hooks.Host == nil {
		return errors.Annotate(errNotBuilt, "cli: unable to run a host")
	}
	return s.hooks.Host(s.ctx, settings, s.errs)
}

type devCommand struct {
	Directory string `default:"contrib/kyushu" placeholder:"DIRECTORY" help:"Directory with routes.json, pools.json and host-*.json."`
}

// Run runs everything in one process until it is asked to stop.
func (c devCommand) Run(s *session) error {
	if s.hooks.Dev == nil {
		return errors.Annotate(errNotBuilt, "cli: unable to run everything in one process")
	}
	return s.hooks.Dev(s.ctx, c.Directory, s.errs)
}
