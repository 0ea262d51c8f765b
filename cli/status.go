package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/document"
	"magnoliahoist/operator"
)

type getCommand struct {
	Table string `arg:"" enum:"routes,pools" help:"Table to print: routes or pools."`
}

// Run prints a table as JSON, also if the output format is text, and its revision as progress.
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
	s.printProgress("revision %d", revision)
	return s.printJSON(table)
}

type statusCommand struct{}

// Run prints the status of a host, and what its copy of the shared state says of all hosts.
func (statusCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.printRows(status, statusRows(status))
}

// statusRows returns the rows of a human-readable status: problems first, then the host, members, failure domains,
// endpoints, models, leases and shares.
func statusRows(status operator.Status) [][]any {
	var rows [][]any
	for _, problem := range status.Problems {
		rows = append(rows, []any{"PROBLEM", problem})
	}
	if len(status.Problems) == 0 {
		rows = append(rows, []any{"ok", "no problem is known"})
	}
	rows = append(rows, [][]any{
		{"host", status.Host}, {"domain", status.Domain}, {"state", status.State}, {"revision", status.Revision},
		{"tables", fmt.Sprintf("revision %d, edit %s", status.Head.Revision, status.Head.LastEditID)},
		{"contact", roundToMillisecond(status.TableContactAge)}, {"freshness", roundToMillisecond(status.FreshFor)}, {"running", status.ActiveRequests}, {"waiting", status.QueuedRequests},
	}...)
	for _, m := range status.Members {
		rows = append(rows, []any{"member", m.ID, m.Address, m.Domain, fmt.Sprintf("revision %d", m.Revision), textIf(m.Unresponsive, "silent")})
	}
	rows = append(rows, domainRows(status)...)
	for _, e := range status.Endpoints {
		rows = append(rows, []any{"endpoint", e.Name, e.Pool, e.Domain, fmt.Sprintf("running %d", e.OwnCalls), strings.Join(e.Models, " "), endpointMarks(e)})
	}
	for _, m := range status.Models {
		endpoints := strings.Join(m.Endpoints, " ")
		if !m.ModelsKnown {
			endpoints = "not reported"
		}
		rows = append(rows, []any{"model", m.Name, m.Pool, "version " + m.Version, fmt.Sprintf("replicas %d", m.Replicas), endpoints})
	}
	for _, l := range status.Leases {
		rows = append(rows, []any{"lease", l.Pool, l.Holder, fmt.Sprintf("number %d", l.FencingNumber)})
	}
	for _, share := range status.Shares {
		parts := make([]string, len(share.Parts))
		for i, part := range share.Parts {
			parts[i] = fmt.Sprintf("%s %.3g", part.Host, part.Fraction)
		}
		rows = append(rows, []any{"share", share.Account, fmt.Sprintf("rate %g", share.Rate), fmt.Sprintf("burst %d", share.Burst), strings.Join(parts, ", ")})
	}
	return rows
}

// domainRows returns a row with the numbers of hosts and endpoints of each failure domain.
func domainRows(status operator.Status) [][]any {
	hosts, endpoints := map[string]int{}, map[string]int{}
	for _, m := range status.Members {
		hosts[m.Domain]++
		endpoints[m.Domain] += 0
	}
	for _, e := range status.Endpoints {
		endpoints[e.Domain]++
	}
	var rows [][]any
	for _, name := range slices.Sorted(maps.Keys(endpoints)) {
		rows = append(rows, []any{"domain", name, fmt.Sprintf("hosts %d", hosts[name]), fmt.Sprintf("endpoints %d", endpoints[name])})
	}
	return rows
}

// roundToMillisecond returns the duration rounded to milliseconds.
func roundToMillisecond(d document.Duration) time.Duration {
	return time.Duration(d).Round(time.Millisecond)
}

// textIf returns the name if the flag is set, and an empty text otherwise.
func textIf(set bool, name string) string {
	if set {
		return name
	}
	return ""
}

// endpointMarks returns the words for the flags of an endpoint that are set.
func endpointMarks(e operator.Endpoint) string {
	return strings.TrimSpace(textIf(e.Ejected, "ejected") + " " + textIf(e.Leaving, "leaving"))
}

type healthCommand struct{}

// Run prints the state of the host and fails if the host doesn't accept calls.
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
		return errors.Errorf("cli: the host does not accept calls: it is %s", health.State)
	}
	return nil
}
