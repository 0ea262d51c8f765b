package peer

import (
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// RowMessages returns the rows of the table service as messages.
func RowMessages(rows []table.Row) []*Row {
	list := make([]*Row, len(rows))
	for i, row := range rows {
		list[i] = &Row{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted}
	}
	return list
}

// RowsFromMessages returns the messages as rows of the table service.
func RowsFromMessages(rows []*Row) []table.Row {
	list := make([]table.Row, len(rows))
	for i, row := range rows {
		list[i] = table.Row{Key: row.GetKey(), Value: row.GetValue(), Revision: row.GetRevision(), Deleted: row.GetDeleted()}
	}
	return list
}

// NewWriteRequest returns the request for the transaction, without a header.
func NewWriteRequest(txn table.Txn) *WriteRequest {
	request := &WriteRequest{}
	for _, c := range txn.Compares {
		request.Conditions = append(request.Conditions, &Condition{Key: c.Key, Revision: c.Revision})
	}
	for _, w := range txn.Writes {
		request.Changes = append(request.Changes, &Change{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return request
}

// TxnFromRequest returns the transaction of the request.
func TxnFromRequest(request *WriteRequest) table.Txn {
	var txn table.Txn
	for _, c := range request.GetConditions() {
		txn.Compares = append(txn.Compares, table.Compare{Key: c.GetKey(), Revision: c.GetRevision()})
	}
	for _, c := range request.GetChanges() {
		txn.Writes = append(txn.Writes, table.Write{Key: c.GetKey(), Value: c.GetValue(), Delete: c.GetDelete()})
	}
	return txn
}

// Snapshot returns the rows and the revision of the response.
func (x *SyncResponse) Snapshot() table.Snapshot {
	return table.Snapshot{Revision: x.GetRevision(), Rows: RowsFromMessages(x.GetRows())}
}

// Source returns the responding member as the source of the snapshot.
func (x *SyncResponse) Source() replica.FromMember {
	return replica.FromMember{ID: x.GetReply().GetFrom(), TableContactAge: time.Duration(x.GetTableAge())}
}
