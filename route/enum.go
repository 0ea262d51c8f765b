package route

import (
	"fmt"
	"time"
)

// DefaultWait is the longest wait in the queue on routes that name none.
const DefaultWait = 2 * time.Second

// MarshalText writes the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	for _, kind := range []Kind{Model, Service} {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("kind %q is not one of model, service", text)
}

// MarshalText writes the rule's name.
func (c Calls) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a rule's name.
func (c *Calls) UnmarshalText(text []byte) error {
	for _, calls := range []Calls{Plain, Idempotent, Once} {
		if calls.String() == string(text) {
			*c = calls
			return nil
		}
	}
	return fmt.Errorf("calls %q is not one of plain, idempotent, once", text)
}

// Allowed lists the kinds.
func (Kind) Allowed() string { return "model or service" }

// Allowed lists the rules.
func (Calls) Allowed() string { return "plain, idempotent or once" }
