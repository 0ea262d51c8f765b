package fakeengine

import "github.com/juju/errors"

//go:generate go tool stringer -type Phase -linecomment

// Phase is the phase of a resident between the start of its load and the end of its unload. A resident takes its
// memory in every phase.
type Phase int

// Phases of a resident; only one that is Ready serves requests.
const (
	Ready     Phase = iota // ready
	Loading                // loading
	Unloading              // unloading
)

// MarshalText returns the name of the phase.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets the phase by its name.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, phase := range []Phase{Ready, Loading, Unloading} {
		if phase.String() == string(text) {
			*p = phase
			return nil
		}
	}
	return errors.Errorf("state %q is not one of ready, loading, unloading", text)
}
