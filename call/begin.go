package call

import "magnoliahoist/table"

// maxFailures is how often the table service may fail while a beginning is being
// settled. Every failure costs a wait, so that this bounds the caller's delay.
const maxFailures = 5

// maxRounds is how many other attempts may come and go under the key while a
// beginning tries to record its own.
const maxRounds = 16

// beginning decides whether a call may be sent. It writes the intent under the
// condition that the row is as last seen. When the reply is lost and the row still
// meets the condition, it writes void under the same condition: whichever of the two
// takes effect, the other must fail, however late it arrives.
type beginning struct {
	attempt  Attempt
	at       int64 // revision that the intent was conditional on
	pending  bool  // an intent conditional on at may still take effect
	fencing  bool  // the last commit was the void
	failures int
	rounds   int
}

// start returns the first step. Most keys are new, so it assumes an absent row.
func (b *beginning) start() step { return b.create(0) }

func (b *beginning) create(at int64) step {
	b.at, b.pending, b.fencing = at, false, false
	return write(b.attempt.row, at, b.record(Intent))
}

func (b *beginning) fence() step {
	b.fencing = true
	return write(b.attempt.row, b.at, b.record(Void))
}

func (b *beginning) record(s State) record {
	return record{State: s, Host: b.attempt.host, Attempt: b.attempt.ID, Request: b.attempt.request}
}

func (b *beginning) committed(r table.Result, err error) step {
	switch {
	case err == nil && !r.Committed:
		// The row has left the revision that all writes so far are conditional
		// on, so none of them can take effect any more.
		if b.rounds++; b.rounds > maxRounds {
			return decided{Refused{ErrContended}}
		}
		return read{}
	case err == nil && b.fencing:
		return decided{Refused{}}
	case err == nil:
		return b.proceed(r.Revision)
	case !b.fencing && isNotSent(err):
		return decided{Refused{err}}
	}
	b.pending = true
	return b.failed(err)
}

func (b *beginning) seen(row table.Row, err error) step {
	if err != nil {
		return b.failed(err)
	}
	if row.Revision == b.at && b.pending {
		return b.fence()
	}
	if row.Revision == 0 {
		return b.create(0)
	}
	found, err := decode(row.Value)
	switch {
	case err != nil:
		return decided{Unknown{err}}
	case found.Attempt == b.attempt.ID && found.State == Intent:
		return b.proceed(row.Revision)
	case found.Attempt == b.attempt.ID && found.State == Void:
		return decided{Refused{}}
	case found.State == Void:
		return b.create(row.Revision)
	case found.Request != b.attempt.request:
		return decided{Mismatch{}}
	case found.State == Done:
		return decided{Replay{*found.Outcome}}
	case found.State == Intent:
		return decided{Busy{found.Host}}
	}
	return decided{Unknown{}}
}

// failed reads again, up to a number of failures.
func (b *beginning) failed(err error) step {
	b.failures++
	if b.failures >= maxFailures {
		return b.unrecorded(err)
	}
	return read{}
}

// unrecorded gives up; the attempt is not sent, but its intent may still take effect.
func (b *beginning) unrecorded(err error) decided {
	attempt := b.attempt
	attempt.revision = b.at
	return decided{Unrecorded{attempt, err}}
}

func (b *beginning) proceed(revision int64) step {
	b.attempt.revision = revision
	return decided{Proceed{b.attempt}}
}
