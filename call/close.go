package call

import "magnoliahoist/table"

// closing writes the result of an attempt under the condition that the row still
// holds its intent. It tries again after every failure; its driver decides when to
// stop.
type closing struct {
	attempt Attempt
	result  record
}

func (a Attempt) close(s State, o *Outcome) *closing {
	return &closing{a, record{State: s, Host: a.host, Attempt: a.ID, Request: a.request, Outcome: o}}
}

func (c *closing) row() string { return c.attempt.row }

func (c *closing) start() step { return write(c.attempt.row, c.attempt.revision, c.result) }

func (c *closing) committed(r table.Result, err error) step {
	switch {
	case err != nil:
		return c.start()
	case !r.Committed:
		return read{}
	}
	return closed{}
}

// seen handles a row that no longer holds the intent: an earlier write of this
// result took effect, or its void did and another attempt followed.
func (c *closing) seen(row table.Row, err error) step {
	if err != nil {
		return read{}
	}
	found, err := decode(row.Value)
	if err != nil {
		return closed{err}
	}
	if found.Attempt == c.attempt.ID && found.State == c.result.State {
		return closed{}
	}
	if found.Attempt != c.attempt.ID && c.result.State == Void {
		return closed{}
	}
	return closed{ErrClosed}
}
