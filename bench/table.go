package bench

import (
	"strconv"

	"magnoliahoist/account"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// fakeTable models the table service in memory.
type fakeTable struct {
	rows     map[string]table.Row
	revision int64
	down     bool
}

// commit applies a transaction if every key that it compares has the expected revision.
func (t *fakeTable) commit(txn table.Txn) table.Result {
	for _, c := range txn.Compares {
		if t.rows[c.Key].Revision != c.Revision {
			return table.Result{Revision: t.revision}
		}
	}
	t.revision++
	for _, w := range txn.Writes {
		t.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: t.revision}
	}
	return table.Result{Committed: true, Revision: t.revision}
}

// rowsAfter returns the rows that changed after a revision.
func (t *fakeTable) rowsAfter(revision int64) table.Snapshot {
	s := table.Snapshot{Revision: t.revision}
	for _, row := range t.rows {
		if row.Revision > revision {
			s.Rows = append(s.Rows, row)
		}
	}
	return s
}

// newFakeTable returns a table with the configuration of a deployment and its hosts as members. The hosts add the shares and leases.
func newFakeTable(d Deployment) *fakeTable {
	t := &fakeTable{rows: map[string]table.Row{}}
	var txn table.Txn
	add := func(key string, value []byte) { txn.Writes = append(txn.Writes, table.Write{Key: key, Value: value}) }
	for _, a := range d.Routes.Accounts {
		add(replica.KeyForAccount(a.Name), replica.EncodeAccount(a))
		add(replica.KeyForAccountKey(digestOf(a.Name)), replica.EncodeKey(account.Key{Digest: digestOf(a.Name), Account: a.Name}))
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
	t.commit(txn)
	return t
}

// digestOf returns the digest of the only key of an account.
func digestOf(account string) string { return "digest-" + account }

// hostID returns the ID of the host with an index.
func hostID(n int) string { return "host-" + strconv.Itoa(n+1) }

// modelPool returns the first pool of model endpoints, or an empty pool if there is none.
func modelPool(t pool.Table) pool.Pool {
	for _, p := range t.Pools {
		if p.Kind == route.Model {
			return p
		}
	}
	return pool.Pool{}
}
