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
	Intent State = iota + 1 // intent
	Done                    // done
	Lost                    // unknown
	Void                    // void
)

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for _, state := range []State{Intent, Done, Lost, Void} {
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
	Request string   `json:"request"` // digest of the request
	Outcome *Outcome `json:"outcome,omitempty"`
}

// encode returns the row's value.
func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // the fields of a record always marshal
	}
	return value
}

// decode reads a row's value.
func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("call: unable to read the row: %w", err)
	}
	if r.State == 0 || r.State == Done && r.Outcome == nil {
		return record{}, fmt.Errorf("call: unable to read the row: state %v is incomplete", r.State)
	}
	return r, nil
}

// rowKey returns the key of the row for an account's idempotency key.
func rowKey(account, key string) string {
	return "call/" + account + "/" + Digest(sha256.Sum256([]byte(key))).String()
}
