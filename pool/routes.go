package pool

import (
	"fmt"
	"slices"

	"magnoliahoist/document"
	"magnoliahoist/route"
)

// CheckRoutes reports the routes that name pools, models, adapters or versions which are not in the pools table. Both tables must have
// passed their own checks.
// The error is of type document.Problems.
func CheckRoutes(routes route.Table, pools Table) error {
	var c document.Checker
	for i, r := range routes.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		index := slices.IndexFunc(pools.Pools, func(p Pool) bool { return p.Name == r.Pool })
		if index < 0 {
			c.Require(false, path+".pool", r.Pool, "a pool of the pools table")
			continue
		}
		p := pools.Pools[index]
		c.Require(p.Kind == r.Kind, path+".pool", r.Pool, fmt.Sprintf("a pool of kind %s", r.Kind))
		if p.Kind == route.Model && r.Kind == route.Model {
			p.checkRoute(&c, path, r)
		}
	}
	return c.Err()
}

func (p Pool) checkRoute(c *document.Checker, path string, r route.Route) {
	index := slices.IndexFunc(p.Models, func(m Model) bool { return m.Name == r.Model })
	if index < 0 {
		c.Require(false, path+".model", r.Model, fmt.Sprintf("a model of pool %q", p.Name))
		return
	}
	m := p.Models[index]
	c.Require(r.Version == "" || r.Version == m.Version, path+".version", r.Version, fmt.Sprintf("%q, the version of model %q", m.Version, m.Name))
	known := r.Adapter == "" || slices.ContainsFunc(m.Adapters, func(a Adapter) bool { return a.Name == r.Adapter })
	c.Require(known, path+".adapter", r.Adapter, fmt.Sprintf("an adapter of model %q", m.Name))
}
