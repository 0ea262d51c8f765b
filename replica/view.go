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

// View is an immutable copy of the replicated rows. It contains all rows up to its revision.
type View struct {
	revision       int64
	heads          *collection[Head]
	accounts       *collection[account.Account]
	routes         *collection[route.Route]
	pools          *collection[pool.Pool]
	keys           *collection[account.Key]
	members        *collection[Member]
	shares         *collection[Share]
	leases         *collection[Lease]
	unknown        *collection[struct{}] // rows of kinds that this version does not know
	serviceRoutes  []route.Route         // longest prefix first
	groups         map[string][]Member   // by group, in the order of joining
	removedMembers []removedMember
}

// NewView returns an empty view with revision 0.
func NewView() *View {
	return &View{
		heads: &collection[Head]{}, accounts: &collection[account.Account]{}, routes: &collection[route.Route]{},
		pools: &collection[pool.Pool]{}, keys: &collection[account.Key]{}, members: &collection[Member]{},
		shares: &collection[Share]{}, leases: &collection[Lease]{}, unknown: &collection[struct{}]{},
	}
}

// kindPrefix returns the key prefix of the row's kind, empty for an unknown kind.
func kindPrefix(key string) string {
	for _, prefix := range []string{prefixAccount, prefixRoute, prefixPool, prefixAccountKey, prefixMember, prefixShare, prefixLease} {
		if strings.HasPrefix(key, prefix) {
			return prefix
		}
	}
	if key == keyHead {
		return keyHead
	}
	return ""
}

// WithRows returns a view with the rows applied. It ignores rows that aren't newer than those of the view, and never lowers
// the revision. Only collections with newer rows are copied.
func (v *View) WithRows(rows []table.Row, revision int64) *View {
	byKind := map[string][]table.Row{}
	for _, row := range rows {
		prefix := kindPrefix(row.Key)
		byKind[prefix] = append(byKind[prefix], row)
	}
	next := *v
	next.revision = max(v.revision, revision)
	next.heads = v.heads.withRows(keyHead, byKind[keyHead], decodeHead)
	next.accounts = v.accounts.withRows(prefixAccount, byKind[prefixAccount], decodeAccount)
	next.routes = v.routes.withRows(prefixRoute, byKind[prefixRoute], decodeRoute)
	next.pools = v.pools.withRows(prefixPool, byKind[prefixPool], decodePool)
	next.keys = v.keys.withRows(prefixAccountKey, byKind[prefixAccountKey], decodeKey)
	next.members = v.members.withRows(prefixMember, byKind[prefixMember], decodeMember)
	next.shares = v.shares.withRows(prefixShare, byKind[prefixShare], decodeShare)
	next.leases = v.leases.withRows(prefixLease, byKind[prefixLease], decodeLease)
	next.unknown = v.unknown.withRows("", byKind[""], decodeUnknown)
	if next.routes != v.routes {
		next.serviceRoutes = serviceRoutes(next.routes.list())
	}
	if next.members != v.members {
		next.groups = membersByGroup(next.members.list())
		next.removedMembers = removedMembers(next.members.rows)
	}
	return &next
}

// serviceRoutes returns the service routes that have a prefix, longest prefix first.
func serviceRoutes(routes []route.Route) []route.Route {
	var services []route.Route
	for _, r := range routes {
		if r.Kind == route.Service && r.Prefix != "" {
			services = append(services, r)
		}
	}
	slices.SortStableFunc(services, func(a, b route.Route) int { return len(b.Prefix) - len(a.Prefix) })
	return services
}

// membersByGroup returns the members of each group in the order of joining.
func membersByGroup(members []Member) map[string][]Member {
	groups := map[string][]Member{}
	for _, m := range members {
		groups[m.Group] = append(groups[m.Group], m)
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.JoinRevision, b.JoinRevision), cmp.Compare(a.ID, b.ID))
		})
	}
	return groups
}

// Revision returns the revision up to which the view contains all rows.
func (v *View) Revision() int64 { return v.revision }

// Head returns the head row and its revision, which is 0 when there is no such row.
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
	rows = v.unknown.appendAfter(rows, revision)
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// BrokenRows returns an error text for each row that fails to decode, with the row's key. Lookups don't find such rows.
func (v *View) BrokenRows() []string {
	var list []string
	list = v.heads.appendDecodeErrors(list)
	list = v.accounts.appendDecodeErrors(list)
	list = v.routes.appendDecodeErrors(list)
	list = v.pools.appendDecodeErrors(list)
	list = v.keys.appendDecodeErrors(list)
	list = v.members.appendDecodeErrors(list)
	list = v.shares.appendDecodeErrors(list)
	return v.leases.appendDecodeErrors(list)
}
