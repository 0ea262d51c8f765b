package timeline

import "fmt"

// Kind is the type of an event.
type Kind int

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kinds of events. The line comment of each kind is its text in timelines and filters.
const (
	// Received: a request arrived from a caller.
	Received Kind = iota // received
	// Queued: a request waits in the host's queue.
	Queued // queued
	// Sent: an attempt of a request is sent to an endpoint.
	Sent // sent
	// First: the first token of an attempt arrived, or its response if that is not streamed.
	First // first
	// Retried: the attempt that is sent next is not the first one of its request.
	Retried // retried
	// Resumed: a response stream that broke off is continued.
	Resumed // resumed
	// Finished: an attempt succeeded.
	Finished // finished
	// Failed: an attempt failed.
	Failed // failed
	// Answered: the caller got the whole response.
	Answered // answered
	// Refused: the host refused a request.
	Refused // refused
	// Cut: a request failed or was aborted before its caller got the whole response.
	Cut // cut
	// Borrowed: this host borrowed tokens of an account from another host.
	Borrowed // borrowed
	// Lent: this host lent tokens of an account to another host.
	Lent // lent
	// Repaid: a borrower returned the unused tokens of a loan to this host.
	Repaid // repaid
	// Ordered: an order is about to be sent to an endpoint.
	Ordered // ordered
	// Confirmed: the endpoint applied an order.
	Confirmed // confirmed
	// Rejected: the endpoint rejected an order.
	Rejected // rejected
	// Lost: an order was not sent, or its result is unknown.
	Lost // lost
	// Committed: a change of the shared state that this host wrote is durable.
	Committed // committed
	// Applied: this host's copy of the shared state contains a change.
	Applied // applied
	// Accepted: every fresh host will have a change within the freshness window.
	Accepted // accepted
	// Joined: this host became a member.
	Joined // joined
	// Removed: the shared state no longer lists a member.
	Removed // removed
	// Taken: this host took over a lease, or wrote a new division of an account's rate and burst.
	Taken // taken
	// Stale: this host is no longer fresh.
	Stale // stale
	// Fresh: this host is fresh again.
	Fresh // fresh
	// Ejected: this host sends no more requests to an endpoint, because of its failures.
	Ejected // ejected
	// Restored: this host sends requests to an ejected endpoint again.
	Restored // restored
	// Draining: this host began a planned stop.
	Draining // draining
	// Ended: the last event of a host that stopped as planned.
	Ended // ended
	// Silent: a member stopped responding to this host.
	Silent // silent
	// Heard: a silent member responds to this host again.
	Heard // heard
	// Gap: events of a host are missing; Merge inserts it, no host records it.
	Gap // gap
)

// MarshalText returns the kind's text.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets the kind from its text. It fails if no kind has the text.
func (k *Kind) UnmarshalText(text []byte) error {
	for kind := Received; kind <= Gap; kind++ {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("timeline: event kind %q does not exist", text)
}

// Event is something that happened on a host. Fields that don't apply to its kind are empty.
type Event struct {
	Timestamp Timestamp `json:"stamp"`
	Host      string    `json:"host"`
	Sequence  uint64    `json:"sequence,omitempty"` // position among the host's events, from 1; 0 for a gap
	Kind      Kind      `json:"kind"`
	Request   string    `json:"request,omitempty"`
	Attempt   string    `json:"attempt,omitempty"`
	Endpoint  string    `json:"endpoint,omitempty"`
	Account   string    `json:"account,omitempty"`
	Order     string    `json:"order,omitempty"`
	Change    int64     `json:"change,omitempty"` // revision of the change
	Note      string    `json:"note,omitempty"`
}
