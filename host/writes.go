package host

import (
	"bytes"

	"magnoliahoist/account"
	"magnoliahoist/lease"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// rowSet is the rows of a table by key.
type rowSet map[string][]byte

// changes returns the writes that turn one set of rows into another; what is gone becomes a tombstone.
func changes(before, after rowSet) []table.Write {
	var writes []table.Write
	for key, value := range after {
		if !bytes.Equal(before[key], value) {
			writes = append(writes, table.Write{Key: key, Value: value})
		}
	}
	for key := range before {
		if _, kept := after[key]; !kept {
			writes = append(writes, table.Write{Key: key, Value: replica.EncodeGone()})
		}
	}
	return writes
}

func routeWrites(before, after route.Table) []table.Write {
	return changes(routeRows(before), routeRows(after))
}

func routeRows(t route.Table) rowSet {
	rows := rowSet{}
	for _, entry := range t.Accounts {
		rows[replica.KeyForAccount(entry.Name)] = replica.EncodeAccount(entry)
	}
	for _, entry := range t.Routes {
		rows[replica.KeyForRoute(entry.Name)] = replica.EncodeRoute(entry)
	}
	return rows
}

func poolWrites(before, after pool.Table) []table.Write {
	return changes(poolRows(before), poolRows(after))
}

func poolRows(t pool.Table) rowSet {
	rows := rowSet{}
	for _, entry := range t.Pools {
		rows[replica.KeyForPool(entry.Name)] = replica.EncodePool(entry)
	}
	return rows
}

// shareWrites divides the allowance of accounts that are new.
func (h *Host) shareWrites(view *replica.View, accounts []account.Account) []table.Write {
	var writes []table.Write
	for _, entry := range accounts {
		if _, divided := view.ShareOf(entry.Name); divided {
			continue
		}
		parts := lease.Assign(view.Members(), entry.Name, h.settings.Holders)
		if len(parts) == 0 {
			continue
		}
		writes = append(writes, table.Write{
			Key:   replica.KeyForShare(entry.Name),
			Value: replica.EncodeShare(replica.Share{Parts: parts}),
		})
	}
	return writes
}
