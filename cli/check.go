package cli

import (
	"os"

	"github.com/juju/errors"

	"magnoliahoist/config"
	"magnoliahoist/document"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

type checkCommand struct {
	Routes string   `placeholder:"FILE" help:"Routes table."`
	Pools  string   `placeholder:"FILE" help:"Pools table."`
	Hosts  []string `name:"host" sep:"none" placeholder:"FILE" help:"File of a host's settings; may be repeated."`
}

// Run reports the problems of all files together. If both tables are given and valid, it also checks that each route has
// its pool and model.
func (c checkCommand) Run(s *session) error {
	if c.Routes == "" && c.Pools == "" && len(c.Hosts) == 0 {
		return errors.Annotate(errUsage, "check needs --routes, --pools or --host")
	}
	var all document.Problems
	collect := func(err error) error {
		var problems document.Problems
		if errors.As(err, &problems) {
			all = append(all, problems...)
			return nil
		}
		return err
	}
	routes, routesErr := readTable(c.Routes, route.Parse)
	pools, poolsErr := readTable(c.Pools, pool.Parse)
	for _, err := range []error{routesErr, poolsErr} {
		if err := collect(err); err != nil {
			return err
		}
	}
	if c.Routes != "" && c.Pools != "" && routesErr == nil && poolsErr == nil {
		collect(withFile(pool.CheckRoutes(routes.table, pools.table), c.Routes)) // CheckRoutes returns no errors but problems
	}
	for _, file := range c.Hosts {
		if _, err := config.Load(file); collect(err) != nil {
			return err
		}
	}
	if len(all) > 0 {
		return all
	}
	return s.print(map[string]bool{"valid": true}, "valid")
}

// tableFile is a table with the content of its file.
type tableFile[T any] struct {
	data  []byte
	table T
}

// readTable reads and parses a table. Without a name it returns an empty table.
func readTable[T any](name string, parse func([]byte) (T, error)) (tableFile[T], error) {
	if name == "" {
		return tableFile[T]{}, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return tableFile[T]{}, errors.Annotate(err, "cli: unable to read the file of a table")
	}
	table, err := parse(data)
	return tableFile[T]{data: data, table: table}, withFile(err, name)
}

// withFile sets the file name of an error that is a list of problems, and returns other errors as they are.
func withFile(err error, file string) error {
	var problems document.Problems
	if errors.As(err, &problems) {
		return problems.WithFile(file)
	}
	return err
}
