package call

import "magnoliahoist/table"

// clearMachine makes sure that the intent of an attempt that was never sent has no effect. The intent may be in the row
// already, or may still be written if the row has the expected revision.
type clearMachine struct {
	attempt          Attempt
	expectedRevision int64 // of the row; the intent was conditional on it
}

func (c *clearMachine) row() string { return c.attempt.row }

func (c *clearMachine) start() step { return readStep{} }

func (c *clearMachine) onCommit(r table.Result, err error) step {
	if err == nil && r.Committed {
		return closedStep{}
	}
	return readStep{}
}

// onRead replaces the attempt's intent by a void record. If the intent isn't in the row but could still be written, the
// void record changes the row's revision, so that the intent no longer can.
func (c *clearMachine) onRead(row table.Row, err error) step {
	if err != nil {
		return readStep{}
	}
	void := record{State: Void, Host: c.attempt.host, Attempt: c.attempt.ID, Request: c.attempt.request}
	if row.Revision == c.expectedRevision {
		return writeRow(c.attempt.row, c.expectedRevision, void)
	}
	found, err := decode(row.Value)
	if err != nil {
		return closedStep{err}
	}
	if found.Attempt == c.attempt.ID && found.State == Intent {
		return writeRow(c.attempt.row, row.Revision, void)
	}
	return closedStep{}
}
