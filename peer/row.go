package peer

import (
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// RowsOf returns the rows as messages.
func RowsOf(rows []table.Row) []*Row {
	list := make([]*Row, len(rows))
	for i, row := range rows {
		list[i] = &Row{Key: row.Key, Value: row.Value, Revision: row.Revision}
	}
	return list
}

// Snapshot returns the rows and revision of the answer.
func (x *SyncResponse) Snapshot() table.Snapshot {
	s := table.Snapshot{Revision: x.GetRevision(), Rows: make([]table.Row, len(x.GetRows()))}
	for i, row := range x.GetRows() {
		s.Rows[i] = table.Row{Key: row.GetKey(), Value: row.GetValue(), Revision: row.GetRevision()}
	}
	return s
}

// Source returns the member that answered, as the source of the snapshot.
func (x *SyncResponse) Source() replica.FromMember {
	return replica.FromMember{ID: x.GetReply().GetFrom(), TableAge: time.Duration(x.GetTableAge())}
}
