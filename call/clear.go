package call

import "magnoliahoist/table"

// clearMachine makes sure that the intent of an attempt that was never sent has no effect. The intent may be in the row
// already, or may still be written if the row has the expected revision.
type clearMachine struct {
	attempt          Attempt
	expectedRevision int64 // of the row; the intent was conditional on it
}

func (s *clearMachine) row() string { return s.attempt.row }

func (s *clearMachine) start() step { return readStep{} }

func (s *clearMachine) onCommit(r table.Result, err error) step {
	if err == nil && r.Committed {
		return closedStep{}
	}
	return readStep{}
}

// onRead replaces the attempt's intent by a void record. If the intent isn't in the row but could still be written, the
// void record changes the row's revision, so that the intent no longer can.
func (s *clearMachine) onRead(row table.Row, err error) step {
	if err != nil {
		return readStep{}
	}
	void := record{State: Void, Host: s.attempt.host, Attempt: s.attempt.ID, Request: s.attempt.request}
	if row.Revision == s.expectedRevision {
		return writeRow(s.attempt.row, s.expectedRevision, void)
	}
	found, err := decode(row.Value)
	if err != nil {
		return closedStep{err}
	}
	if found.Attempt == s.attempt.ID && found.State == Intent {
		return writeRow(s.attempt.row, row.Revision, void)
	}
	return closedStep{}
}
