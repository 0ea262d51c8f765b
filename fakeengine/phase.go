package fakeengine

import "github.com/juju/errors"

//go:generate go tool stringer -type Phase -linecomment

// Phase is how far a resident is; it takes its memory in every phase.
type Phase int

// The phases; only Ready answers requests.
const (
	Ready     Phase = iota // ready
	Loading                // loading
	Unloading              // unloading
)

// MarshalText writes the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a phase's name.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, phase := range []Phase{Ready, Loading, Unloading} {
		if phase.String() == string(text) {
			*p = phase
			return nil
		}
	}
	return errors.Errorf("state %q is not one of ready, loading, unloading", text)
}
