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

// rowSet holds the values of rows by key.
type rowSet map[string][]byte

// rowWrites returns the writes that turn one set of rows into another. Removed rows become tombstones.
func rowWrites(before, after rowSet) []table.Write {
	var writes []table.Write
	for key, value := range after {
		if !bytes.Equal(before[key], value) {
			writes = append(writes, table.Write{Key: key, Value: value})
		}
	}
	for key := range before {
		if _, kept := after[key]; !kept {
			writes = append(writes, table.Write{Key: key, Value: replica.EncodeTombstone()})
		}
	}
	return writes
}

// routeWrites returns the writes that replace a route table.
func routeWrites(before, after route.Table) []table.Write {
	return rowWrites(routeRows(before), routeRows(after))
}

// routeRows returns the rows of a route table.
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

// poolWrites returns the writes that replace a pools table.
func poolWrites(before, after pool.Table) []table.Write {
	return rowWrites(poolRows(before), poolRows(after))
}

// poolRows returns the rows of a pools table.
func poolRows(t pool.Table) rowSet {
	rows := rowSet{}
	for _, entry := range t.Pools {
		rows[replica.KeyForPool(entry.Name)] = replica.EncodePool(entry)
	}
	return rows
}

// shareWrites returns the writes of the shares of those accounts that have none yet. A share divides the rate and burst of an
// account among hosts.
func (h *Host) shareWrites(view *replica.View, accounts []account.Account) []table.Write {
	var writes []table.Write
	for _, entry := range accounts {
		if _, found := view.ShareOf(entry.Name); found {
			continue
		}
		parts := lease.AssignParts(view.Members(), entry.Name, h.settings.HoldersPerAccount)
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
