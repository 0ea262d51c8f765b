package bench

import (
	"strconv"

	"magnoliahoist/account"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// rows is the stand-in for the table service.
type rows struct {
	list     map[string]table.Row
	revision int64
	down     bool
}

func (r *rows) commit(txn table.Txn) table.Result {
	for _, c := range txn.Compares {
		if r.list[c.Key].Revision != c.Revision {
			return table.Result{Revision: r.revision}
		}
	}
	r.revision++
	for _, w := range txn.Writes {
		r.list[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: r.revision}
	}
	return table.Result{Committed: true, Revision: r.revision}
}

func (r *rows) after(revision int64) table.Snapshot {
	s := table.Snapshot{Revision: r.revision}
	for _, row := range r.list {
		if row.Revision > revision {
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// newRows returns the rows of a deployment with its hosts as members. Shares and leases are left to the hosts.
func newRows(d Deployment) *rows {
	r := &rows{list: map[string]table.Row{}}
	var txn table.Txn
	add := func(key string, value []byte) { txn.Writes = append(txn.Writes, table.Write{Key: key, Value: value}) }
	for _, a := range d.Routes.Accounts {
		add(replica.KeyForAccount(a.Name), replica.EncodeAccount(a))
		add(replica.KeyForKey(digestOf(a.Name)), replica.EncodeKey(account.Key{Digest: digestOf(a.Name), Account: a.Name}))
	}
	for _, entry := range d.Routes.Routes {
		add(replica.KeyForRoute(entry.Name), replica.EncodeRoute(entry))
	}
	for _, p := range d.Pools.Pools {
		add(replica.KeyForPool(p.Name), replica.EncodePool(p))
	}
	for n, domain := range d.Domains {
		id := hostID(n)
		add(replica.KeyForMember(id), replica.EncodeMember(replica.Member{ID: id, Address: id, Domain: domain, Group: "all"}))
	}
	r.commit(txn)
	return r
}

func digestOf(account string) string { return "digest-" + account }

func hostID(n int) string { return "host-" + strconv.Itoa(n+1) }

// modelPool returns the pool of model endpoints.
func modelPool(t pool.Table) pool.Pool {
	for _, p := range t.Pools {
		if p.Kind == route.Model {
			return p
		}
	}
	return pool.Pool{}
}
