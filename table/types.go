// Package table is the client of the platform's table service.
package table

import "errors"

// Row is a row of the table service.
type Row struct {
	Key      string
	Value    []byte
	Revision int64 // of the last write
}

// Snapshot is the state as of a revision.
type Snapshot struct {
	Rows     []Row
	Revision int64
}

// Compare is a condition of a transaction: the row's revision, 0 if it must be absent.
type Compare struct {
	Key      string
	Revision int64
}

// Write is a change to a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: the writes take effect if every comparison holds.
type Txn struct {
	Compares []Compare
	Writes   []Write
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool
	Revision  int64
}

var (
	// ErrNotSent says that a request did not reach the service.
	ErrNotSent = errors.New("table: request not sent")
	// ErrUnknown says that a write may have taken effect or may do so later.
	ErrUnknown = errors.New("table: outcome of the write unknown")
)
