package lease

import (
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// State is how far a takeover has come.
type State int

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// States of a takeover.
const (
	Committing State = iota // committing
	Accepting               // accepting
	Waiting                 // waiting
	Held                    // held
	Lost                    // lost
)

// Takeover follows one change of a row from its commit until its new holder may use it.
type Takeover struct {
	state    State
	revision int64
	until    time.Duration
}

// NewTakeover returns a takeover whose commit is under way.
func NewTakeover() *Takeover { return &Takeover{} }

// AcceptingFrom returns a takeover of a row that is known to be committed at the revision.
func AcceptingFrom(revision int64) *Takeover {
	return &Takeover{state: Accepting, revision: revision}
}

// Committed records the outcome of the commit. When the outcome is unknown it is not called: the
// row shows up in the view or another change of it does.
func (t *Takeover) Committed(result table.Result) {
	if t.state != Committing {
		return
	}
	t.state, t.revision = Lost, result.Revision
	if result.Committed {
		t.state = Accepting
	}
}

// Advance moves the takeover on and returns its state. It ends as Lost when the row has changed since.
func (t *Takeover) Advance(now time.Duration, r *replica.Replica, key string, wait time.Duration) State {
	if t.state == Committing || t.state == Lost {
		return t.state
	}
	if r.View().RevisionOf(key) > t.revision {
		t.state = Lost
		return t.state
	}
	if t.state == Accepting && r.Accepted(t.revision) {
		t.state, t.until = Waiting, now+wait
	}
	if t.state == Waiting && now >= t.until {
		t.state = Held
	}
	return t.state
}

// State returns how far the takeover has come.
func (t *Takeover) State() State { return t.state }

// Revision returns the revision of the row's change, 0 while the commit is under way.
func (t *Takeover) Revision() int64 { return t.revision }
