package cli

import (
	"crypto/rand"
	"reflect"

	"github.com/juju/errors"

	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

type applyCommand struct {
	follow
	Routes   string `placeholder:"FILE" help:"Routes table."`
	Pools    string `placeholder:"FILE" help:"Pools table."`
	Revision int64  `default:"-1" placeholder:"N" help:"Revision that the edit is based on, as printed by get; the current one by default."`
	ID       string `name:"id" placeholder:"ID" help:"Edit id; give the same one to repeat an edit whose outcome is unknown."`
}

// applied is the result of one edit.
type applied struct {
	Table  string          `json:"table"`
	Change operator.Change `json:"change"`
}

// tables are both tables as they are now or as they should be.
type tables struct {
	routes route.Table
	pools  pool.Table
}

// Run checks the files, replaces the tables one after the other and waits for each.
func (c applyCommand) Run(s *session) error {
	if c.Routes == "" && c.Pools == "" {
		return errors.Annotate(errUsage, "apply needs --routes or --pools")
	}
	routes, err := readTable(c.Routes, route.Parse)
	if err != nil {
		return err
	}
	pools, err := readTable(c.Pools, pool.Parse)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	current, revision, err := currentTables(s, client)
	if err != nil {
		return err
	}
	if c.Revision >= 0 {
		revision = c.Revision
	}
	next := current
	if c.Routes != "" {
		next.routes = routes.table
	}
	if c.Pools != "" {
		next.pools = pools.table
	}
	order, err := plan(current, next)
	if err != nil {
		return named(err, c.Routes)
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	data := map[operator.Kind][]byte{operator.Routes: routes.data, operator.Pools: pools.data}
	results := []applied{}
	for _, kind := range order {
		change, err := c.put(s, client, kind, revision, data[kind])
		if err != nil {
			return err
		}
		revision = change.Revision
		results = append(results, applied{Table: kind.String(), Change: change})
	}
	return c.report(s, results)
}

func (c applyCommand) put(s *session, client *operator.Client, kind operator.Kind, revision int64, data []byte) (operator.Change, error) {
	change, err := client.Put(s.ctx, kind, c.ID+"-"+kind.String(), revision, data)
	var failure *operator.Failure
	if errors.As(err, &failure) && failure.Run == "unknown" {
		s.progress("the outcome is unknown; to settle it, repeat the command with --id %s --revision %d", c.ID, revision)
	}
	if err != nil {
		return operator.Change{}, err
	}
	return c.until(s, client, change)
}

func (c applyCommand) report(s *session, results []applied) error {
	if s.json {
		return s.printJSON(results)
	}
	if len(results) == 0 {
		return s.print(nil, "unchanged")
	}
	for _, one := range results {
		if err := s.print(nil, one.Table+": "+describe(one.Change)); err != nil {
			return err
		}
	}
	return nil
}

func currentTables(s *session, client *operator.Client) (tables, int64, error) {
	routes, revision, err := client.Routes(s.ctx)
	if err != nil {
		return tables{}, 0, err
	}
	pools, later, err := client.Pools(s.ctx)
	if err != nil {
		return tables{}, 0, err
	}
	if later != revision {
		return tables{}, 0, errors.Errorf("cli: another edit changed the tables from version %d to %d meanwhile", revision, later)
	}
	return tables{routes: routes, pools: pools}, revision, nil
}

// plan returns the tables to replace, in an order in which the tables fit together after
// each step.
func plan(current, next tables) ([]operator.Kind, error) {
	routes := !reflect.DeepEqual(current.routes, next.routes)
	pools := !reflect.DeepEqual(current.pools, next.pools)
	if err := pool.CheckJoin(next.routes, next.pools); err != nil {
		return nil, err
	}
	switch {
	case routes && pools && pool.CheckJoin(current.routes, next.pools) == nil:
		return []operator.Kind{operator.Pools, operator.Routes}, nil
	case routes && pools && pool.CheckJoin(next.routes, current.pools) == nil:
		return []operator.Kind{operator.Routes, operator.Pools}, nil
	case routes && pools:
		return nil, errors.New("cli: neither table fits the other's present version; first add what the new routes need, then remove what they no longer need")
	case routes:
		return []operator.Kind{operator.Routes}, nil
	case pools:
		return []operator.Kind{operator.Pools}, nil
	}
	return nil, nil
}
