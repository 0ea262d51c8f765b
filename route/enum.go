package route

import (
	"fmt"
	"time"
)

// DefaultQueueTimeout bounds the time in the queue for routes that set no wait.
const DefaultQueueTimeout = 2 * time.Second

// MarshalText returns the name of the kind.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the name of a kind.
func (k *Kind) UnmarshalText(text []byte) error {
	for _, kind := range []Kind{Model, Service} {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("kind %q is not one of model, service", text)
}

// MarshalText returns the name of the rule.
func (c Calls) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the name of a rule.
func (c *Calls) UnmarshalText(text []byte) error {
	for _, calls := range []Calls{Plain, Idempotent, AtMostOnce} {
		if calls.String() == string(text) {
			*c = calls
			return nil
		}
	}
	return fmt.Errorf("calls %q is not one of plain, idempotent, once", text)
}

// Allowed lists the names of all kinds for error messages.
func (Kind) Allowed() string { return "model or service" }

// Allowed lists the names of all rules for error messages.
func (Calls) Allowed() string { return "plain, idempotent or once" }
