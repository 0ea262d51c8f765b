// Package catalog holds the operator's configuration as one immutable value: client accounts, routes and pools, with the lookups
// that requests need.
package catalog

import (
	"slices"
	"strings"
)

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	version  int64
	limits   Limits
	accounts map[string]Account
	owners   map[Digest]string  // account name by key digest
	routes   map[string][]Route // by host in lower case, the longest prefix first
	pools    map[string]Pool
}

// Document is the content of a catalog, as New takes it.
type Document struct {
	Version   int64
	Limits    Limits
	Accounts  []Account
	KeyOwners map[Digest]string // account name by key digest
	Routes    []Route
	Pools     []Pool
}

// New returns a catalog with the content of a document. The names in the document must be unique.
func New(d Document) *Catalog {
	c := &Catalog{
		version:  d.Version,
		limits:   d.Limits,
		accounts: make(map[string]Account, len(d.Accounts)),
		owners:   d.KeyOwners,
		routes:   make(map[string][]Route),
		pools:    make(map[string]Pool, len(d.Pools)),
	}
	for _, a := range d.Accounts {
		c.accounts[a.Name] = a
	}
	for _, p := range d.Pools {
		c.pools[p.Name] = p
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Version returns the version of the configuration; a later one has a higher version.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the bounds on requests and connections of callers.
func (c *Catalog) Limits() Limits { return c.limits }

// RequiresKeys reports whether requests need a key on routes that are not open. They don't if there are no accounts.
func (c *Catalog) RequiresKeys() bool { return len(c.accounts) > 0 }

// RouteFor returns the route of a host with the longest prefix that matches the path, and whether there is one. The case of the
// host name doesn't matter.
func (c *Catalog) RouteFor(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// AccountByKey returns the account to which a key was issued, and whether there is one.
func (c *Catalog) AccountByKey(key Digest) (Account, bool) {
	name, issued := c.owners[key]
	if !issued {
		return Account{}, false
	}
	return c.AccountByName(name)
}

// AccountByName returns the account with a name, and whether it exists.
func (c *Catalog) AccountByName(name string) (Account, bool) {
	a, known := c.accounts[name]
	return a, known
}

// Accounts returns the names of all accounts in ascending order.
func (c *Catalog) Accounts() []string { return sortedKeys(c.accounts) }

// PoolByName returns the pool with a name, and whether it exists.
func (c *Catalog) PoolByName(name string) (Pool, bool) {
	p, known := c.pools[name]
	return p, known
}

// ResumablePools returns the names of the pools that serve streams which may be resumed, in ascending order.
func (c *Catalog) ResumablePools() []string {
	pools := map[string]bool{}
	for _, routes := range c.routes {
		for _, r := range routes {
			if !r.Stream || !r.Resumable {
				continue
			}
			for _, p := range r.Pools {
				pools[p.Pool] = true
			}
		}
	}
	return sortedKeys(pools)
}

// Pools returns the names of all pools in ascending order.
func (c *Catalog) Pools() []string { return sortedKeys(c.pools) }

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
