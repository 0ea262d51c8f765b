// Package route defines the routes table: which client accounts may use which model or service, and by which rules.
package route

import (
	"slices"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/document"
)

// Kind says whether a route or a pool serves a model or a plain service.
type Kind int

//go:generate go tool stringer -type=Kind,Calls -linecomment -output=kind_string.go

// Kinds of route.
const (
	Model   Kind = iota // model
	Service             // service
)

// Calls says whether the calls of a service route may be sent more than once.
type Calls int

// Plain calls are not sent again once an endpoint may have received them. Idempotent calls may be. AtMostOnce calls
// need an Idempotency-Key header: they run at most once for each key, and a call that repeats a key gets the recorded response.
const (
	Plain      Calls = iota // plain
	Idempotent              // idempotent
	AtMostOnce              // once
)

// Route is one route of the table.
type Route struct {
	Name     string            `json:"name"`
	Kind     Kind              `json:"kind"`
	Model    string            `json:"model,omitempty"`
	Adapter  string            `json:"adapter,omitempty"`
	Version  string            `json:"version,omitempty"`  // that the pool's model must have; empty for any
	Prefix   string            `json:"prefix,omitempty"`   // of the path; only for services
	Pool     string            `json:"pool"`               // whose endpoints serve the route
	Accounts []string          `json:"accounts,omitempty"` // client accounts that may use the route
	Open     bool              `json:"open,omitempty"`     // calls need no key
	Account  string            `json:"account,omitempty"`  // client account that is charged for the calls of an open route
	Calls    Calls             `json:"calls,omitempty"`
	Priority int               `json:"priority,omitempty"` // a higher priority is served first
	Tokens   int64             `json:"tokens,omitempty"`   // most tokens generated for a call of a model; cost of a call of a service
	MaxWait  document.Duration `json:"wait,omitempty"`     // longest time in the queue; 0 for DefaultQueueTimeout
}

// Allows reports whether a client account may use the route.
func (r Route) Allows(name string) bool {
	return r.Open || slices.Contains(r.Accounts, name)
}

// Retryable reports whether a call may be sent again although an endpoint may have received it.
func (r Route) Retryable() bool {
	return r.Kind == Model || r.Calls == Idempotent
}

// QueueTimeout returns how long a call may wait in the queue: the route's own limit or DefaultQueueTimeout.
func (r Route) QueueTimeout() time.Duration {
	if r.MaxWait == 0 {
		return DefaultQueueTimeout
	}
	return time.Duration(r.MaxWait)
}

// Table is the routes table with the client accounts.
type Table struct {
	Accounts []account.Account `json:"accounts"`
	Routes   []Route           `json:"routes"`
}
