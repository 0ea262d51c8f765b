// Package table is the client of the platform's table service.
package table

import "errors"

// Row is a row as of its last write.
type Row struct {
	Key      string
	Value    []byte
	Revision int64 // of the last write
}

// Snapshot is the state of a range of rows as of Revision.
type Snapshot struct {
	Rows     []Row
	Revision int64
}

// Compare is a condition on a row's revision; 0 means that the row must be absent.
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

// Txn applies all writes when all compares hold, and nothing otherwise.
type Txn struct {
	Compares []Compare
	Writes   []Write
}

// Result is the answer to a transaction that the service decided.
type Result struct {
	Committed bool
	Revision  int64
}

// ErrNotSent reports a request that certainly had and will have no effect.
var ErrNotSent = errors.New("table: request not sent")

// ErrUnknown reports a write that may have taken effect or may do so later.
var ErrUnknown = errors.New("table: outcome of the write is unknown")
