// Package timeline records the events of hosts and merges those of several hosts into one causal order.
package timeline

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Timestamp is a timestamp of a hybrid logical clock. The timestamp of a cause is smaller than that of its effect,
// also if they happen on different hosts.
type Timestamp struct {
	Wall    int64  `json:"wall"`              // Unix nanoseconds
	Logical uint32 `json:"logical,omitempty"` // orders timestamps with the same wall time
}

// Compare returns a negative number if s is before other, 0 if they are equal, and a positive number if s is after other.
func (s Timestamp) Compare(other Timestamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// IsZero reports whether the timestamp is unset.
func (s Timestamp) IsZero() bool { return s == Timestamp{} }

// Time returns the wall time in UTC.
func (s Timestamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String returns the wall time, a plus sign and the logical part.
func (s Timestamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().Format("2006-01-02T15:04:05.000000Z"), s.Logical)
}

// next returns the smallest timestamp after s.
func (s Timestamp) next() Timestamp {
	if s.Logical == math.MaxUint32 {
		return Timestamp{Wall: s.Wall + 1}
	}
	return Timestamp{Wall: s.Wall, Logical: s.Logical + 1}
}

// Clock is a hybrid logical clock. It is not safe for concurrent use.
type Clock struct {
	last Timestamp
}

// Now returns the timestamp of an event at the given wall time. It is greater than every earlier timestamp of the clock,
// even if the wall clock was set back.
func (c *Clock) Now(wall time.Time) Timestamp {
	stamp := Timestamp{Wall: wall.UnixNano()}
	if stamp.Compare(c.last) <= 0 {
		stamp = c.last.next()
	}
	c.last = stamp
	return stamp
}

// Update moves the clock past the timestamp received with a message and returns the timestamp of the message's arrival.
func (c *Clock) Update(wall time.Time, received Timestamp) Timestamp {
	if received.Compare(c.last) > 0 {
		c.last = received
	}
	return c.Now(wall)
}
