package call

import (
	"errors"

	"magnoliahoist/table"
)

// step is the next action that a state machine asks its driver for, or the machine's end.
type step interface{ step() }

// commitStep asks for a transaction, whose result is passed to onCommit.
type commitStep struct{ txn table.Txn }

// readStep asks for the row, which is passed to onRead.
type readStep struct{}

// decidedStep ends a beginMachine.
type decidedStep struct{ decision Decision }

// closedStep ends a closeMachine or clearMachine, or any machine whose context has ended.
type closedStep struct{ err error }

func (commitStep) step()  {}
func (readStep) step()    {}
func (decidedStep) step() {}
func (closedStep) step()  {}

// stateMachine turns the results and rows from the table service into the next step. It performs no I/O. A row with the
// revision 0 is absent.
type stateMachine interface {
	onCommit(r table.Result, err error) step
	onRead(row table.Row, err error) step
}

// writeRow returns the step that writes the record to the row if the row has the revision.
func writeRow(key string, revision int64, r record) commitStep {
	return commitStep{table.Txn{
		Compares: []table.Compare{{Key: key, Revision: revision}},
		Writes:   []table.Write{{Key: key, Value: r.encode()}},
	}}
}

// isNotSent reports whether the error says that the request was not sent to the table service and had no effect.
func isNotSent(err error) bool { return errors.Is(err, table.ErrNotApplied) }
