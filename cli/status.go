package cli

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"magnoliahoist/operator"
)

type getCommand struct {
	Table string `arg:"" enum:"routes,pools" help:"routes or pools."`
}

// Run prints a table as JSON in both output formats, and its revision among the progress.
func (c getCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	var table any
	var revision int64
	if c.Table == operator.Routes.String() {
		table, revision, err = client.Routes(s.ctx)
	} else {
		table, revision, err = client.Pools(s.ctx)
	}
	if err != nil {
		return err
	}
	s.progress("revision %d", revision)
	return s.printJSON(table)
}

type statusCommand struct{}

// Run prints what a host knows of itself and of the fleet.
func (statusCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	rows := [][]any{
		{"host", status.Host}, {"domain", status.Domain}, {"state", status.State}, {"revision", status.Revision},
		{"contact", status.Contact}, {"freshness", status.Freshness}, {"running", status.Running}, {"waiting", status.Waiting},
	}
	for _, m := range status.Members {
		rows = append(rows, []any{"member", m.ID, m.Address, m.Domain, fmt.Sprintf("revision %d", m.Revision)})
	}
	for _, e := range status.Endpoints {
		rows = append(rows, []any{"endpoint", e.Name, e.Pool, fmt.Sprintf("running %d", e.Running), strings.Join(e.Models, " "), marks(e)})
	}
	return s.printRows(status, rows)
}

func marks(e operator.Endpoint) string {
	var list []string
	if e.Ejected {
		list = append(list, "ejected")
	}
	if e.Leaving {
		list = append(list, "leaving")
	}
	return strings.Join(list, " ")
}

type healthCommand struct{}

// Run fails when the host doesn't take calls.
func (healthCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	health, err := client.Health(s.ctx)
	if err != nil {
		return err
	}
	if err := s.print(health, health.State.String()); err != nil {
		return err
	}
	if health.State != operator.Serving {
		return errors.Errorf("cli: the host is %s", health.State)
	}
	return nil
}
