package call

import "magnoliahoist/table"

// closeMachine writes the result of an attempt under the condition that the row still contains the attempt's intent. It
// retries after every failure; its driver decides when to stop.
type closeMachine struct {
	attempt Attempt
	result  record
}

// newCloseMachine returns the machine that ends the attempt with the state and, in the state Done, the outcome.
func (a Attempt) newCloseMachine(s State, o *Outcome) *closeMachine {
	return &closeMachine{a, record{State: s, Host: a.host, Attempt: a.ID, Request: a.request, Outcome: o}}
}

func (c *closeMachine) row() string { return c.attempt.row }

func (c *closeMachine) start() step { return writeRow(c.attempt.row, c.attempt.revision, c.result) }

func (c *closeMachine) onCommit(r table.Result, err error) step {
	switch {
	case err != nil:
		return c.start()
	case !r.Committed:
		return readStep{}
	}
	return closedStep{}
}

// onRead handles a row that no longer contains the intent. This is no error when an earlier write of this result took
// effect, even if that was a void record and another attempt followed.
func (c *closeMachine) onRead(row table.Row, err error) step {
	if err != nil {
		return readStep{}
	}
	found, err := decode(row.Value)
	if err != nil {
		return closedStep{err}
	}
	if found.Attempt == c.attempt.ID && found.State == c.result.State {
		return closedStep{}
	}
	if found.Attempt != c.attempt.ID && c.result.State == Void {
		return closedStep{}
	}
	return closedStep{ErrResultConflict}
}
