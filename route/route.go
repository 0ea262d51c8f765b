// Package route holds the routes table: which callers reach which model or service under which rules.
package route

import (
	"slices"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/document"
)

// Kind says what stands behind a route.
type Kind int

//go:generate go tool stringer -type=Kind,Calls -linecomment -output=kind_string.go

// Kinds of route.
const (
	Model   Kind = iota // model
	Service             // service
)

// Calls says whether the calls of a route may be repeated.
type Calls int

// Rules for repeating calls.
const (
	Plain      Calls = iota // plain
	Idempotent              // idempotent
	Once                    // once
)

// Route is one entry of the table.
type Route struct {
	Name     string            `json:"name"`
	Kind     Kind              `json:"kind"`
	Model    string            `json:"model,omitempty"`
	Adapter  string            `json:"adapter,omitempty"`
	Version  string            `json:"version,omitempty"`
	Prefix   string            `json:"prefix,omitempty"` // of the path, for services
	Pool     string            `json:"pool"`
	Accounts []string          `json:"accounts,omitempty"`
	Open     bool              `json:"open,omitempty"`
	Account  string            `json:"account,omitempty"` // under which an open route is counted
	Calls    Calls             `json:"calls,omitempty"`
	Priority int               `json:"priority,omitempty"` // higher goes first
	Tokens   int64             `json:"tokens,omitempty"`   // generated at most for a call; for services the cost of a call
	Wait     document.Duration `json:"wait,omitempty"`     // longest wait in the queue
}

// Allows reports whether callers of the client account may use the route.
func (r Route) Allows(name string) bool {
	return r.Open || slices.Contains(r.Accounts, name)
}

// Repeatable reports whether a call may be sent again after it was sent.
func (r Route) Repeatable() bool {
	return r.Kind == Model || r.Calls == Idempotent
}

// LongestWait returns how long a call may wait in the queue.
func (r Route) LongestWait() time.Duration {
	if r.Wait == 0 {
		return DefaultWait
	}
	return time.Duration(r.Wait)
}

// Table is a whole routes table.
type Table struct {
	Accounts []account.Account `json:"accounts"`
	Routes   []Route           `json:"routes"`
}
