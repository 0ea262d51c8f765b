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
	Hosts  []string `name:"host" sep:"none" placeholder:"FILE" help:"Settings of a host; may be repeated."`
}

// Run reports the problems of all files together. With both tables it checks their join too.
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
		collect(named(pool.CheckJoin(routes.table, pools.table), c.Routes)) // its only errors are problems
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

// file is a table read from a file.
type file[T any] struct {
	data  []byte
	table T
}

// readTable reads and checks a table; no name gives an empty one.
func readTable[T any](name string, parse func([]byte) (T, error)) (file[T], error) {
	if name == "" {
		return file[T]{}, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return file[T]{}, errors.Annotate(err, "cli: unable to read a table")
	}
	table, err := parse(data)
	return file[T]{data: data, table: table}, named(err, name)
}

// named sets the file of problems.
func named(err error, name string) error {
	var problems document.Problems
	if errors.As(err, &problems) {
		return problems.WithFile(name)
	}
	return err
}
