package call

import "magnoliahoist/table"

// maxFailures is the number of failed requests to the table service after which a begin machine gives up. As every
// failure is followed by a wait, it bounds the caller's delay.
const maxFailures = 5

// maxConflicts is how often other attempts under the same key may change the row while a begin machine tries to write
// its intent.
const maxConflicts = 16

// beginMachine decides whether a call may be sent. It writes the intent under the condition that the row still has the
// revision last read. When the result of this write is lost and the row still has that revision, it writes a void record
// under the same condition. Only one of the two writes can take effect, however late the other arrives.
type beginMachine struct {
	attempt          Attempt
	expectedRevision int64 // of the row; the writes are conditional on it
	intentPending    bool  // an intent conditional on expectedRevision may still take effect
	voiding          bool  // the last write was the void record
	failures         int   // failed requests to the table service
	conflicts        int   // writes that failed because the row had changed
}

// start returns the first step, which assumes that the row is absent, because most keys are new.
func (b *beginMachine) start() step { return b.writeIntent(0) }

// writeIntent writes the intent if the row still has the expected revision.
func (b *beginMachine) writeIntent(expectedRevision int64) step {
	b.expectedRevision, b.intentPending, b.voiding = expectedRevision, false, false
	return writeRow(b.attempt.row, expectedRevision, b.newRecord(Intent))
}

// writeVoid makes sure that a pending intent can't take effect.
func (b *beginMachine) writeVoid() step {
	b.voiding = true
	return writeRow(b.attempt.row, b.expectedRevision, b.newRecord(Void))
}

func (b *beginMachine) newRecord(s State) record {
	return record{State: s, Host: b.attempt.host, Attempt: b.attempt.ID, Request: b.attempt.request}
}

func (b *beginMachine) onCommit(r table.Result, err error) step {
	switch {
	case err == nil && !r.Committed:
		// The row no longer has the revision on which all writes so far are conditional, so none of them can
		// take effect any more.
		if b.conflicts++; b.conflicts > maxConflicts {
			return decidedStep{Refused{ErrContended}}
		}
		return readStep{}
	case err == nil && b.voiding:
		return decidedStep{Refused{}}
	case err == nil:
		return b.proceed(r.Revision)
	case !b.voiding && isNotSent(err):
		return decidedStep{Refused{err}}
	}
	b.intentPending = true
	return b.retryRead(err)
}

func (b *beginMachine) onRead(row table.Row, err error) step {
	if err != nil {
		return b.retryRead(err)
	}
	if row.Revision == b.expectedRevision && b.intentPending {
		return b.writeVoid()
	}
	if row.Revision == 0 {
		return b.writeIntent(0)
	}
	found, err := decode(row.Value)
	switch {
	case err != nil:
		return decidedStep{Unknown{err}}
	case found.Attempt == b.attempt.ID && found.State == Intent:
		return b.proceed(row.Revision)
	case found.Attempt == b.attempt.ID && found.State == Void:
		return decidedStep{Refused{}}
	case found.State == Void:
		return b.writeIntent(row.Revision)
	case found.Request != b.attempt.request:
		return decidedStep{Mismatch{}}
	case found.State == Done:
		return decidedStep{Replay{*found.Outcome}}
	case found.State == Intent:
		return decidedStep{Busy{found.Host}}
	}
	return decidedStep{Unknown{}}
}

// retryRead reads the row again, or gives up after maxFailures.
func (b *beginMachine) retryRead(err error) step {
	b.failures++
	if b.failures >= maxFailures {
		return b.giveUp(err)
	}
	return readStep{}
}

// giveUp ends the machine because the table service failed too often or the context has ended. The attempt is not sent,
// but its intent may still take effect.
func (b *beginMachine) giveUp(err error) decidedStep {
	attempt := b.attempt
	attempt.revision = b.expectedRevision
	return decidedStep{Unrecorded{attempt, err}}
}

// proceed allows the call to be sent; its intent is recorded at the revision.
func (b *beginMachine) proceed(revision int64) step {
	b.attempt.revision = revision
	return decidedStep{Proceed{b.attempt}}
}
