package replica

import (
	"strings"

	"magnoliahoist/account"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// AccountByName returns the client account with the name.
func (v *View) AccountByName(name string) (account.Account, bool) {
	a, found := v.accounts.items[name]
	return a, found
}

// Accounts returns the client accounts sorted by name.
func (v *View) Accounts() []account.Account { return v.accounts.list() }

// RouteByModel returns the model route with the name, which callers give as the model of a request.
func (v *View) RouteByModel(name string) (route.Route, bool) {
	r, found := v.routes.items[name]
	if !found || r.Kind != route.Model {
		return route.Route{}, false
	}
	return r, true
}

// RouteByPath returns the service route with the longest prefix of the path.
// A prefix ends at a boundary between segments of the path.
func (v *View) RouteByPath(path string) (route.Route, bool) {
	for _, r := range v.serviceRoutes {
		rest, found := strings.CutPrefix(path, r.Prefix)
		if found && (rest == "" || strings.HasSuffix(r.Prefix, "/") || rest[0] == '/') {
			return r, true
		}
	}
	return route.Route{}, false
}

// Routes returns the routes sorted by name.
func (v *View) Routes() []route.Route { return v.routes.list() }

// PoolByName returns the pool with the name.
func (v *View) PoolByName(name string) (pool.Pool, bool) {
	p, found := v.pools.items[name]
	return p, found
}

// Pools returns the pools sorted by name.
func (v *View) Pools() []pool.Pool { return v.pools.list() }

// KeyByDigest returns the account key with the digest. The key may be withdrawn.
func (v *View) KeyByDigest(digest string) (account.Key, bool) {
	k, found := v.keys.items[digest]
	return k, found
}

// Keys returns the account keys sorted by digest.
func (v *View) Keys() []account.Key { return v.keys.list() }

// MemberByID returns the member with the id.
func (v *View) MemberByID(id string) (Member, bool) {
	m, found := v.members.items[id]
	return m, found
}

// Members returns the members sorted by id.
func (v *View) Members() []Member { return v.members.list() }

// ShareOf returns the share of the account: how its allowance is divided among hosts.
func (v *View) ShareOf(account string) (Share, bool) {
	s, found := v.shares.items[account]
	return s, found
}

// LeaseOf returns the lease of the pool.
func (v *View) LeaseOf(pool string) (Lease, bool) {
	l, found := v.leases.items[pool]
	return l, found
}

// RevisionOf returns the revision of the row with the key, which may be a tombstone or fail to decode, or 0 when the row
// is absent. A transaction that is conditional on the row must compare with this revision.
func (v *View) RevisionOf(key string) int64 {
	prefix := kindPrefix(key)
	name := key[len(prefix):]
	switch prefix {
	case keyHead:
		return v.heads.rows[name].Revision
	case prefixAccount:
		return v.accounts.rows[name].Revision
	case prefixRoute:
		return v.routes.rows[name].Revision
	case prefixPool:
		return v.pools.rows[name].Revision
	case prefixAccountKey:
		return v.keys.rows[name].Revision
	case prefixMember:
		return v.members.rows[name].Revision
	case prefixShare:
		return v.shares.rows[name].Revision
	case prefixLease:
		return v.leases.rows[name].Revision
	}
	return v.unknown.rows[name].Revision
}
