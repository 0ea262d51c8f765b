// Package timeline records what hosts did and puts the events of several hosts in one order.
package timeline

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Stamp is a time of a hybrid logical clock. Stamps of causes are smaller than those of
// their effects, on whichever host these happen.
type Stamp struct {
	Wall    int64  `json:"wall"` // nanoseconds since 1970
	Logical uint32 `json:"logical,omitempty"`
}

// Compare orders stamps.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Logical, other.Logical))
}

// IsZero reports whether the stamp is unset.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String writes the time with the logical part after a plus sign.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().Format("2006-01-02T15:04:05.000000Z"), s.Logical)
}

// next returns the smallest stamp after s.
func (s Stamp) next() Stamp {
	if s.Logical == math.MaxUint32 {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}

// Clock is a hybrid logical clock. It is not safe for concurrent use.
type Clock struct {
	last Stamp
}

// Now returns the stamp of an event at the wall time given. It exceeds all earlier ones,
// even if the wall clock went back.
func (c *Clock) Now(wall time.Time) Stamp {
	at := Stamp{Wall: wall.UnixNano()}
	if at.Compare(c.last) <= 0 {
		at = c.last.next()
	}
	c.last = at
	return at
}

// Update takes note of a stamp that came with a message and returns the stamp of the
// message's arrival.
func (c *Clock) Update(wall time.Time, received Stamp) Stamp {
	if received.Compare(c.last) > 0 {
		c.last = received
	}
	return c.Now(wall)
}
