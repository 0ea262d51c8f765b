package document

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration written as in "1.5s" in documents.
type Duration time.Duration

// UnmarshalJSON reads a duration such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON writes a duration such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Allowed says which values are accepted.
func (Duration) Allowed() string { return `a duration such as "250ms" or "2s"` }

// String writes a duration such as "250ms".
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
