// Package operator is the HTTP interface for operators and its client.
package operator

import (
	"context"

	"magnoliahoist/account"
	"magnoliahoist/document"
	"magnoliahoist/pool"
	"magnoliahoist/route"
	"magnoliahoist/timeline"
)

// Backend carries out what operators ask for. Errors wrap those of this package; an error
// of a change that wraps none of them is answered as unknown.
type Backend interface {
	// Tables returns both tables as of a revision of the configuration, 0 before the first edit.
	Tables(ctx context.Context) (route.Table, pool.Table, int64, error)
	// Edit replaces a table if the configuration is still at the revision ETag. An edit that
	// repeats the ID of one that took effect returns that one's change. Otherwise it returns
	// a *Conflict when the revision differs.
	Edit(ctx context.Context, edit Edit) (Change, error)
	// IssueKey stores a new key; its text never reaches the backend.
	IssueKey(ctx context.Context, key account.Key) (Change, error)
	// WithdrawKey withdraws the key with the digest. Withdrawing it again is no error.
	WithdrawKey(ctx context.Context, digest string) (Change, error)
	Keys(ctx context.Context) ([]account.Key, error)
	Status(ctx context.Context) (Status, error)
	Change(ctx context.Context, revision int64) (Change, error)
	// Drain begins a planned stop and returns at once.
	Drain(ctx context.Context) error
	// Timeline returns the logs of all hosts that answer.
	Timeline(ctx context.Context) ([]timeline.Log, error)
}

// Kind names a table.
type Kind int

//go:generate go tool stringer -type=Kind,State -linecomment -output=kind_string.go

// Tables that operators edit.
const (
	Routes Kind = iota // routes
	Pools              // pools
)

// Edit replaces one table as a whole.
type Edit struct {
	Kind   Kind
	ETag   int64  // revision that the edit is based on
	ID     string // chosen by the operator; the same for every repetition
	Routes route.Table
	Pools  pool.Table
}

// Change says how far a change has come.
type Change struct {
	Revision int64 `json:"revision"`
	Accepted bool  `json:"accepted"` // durable, and applied by a majority of every witness group
	Applied  int   `json:"applied"`  // members that have applied it
	Members  int   `json:"members"`
}

// State says whether a host takes calls.
type State int

// States of a host.
const (
	Starting State = iota // starting
	Serving               // serving
	Stale                 // stale
	Draining              // draining
)

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Allowed lists the states.
func (State) Allowed() string { return "starting, serving, stale or draining" }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for state := Starting; state <= Draining; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return document.Problem{Path: "state", Value: string(text), Allowed: s.Allowed()}
}

// Status is what a host knows of itself and of the fleet.
type Status struct {
	Problems  []string          `json:"problems"` // what is wrong, the most urgent first
	Host      string            `json:"host"`
	Domain    string            `json:"domain"`
	State     State             `json:"state"`
	Revision  int64             `json:"revision"` // of the host's copy
	Head      Head              `json:"head"`
	Contact   document.Duration `json:"contact"`   // time since the last contact with the table service
	Freshness document.Duration `json:"freshness"` // time until the host stops being fresh
	Window    document.Duration `json:"window"`
	Running   int               `json:"running"` // requests
	Waiting   int               `json:"waiting"` // requests
	Members   []Member          `json:"members"`
	Endpoints []Endpoint        `json:"endpoints"`
	Models    []Model           `json:"models"`
	Leases    []Lease           `json:"leases"`
	Shares    []Share           `json:"shares"`
}

// Head is the version of the tables that is in force on the host.
type Head struct {
	Revision int64  `json:"revision"` // of the last edit
	Edits    int64  `json:"edits"`    // number of edits so far
	Edit     string `json:"edit"`     // id of the last edit
}

// Model is a model of the pools table.
type Model struct {
	Name      string   `json:"name"`
	Pool      string   `json:"pool"`
	Version   string   `json:"version"`            // wanted
	Replicas  int      `json:"replicas"`           // wanted
	Reported  bool     `json:"reported,omitempty"` // endpoints of the pool have said what they hold
	Endpoints []string `json:"endpoints"`          // that hold it and take calls
}

// Lease says which host manages a pool.
type Lease struct {
	Pool   string `json:"pool"`
	Holder string `json:"holder"`
	Number int64  `json:"number"`
}

// Share says which hosts hold the allowance of an account.
type Share struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`  // tokens a second
	Burst   int64   `json:"burst"` // tokens
	Parts   []Part  `json:"parts"`
}

// Part is the part of an allowance that a host holds, 0 to 1.
type Part struct {
	Host string  `json:"host"`
	Part float64 `json:"part"`
}

// Member is a host that counts in its witness group.
type Member struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	Group    string `json:"group"`
	Revision int64  `json:"revision"` // last known to be applied there
	Silent   bool   `json:"silent,omitempty"`
}

// Endpoint is an endpoint as the host sees it.
type Endpoint struct {
	Name     string            `json:"name"`
	Pool     string            `json:"pool"`
	Domain   string            `json:"domain"`
	Running  int               `json:"running"` // calls
	Models   []string          `json:"models,omitempty"`
	Ejected  bool              `json:"ejected,omitempty"`
	Leaving  bool              `json:"leaving,omitempty"`
	Reported bool              `json:"reported,omitempty"` // has said what it holds
	Age      document.Duration `json:"age,omitempty"`      // of the last load report; 0 without one
}
