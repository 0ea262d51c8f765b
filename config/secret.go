package config

import "encoding/json"

// masked stands for a secret in dumps and logs.
const masked = "********"

// Secret is a setting that is never written out; string(s) gives its value.
type Secret string

// String returns a mask.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return masked
}

// GoString returns a mask.
func (s Secret) GoString() string { return s.String() }

// MarshalJSON writes a mask.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// Hidden keeps the value out of problems.
func (Secret) Hidden() {}
