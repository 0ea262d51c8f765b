package call

import "magnoliahoist/table"

// settling removes what may be left of an attempt that was never sent: an intent that took effect, or
// that may still do so under the condition that the row is at a revision.
type settling struct {
	attempt Attempt
	at      int64 // revision that the intent was conditional on
}

func (s *settling) row() string { return s.attempt.row }

func (s *settling) start() step { return read{} }

func (s *settling) committed(r table.Result, err error) step {
	if err == nil && r.Committed {
		return closed{}
	}
	return read{}
}

// seen voids the attempt's intent, or takes the place in which it would land.
func (s *settling) seen(row table.Row, err error) step {
	if err != nil {
		return read{}
	}
	void := record{State: Void, Host: s.attempt.host, Attempt: s.attempt.ID, Request: s.attempt.request}
	if row.Revision == s.at {
		return write(s.attempt.row, s.at, void)
	}
	found, err := decode(row.Value)
	if err != nil {
		return closed{err}
	}
	if found.Attempt == s.attempt.ID && found.State == Intent {
		return write(s.attempt.row, row.Revision, void)
	}
	return closed{}
}
