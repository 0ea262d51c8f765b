package call

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the state of a call's row.
type State int

// States of a call's row.
const (
	// Intent: the call may have been sent.
	Intent State = iota + 1 // intent
	// Done: the endpoint responded; the row contains the outcome.
	Done // done
	// OutcomeUnknown: the call was sent, and its outcome is unknown.
	OutcomeUnknown // unknown
	// Void: the call was not sent; the key can be used again.
	Void // void
)

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets the state by its name. It returns an error for an unknown name.
func (s *State) UnmarshalText(text []byte) error {
	for _, state := range []State{Intent, Done, OutcomeUnknown, Void} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("state %q is not one of intent, done, unknown, void", text)
}

// record is the value of a call's row.
type record struct {
	State   State    `json:"state"`
	Host    string   `json:"host"`
	Attempt string   `json:"attempt"`
	Request string   `json:"request"` // digest of the request, hexadecimal
	Outcome *Outcome `json:"outcome,omitempty"`
}

// encode returns the record as the value of a row.
func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // never happens with the types of the fields
	}
	return value
}

// decode returns the record in a row's value.
func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("call: unable to decode the row: %w", err)
	}
	if r.State == 0 || r.State == Done && r.Outcome == nil {
		return record{}, fmt.Errorf("call: unable to decode the row: state %v is missing or lacks its outcome", r.State)
	}
	return r, nil
}

// rowKey returns the key of the row for a call of the account with the idempotency key.
func rowKey(account, key string) string {
	return "call/" + account + "/" + Digest(sha256.Sum256([]byte(key))).String()
}
