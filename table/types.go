// Package table is the client of the platform's table service.
package table

import "errors"

// Row is one row with the revision of its last write.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
}

// Snapshot holds rows as of a revision.
type Snapshot struct {
	Rows     []Row
	Revision int64
}

// Compare is a condition on the last write of a row; revision 0 means that the row must be absent.
type Compare struct {
	Key      string
	Revision int64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is applied as a whole when all conditions hold.
type Txn struct {
	Compares []Compare
	Writes   []Write
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool
	Revision  int64
}

// ErrNotSent says that the call had no effect; after ErrUnknown the write may have taken effect or may do so later.
var (
	ErrNotSent = errors.New("table: request not sent")
	ErrUnknown = errors.New("table: outcome unknown")
)
