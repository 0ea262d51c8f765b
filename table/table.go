// Package table is the client of the platform's table service.
package table

import (
	"time"

	"github.com/juju/errors"
)

// Row is one key with its value; Revision is that of its last write.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool // only in feeds of changes
}

// Snapshot holds rows as of Revision. Clock is the service's steady clock at the answer, where it tells it.
type Snapshot struct {
	Rows     []Row
	Revision int64
	Clock    time.Duration
}

// Compare is a condition on the revision of a row; 0 requires that the row is absent.
type Compare struct {
	Key      string
	Revision int64
}

// Write puts or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn applies all writes when all compares hold, else none. No key may be written twice.
type Txn struct {
	Compares []Compare
	Writes   []Write
}

// Result tells whether the compares held; Revision is that of the commit or, when they did not
// hold, that of the table.
type Result struct {
	Committed bool
	Revision  int64
}

// ErrNotSent means that the write did not and will not take effect.
const ErrNotSent = errors.ConstError("write was not carried out")

// ErrUnknown means that the write may have taken effect or may do so later.
const ErrUnknown = errors.ConstError("outcome of the write is unknown")

// ErrUnavailable means that the table service did not answer a read.
const ErrUnavailable = errors.ConstError("table service is unavailable")

// ErrCompacted means that the history after a revision is gone, so that the rows must be read whole.
const ErrCompacted = errors.ConstError("history is compacted")
