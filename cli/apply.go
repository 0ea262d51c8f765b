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
	waitFlags
	Routes   string `placeholder:"FILE" help:"Routes table."`
	Pools    string `placeholder:"FILE" help:"Pools table."`
	Revision int64  `default:"-1" placeholder:"N" help:"Revision on which the edit is based, as printed by get; by default the current one."`
	ID       string `name:"id" placeholder:"ID" help:"Id of the edit; to repeat an edit whose outcome is unknown, give the same id again."`
}

// appliedTable is the result of replacing one table.
type appliedTable struct {
	Table  string          `json:"table"`
	Change operator.Change `json:"change"`
}

// tables holds both tables, as they are or as they are to become.
type tables struct {
	routes route.Table
	pools  pool.Table
}

// Run checks the files, then replaces the tables that differ one after the other, and waits until each change is in force.
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
	edits, err := planEdits(current, next)
	if err != nil {
		return withFile(err, c.Routes)
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	data := map[operator.Kind][]byte{operator.Routes: routes.data, operator.Pools: pools.data}
	results := []appliedTable{}
	for _, kind := range edits {
		change, err := c.replaceTable(s, client, kind, revision, data[kind])
		if err != nil {
			return err
		}
		revision = change.Revision
		results = append(results, appliedTable{Table: kind.String(), Change: change})
	}
	return c.printResults(s, results)
}

// replaceTable replaces one table and waits until the change is in force. If the outcome of the edit is unknown, it prints
// how to repeat the command.
func (c applyCommand) replaceTable(s *session, client *operator.Client, kind operator.Kind, revision int64, data []byte) (operator.Change, error) {
	change, err := client.Put(s.ctx, kind, c.ID+"-"+kind.String(), revision, data)
	var failure *operator.Failure
	if errors.As(err, &failure) && failure.Run == "unknown" {
		s.printProgress("the outcome of the edit is unknown; to find it out, repeat the command with --id %s --revision %d", c.ID, revision)
	}
	if err != nil {
		return operator.Change{}, err
	}
	return c.waitUntilInForce(s, client, change)
}

// printResults prints the change of each replaced table.
func (c applyCommand) printResults(s *session, results []appliedTable) error {
	if s.json {
		return s.printJSON(results)
	}
	if len(results) == 0 {
		return s.print(nil, "unchanged")
	}
	for _, result := range results {
		if err := s.print(nil, result.Table+": "+describeChange(result.Change)); err != nil {
			return err
		}
	}
	return nil
}

// currentTables returns both tables and their common revision. It fails if an edit changes them between the two reads.
func currentTables(s *session, client *operator.Client) (tables, int64, error) {
	routes, routesRevision, err := client.Routes(s.ctx)
	if err != nil {
		return tables{}, 0, err
	}
	pools, poolsRevision, err := client.Pools(s.ctx)
	if err != nil {
		return tables{}, 0, err
	}
	if poolsRevision != routesRevision {
		return tables{}, 0, errors.Errorf("cli: unable to read both tables at one revision: another edit changed them from revision %d to %d", routesRevision, poolsRevision)
	}
	return tables{routes: routes, pools: pools}, routesRevision, nil
}

// planEdits returns the tables to replace, in an order in which the routes match the pools after each replacement.
func planEdits(current, next tables) ([]operator.Kind, error) {
	routesChanged := !reflect.DeepEqual(current.routes, next.routes)
	poolsChanged := !reflect.DeepEqual(current.pools, next.pools)
	if err := pool.CheckRoutes(next.routes, next.pools); err != nil {
		return nil, err
	}
	switch {
	case routesChanged && poolsChanged && pool.CheckRoutes(current.routes, next.pools) == nil:
		return []operator.Kind{operator.Pools, operator.Routes}, nil
	case routesChanged && poolsChanged && pool.CheckRoutes(next.routes, current.pools) == nil:
		return []operator.Kind{operator.Routes, operator.Pools}, nil
	case routesChanged && poolsChanged:
		return nil, errors.New("cli: unable to order the edits: neither table fits the current version of the other; first apply tables that add what the new routes need, then tables without what they no longer need")
	case routesChanged:
		return []operator.Kind{operator.Routes}, nil
	case poolsChanged:
		return []operator.Kind{operator.Pools}, nil
	}
	return nil, nil
}
