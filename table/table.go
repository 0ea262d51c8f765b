// Package table is the client of the platform's table service.
package table

import (
	"time"

	"github.com/juju/errors"
)

// Row is a key with its value; Revision is the table's revision at its last write.
type Row struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool // the row was deleted; set only in change feeds, never by Client.Read
}

// Snapshot holds rows as of Revision. Clock is the reading of the service's steady clock at the time of
// the response, zero if the service does not report it.
type Snapshot struct {
	Rows     []Row
	Revision int64
	Clock    time.Duration
}

// Compare requires that the row was last written at Revision; 0 requires that the row is absent.
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

// Txn is a transaction: all its writes are applied if all its compares hold, else none. It may write a
// key only once.
type Txn struct {
	Compares []Compare
	Writes   []Write
}

// Result reports whether the compares held. Revision is the revision of the commit or, if the compares
// did not hold, the current revision of the table.
type Result struct {
	Committed bool
	Revision  int64
}

// ErrNotApplied means that the transaction did not take effect and will not.
const ErrNotApplied = errors.ConstError("transaction was not applied")

// ErrOutcomeUnknown means that the transaction may have taken effect or may do so later.
const ErrOutcomeUnknown = errors.ConstError("outcome of the transaction is unknown")

// ErrThrottled means that the table service refused a call because there were too many. Such a call had no effect.
const ErrThrottled = errors.ConstError("table service refused the call because of its rate")

// ErrUnavailable means that the table service did not respond to a read.
const ErrUnavailable = errors.ConstError("table service is unavailable")

// ErrCompacted means that the changes since the requested revision are no longer available, so that the
// reader has to read all rows again.
const ErrCompacted = errors.ConstError("history is compacted")
