package replica

import (
	"cmp"
	"slices"
	"strings"

	"magnoliahoist/account"
	"magnoliahoist/pool"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// View is an immutable copy of the replicated rows, complete as of its revision.
type View struct {
	revision int64
	heads    *section[Head]
	accounts *section[account.Account]
	routes   *section[route.Route]
	pools    *section[pool.Pool]
	keys     *section[account.Key]
	members  *section[Member]
	shares   *section[Share]
	leases   *section[Lease]
	others   *section[struct{}]
	services []route.Route       // by length of the prefix, longest first
	groups   map[string][]Member // in the order of joining
	removed  []removed
}

// NewView returns an empty view at revision 0.
func NewView() *View {
	return &View{
		heads: &section[Head]{}, accounts: &section[account.Account]{}, routes: &section[route.Route]{},
		pools: &section[pool.Pool]{}, keys: &section[account.Key]{}, members: &section[Member]{},
		shares: &section[Share]{}, leases: &section[Lease]{}, others: &section[struct{}]{},
	}
}

// prefixOf returns the prefix of the row's kind.
func prefixOf(key string) string {
	for _, prefix := range []string{prefixAccount, prefixRoute, prefixPool, prefixKey, prefixMember, prefixShare, prefixLease} {
		if strings.HasPrefix(key, prefix) {
			return prefix
		}
	}
	if key == keyHead {
		return keyHead
	}
	return ""
}

// With returns the view with the rows applied. A row that is not newer than the one held is
// ignored, and the revision is never lowered. Only the maps that change are copied.
func (v *View) With(rows []table.Row, revision int64) *View {
	kinds := map[string][]table.Row{}
	for _, row := range rows {
		prefix := prefixOf(row.Key)
		kinds[prefix] = append(kinds[prefix], row)
	}
	next := *v
	next.revision = max(v.revision, revision)
	next.heads = v.heads.with(keyHead, kinds[keyHead], decodeHead)
	next.accounts = v.accounts.with(prefixAccount, kinds[prefixAccount], decodeAccount)
	next.routes = v.routes.with(prefixRoute, kinds[prefixRoute], decodeRoute)
	next.pools = v.pools.with(prefixPool, kinds[prefixPool], decodePool)
	next.keys = v.keys.with(prefixKey, kinds[prefixKey], decodeKey)
	next.members = v.members.with(prefixMember, kinds[prefixMember], decodeMember)
	next.shares = v.shares.with(prefixShare, kinds[prefixShare], decodeShare)
	next.leases = v.leases.with(prefixLease, kinds[prefixLease], decodeLease)
	next.others = v.others.with("", kinds[""], decodeOther)
	if next.routes != v.routes {
		next.services = servicesOf(next.routes.list())
	}
	if next.members != v.members {
		next.groups = groupsOf(next.members.list())
		next.removed = removedOf(next.members.rows)
	}
	return &next
}

func servicesOf(routes []route.Route) []route.Route {
	var services []route.Route
	for _, r := range routes {
		if r.Kind == route.Service && r.Prefix != "" {
			services = append(services, r)
		}
	}
	slices.SortStableFunc(services, func(a, b route.Route) int { return len(b.Prefix) - len(a.Prefix) })
	return services
}

func groupsOf(members []Member) map[string][]Member {
	groups := map[string][]Member{}
	for _, m := range members {
		groups[m.Group] = append(groups[m.Group], m)
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
		})
	}
	return groups
}

// Revision returns the revision up to which the view is complete.
func (v *View) Revision() int64 { return v.revision }

// Head returns the head row and its revision, 0 when there is none.
func (v *View) Head() (Head, int64) {
	return v.heads.items[""], v.heads.rows[""].Revision
}

// RowsAfter returns the raw rows written after the revision, tombstones included, oldest first.
func (v *View) RowsAfter(revision int64) []table.Row {
	if revision >= v.revision {
		return nil
	}
	var rows []table.Row
	rows = v.heads.appendAfter(rows, revision)
	rows = v.accounts.appendAfter(rows, revision)
	rows = v.routes.appendAfter(rows, revision)
	rows = v.pools.appendAfter(rows, revision)
	rows = v.keys.appendAfter(rows, revision)
	rows = v.members.appendAfter(rows, revision)
	rows = v.shares.appendAfter(rows, revision)
	rows = v.leases.appendAfter(rows, revision)
	rows = v.others.appendAfter(rows, revision)
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// Broken describes the rows that do not decode; they are absent from the decoded lists.
func (v *View) Broken() []string {
	var list []string
	list = v.heads.appendBroken(list)
	list = v.accounts.appendBroken(list)
	list = v.routes.appendBroken(list)
	list = v.pools.appendBroken(list)
	list = v.keys.appendBroken(list)
	list = v.members.appendBroken(list)
	list = v.shares.appendBroken(list)
	return v.leases.appendBroken(list)
}
