package call

import (
	"errors"

	"magnoliahoist/table"
)

// step is what a machine wants done next.
type step interface{ step() }

// commit asks for a transaction; its result goes to committed.
type commit struct{ txn table.Txn }

// read asks for the row; it goes to seen.
type read struct{}

// decided ends a beginning.
type decided struct{ decision Decision }

// closed ends a closing.
type closed struct{ err error }

func (commit) step()  {}
func (read) step()    {}
func (decided) step() {}
func (closed) step()  {}

// machine decides on the answers of the table service. It performs no I/O. A row of
// revision 0 is absent.
type machine interface {
	committed(r table.Result, err error) step
	seen(row table.Row, err error) step
}

// write returns the transaction that sets a row if it is at revision.
func write(key string, revision int64, r record) commit {
	return commit{table.Txn{
		Compares: []table.Compare{{Key: key, Revision: revision}},
		Writes:   []table.Write{{Key: key, Value: r.encode()}},
	}}
}

// isNotSent reports whether a request certainly had no effect.
func isNotSent(err error) bool { return errors.Is(err, table.ErrNotSent) }
