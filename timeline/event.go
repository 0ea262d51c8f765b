package timeline

import "fmt"

// Kind says what happened.
type Kind int

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kinds of event.
const (
	Received  Kind = iota // received
	Queued                // queued
	Sent                  // sent
	First                 // first
	Retried               // retried
	Resumed               // resumed
	Finished              // finished
	Failed                // failed
	Answered              // answered
	Refused               // refused
	Cut                   // cut
	Borrowed              // borrowed
	Lent                  // lent
	Repaid                // repaid
	Ordered               // ordered
	Confirmed             // confirmed
	Rejected              // rejected
	Lost                  // lost
	Committed             // committed
	Applied               // applied
	Accepted              // accepted
	Joined                // joined
	Removed               // removed
	Taken                 // taken
	Stale                 // stale
	Fresh                 // fresh
	Ejected               // ejected
	Restored              // restored
	Draining              // draining
	Ended                 // ended
	Silent                // silent
	Heard                 // heard
	Gap                   // gap
)

// MarshalText writes the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	for kind := Received; kind <= Gap; kind++ {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("timeline: event kind %q does not exist", text)
}

// Event is one thing that happened on a host. Fields that don't apply are empty.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Host     string `json:"host"`
	Sequence uint64 `json:"sequence,omitempty"` // in the host's ring, from 1
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Account  string `json:"account,omitempty"`
	Order    string `json:"order,omitempty"`
	Change   int64  `json:"change,omitempty"` // revision
	Note     string `json:"note,omitempty"`
}
