// Package operator provides the HTTP API for operators and a client for it.
package operator

import (
	"context"

	"magnoliahoist/account"
	"magnoliahoist/document"
	"magnoliahoist/pool"
	"magnoliahoist/route"
	"magnoliahoist/timeline"
)

// Backend is the host that executes the requests of operators. Its errors wrap those of this package, document.Problems, *Conflict or
// *Failure. If a change returns another error, the operator is told that the outcome is unknown.
type Backend interface {
	// Tables returns both tables and the revision of the configuration that they belong to, 0 before the first edit.
	Tables(ctx context.Context) (route.Table, pool.Table, int64, error)
	// Edit replaces a table if the configuration is still at the edit's BaseRevision; otherwise it returns a *Conflict. If an
	// edit with the same ID and content has taken effect, Edit returns the change of that one instead. The same ID with another
	// content is ErrEditIDReused.
	Edit(ctx context.Context, edit Edit) (Change, error)
	// IssueKey stores the record of a new key. The backend never gets the key itself.
	IssueKey(ctx context.Context, key account.Key) (Change, error)
	// WithdrawKey withdraws the key with the digest. Withdrawing it again is not an error; for an unknown key the error is
	// ErrNotFound.
	WithdrawKey(ctx context.Context, digest string) (Change, error)
	// Keys returns the records of all keys, withdrawn ones included.
	Keys(ctx context.Context) ([]account.Key, error)
	// Status returns the status of the host.
	Status(ctx context.Context) (Status, error)
	// Change returns the progress of the change with the revision; for an unknown revision the error is ErrNotFound.
	Change(ctx context.Context, revision int64) (Change, error)
	// Drain begins the planned stop of the host and returns without waiting for it.
	Drain(ctx context.Context) error
	// Timeline returns the event logs of all hosts that respond.
	Timeline(ctx context.Context) ([]timeline.Log, error)
}

// Kind is the kind of a table.
type Kind int

//go:generate go tool stringer -type=Kind,State -linecomment -output=kind_string.go

// Kinds of tables.
const (
	Routes Kind = iota // routes
	Pools              // pools
)

// Edit is the replacement of one whole table.
type Edit struct {
	Kind         Kind
	BaseRevision int64       // revision of the configuration that the edit is based on
	ID           string      // chosen by the operator; the same each time the edit is sent
	Routes       route.Table // if Kind is Routes
	Pools        pool.Table  // if Kind is Pools
}

// Change is the progress of a change to the shared state.
type Change struct {
	Revision int64 `json:"revision"`
	Accepted bool  `json:"accepted"` // durable, and applied by a majority of every witness group
	Applied  int   `json:"applied"`  // number of members that have applied it
	Members  int   `json:"members"`  // number of all members
}

// State is the state of a host. It takes new calls while it is Serving, and for a short time after it started Draining.
type State int

// States of a host.
const (
	Starting State = iota // starting
	Serving               // serving
	Stale                 // stale
	Draining              // draining
)

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Allowed lists the names of all states for error messages.
func (State) Allowed() string { return "starting, serving, stale or draining" }

// UnmarshalText parses the name of a state.
func (s *State) UnmarshalText(text []byte) error {
	for state := Starting; state <= Draining; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return document.Problem{Path: "state", Value: string(text), Allowed: s.Allowed()}
}

// Status is the state of a host, and of the fleet as this host knows it.
type Status struct {
	Problems        []string          `json:"problems"` // current problems, the most urgent first
	Host            string            `json:"host"`
	Domain          string            `json:"domain"` // failure domain
	State           State             `json:"state"`
	Revision        int64             `json:"revision"` // of the host's copy of the shared state
	Head            Head              `json:"head"`
	TableContactAge document.Duration `json:"contact"`   // time since the last contact with the table service
	FreshFor        document.Duration `json:"freshness"` // how long the host stays fresh without further confirmation; negative if it is stale
	FreshnessWindow document.Duration `json:"window"`
	ActiveRequests  int               `json:"running"` // number of requests at endpoints
	QueuedRequests  int               `json:"waiting"`
	Members         []Member          `json:"members"`
	Endpoints       []Endpoint        `json:"endpoints"`
	Models          []Model           `json:"models"`
	Leases          []Lease           `json:"leases"`
	Shares          []Share           `json:"shares"`
}

// Head identifies the version of the tables that the host uses.
type Head struct {
	Revision   int64  `json:"revision"` // of the last edit
	EditCount  int64  `json:"edits"`    // number of edits so far
	LastEditID string `json:"edit"`
}

// Model is a model of the pools table with the endpoints that serve it.
type Model struct {
	Name        string   `json:"name"`
	Pool        string   `json:"pool"`
	Version     string   `json:"version"`            // as the pools table sets it
	Replicas    int      `json:"replicas"`           // as the pools table sets it; 0 for the default
	ModelsKnown bool     `json:"reported,omitempty"` // at least one endpoint of the pool has reported its models
	Endpoints   []string `json:"endpoints"`          // that hold the model and are neither ejected nor leaving
}

// Lease is the lease for managing a pool.
type Lease struct {
	Pool          string `json:"pool"`
	Holder        string `json:"holder"` // host id
	FencingNumber int64  `json:"number"`
}

// Share says how the rate and burst of an account are divided among hosts.
type Share struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`  // tokens per second
	Burst   int64   `json:"burst"` // tokens
	Parts   []Part  `json:"parts"`
}

// Part is one host's fraction of an account's rate and burst.
type Part struct {
	Host     string  `json:"host"`
	Fraction float64 `json:"part"` // 0 to 1
}

// Member is a host of the fleet. Changes must be confirmed by a majority of each witness group.
type Member struct {
	ID           string `json:"id"`
	Address      string `json:"address"`
	Domain       string `json:"domain"`
	Group        string `json:"group"`            // witness group
	Revision     int64  `json:"revision"`         // highest revision that the member is known to have applied
	Unresponsive bool   `json:"silent,omitempty"` // it doesn't respond to this host
}

// Endpoint is the state of an endpoint as the host knows it.
type Endpoint struct {
	Name        string            `json:"name"`
	Pool        string            `json:"pool"`
	Domain      string            `json:"domain"`
	OwnCalls    int               `json:"running"`            // number of calls of this host that it runs
	Models      []string          `json:"models,omitempty"`   // names of the models that it holds
	Ejected     bool              `json:"ejected,omitempty"`  // gets no calls for some time because attempts failed
	Leaving     bool              `json:"leaving,omitempty"`  // has announced that it shuts down
	ModelsKnown bool              `json:"reported,omitempty"` // it has reported its models
	ReportAge   document.Duration `json:"age,omitempty"`      // of its latest load report; 0 if there is none
}
