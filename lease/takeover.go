package lease

import (
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// State is the state of a takeover.
type State int

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// States of a takeover.
const (
	// Committing: the result of the commit is not known.
	Committing State = iota // committing
	// Accepting: the row is committed but not yet accepted.
	Accepting // accepting
	// Waiting: the row is accepted, but a fresh host may still lack it.
	Waiting // waiting
	// Held: the holder may use the row.
	Held // held
	// Lost: the commit failed or the row has changed since.
	Lost // lost
)

// Takeover tracks one change of a lease or share row from its commit until the new holder may use the row.
type Takeover struct {
	state      State
	revision   int64 // of the change; 0 in the state Committing
	usableFrom time.Duration
}

// NewTakeover returns a takeover in the state Committing.
func NewTakeover() *Takeover { return &Takeover{} }

// NewCommittedTakeover returns a takeover in the state Accepting, whose row was committed at the revision.
func NewCommittedTakeover(revision int64) *Takeover {
	return &Takeover{state: Accepting, revision: revision}
}

// RecordCommit records the result of the commit. Don't call it when the result is unknown; the view then shows either this
// change of the row or a later one.
func (t *Takeover) RecordCommit(result table.Result) {
	if t.state != Committing {
		return
	}
	t.state, t.revision = Lost, result.Revision
	if result.Committed {
		t.state = Accepting
	}
}

// Advance updates the state and returns it. The takeover is Lost when the row has changed since its commit. After the
// acceptance of the row, the takeover waits for the given duration before it is Held.
func (t *Takeover) Advance(now time.Duration, r *replica.Replica, key string, waitAfterAcceptance time.Duration) State {
	if t.state == Committing || t.state == Lost {
		return t.state
	}
	if r.View().RevisionOf(key) > t.revision {
		t.state = Lost
		return t.state
	}
	if t.state == Accepting && r.Accepted(t.revision) {
		t.state, t.usableFrom = Waiting, now+waitAfterAcceptance
	}
	if t.state == Waiting && now >= t.usableFrom {
		t.state = Held
	}
	return t.state
}

// State returns the state as of the last call of Advance or RecordCommit.
func (t *Takeover) State() State { return t.state }

// Revision returns the revision of the row's change, 0 in the state Committing.
func (t *Takeover) Revision() int64 { return t.revision }
