package fakehosts

import "github.com/juju/errors"

//go:generate go tool stringer -type State -linecomment

// State is the state of a host in the list.
type State int

// States of a host.
const (
	Live    State = iota // live
	Leaving              // leaving
)

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets the state by its name.
func (s *State) UnmarshalText(text []byte) error {
	for _, state := range []State{Live, Leaving} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return errors.Errorf("state %q is not one of live, leaving", text)
}
