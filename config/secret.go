package config

import "encoding/json"

// mask replaces a secret in dumps and logs.
const mask = "********"

// Secret is a setting whose value must not appear in dumps, logs and problems. The conversion string(s) returns the value.
type Secret string

// String returns the mask, or an empty text for an empty secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return mask
}

// GoString returns the same text as String, for the verb %#v.
func (s Secret) GoString() string { return s.String() }

// MarshalJSON returns the text of String as JSON.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// Hidden marks the type as a document.Hider, so that problems don't show the value.
func (Secret) Hidden() {}
