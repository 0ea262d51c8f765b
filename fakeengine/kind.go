package fakeengine

import "github.com/juju/errors"

//go:generate go tool stringer -type Kind -linecomment

// Kind is the kind of a resident: what an order loads or unloads.
type Kind int

// Kinds of residents.
const (
	Model   Kind = iota // model
	Adapter             // adapter
	Role                // role
)

// MarshalText returns the name of the kind.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets the kind by its name.
func (k *Kind) UnmarshalText(text []byte) error {
	for _, kind := range []Kind{Model, Adapter, Role} {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return errors.Errorf("kind %q is not one of model, adapter, role", text)
}
