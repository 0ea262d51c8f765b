package document

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that JSON documents hold as text, such as "1.5s".
type Duration time.Duration

// UnmarshalJSON parses a JSON string such as "250ms" with time.ParseDuration.
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

// MarshalJSON returns a JSON string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Allowed describes the accepted values.
func (Duration) Allowed() string { return `a duration such as "250ms" or "2s"` }

// String returns a text such as "250ms".
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
