// Package faketable is an in-memory stand-in for the platform's table service, for tests and the demo
// mode. It implements the part of the etcd v3 KV JSON mapping that package table uses.
package faketable

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/fault"
)

// maxRequestBytes bounds the JSON body of a request; etcd's default limit for a request is 1.5 MiB.
const maxRequestBytes = 4 << 20

// Settings are the settings of a Table. The zero value is a table without faults.
type Settings struct {
	Faults *fault.Set // nil: a new set
}

// RequestCounts holds the numbers of range reads and transactions that the table has accepted, including
// transactions whose compares did not hold.
type RequestCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Table is a stand-in for the table service. It is safe for concurrent use.
type Table struct {
	Faults    *fault.Set
	lifecycle *fault.Lifecycle
	store     *store
	reads     atomic.Int64
	writes    atomic.Int64
}

// New returns a running table without rows.
func New(s Settings) *Table {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Table{Faults: s.Faults, lifecycle: fault.NewLifecycle(), store: newStore()}
}

// Handler serves the table protocol, GET /count, and the faults at fault.Path.
func (t *Table) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v3/kv/range"), t.serveRange)
	mux.HandleFunc(pat.Post("/v3/kv/txn"), t.serveTxn)
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/count"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.RequestCounts()) })
	outer.Handle(pat.New("/*"), t.Faults.Wrap(t.lifecycle.Context(), mux))
	return outer
}

// Serve handles requests on the listener until Stop is called.
func (t *Table) Serve(l net.Listener) error { return t.lifecycle.Serve(l, t.Handler()) }

// Stop stops the table and drops the transactions that the LateWrite fault has delayed.
func (t *Table) Stop() { t.lifecycle.Stop() }

// Done returns a channel that is closed when the table has stopped.
func (t *Table) Done() <-chan struct{} { return t.lifecycle.Done() }

// RequestCounts returns the numbers of reads and transactions so far.
func (t *Table) RequestCounts() RequestCounts {
	return RequestCounts{Reads: t.reads.Load(), Writes: t.writes.Load()}
}

// Revision returns the current revision of the table.
func (t *Table) Revision() int64 { return t.store.read(rangeRequest{Key: []byte{0}}).Header.Revision }

func (t *Table) serveRange(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	t.reads.Add(1)
	writeJSON(w, t.store.read(request))
}

// serveTxn commits a transaction. With the LateWrite fault it closes the connection at once and commits after the
// delay; the compares are checked then.
func (t *Table) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	if err := validateTxn(request); err != nil {
		rejectRequest(w, err)
		return
	}
	t.writes.Add(1)
	if delay := time.Duration(t.Faults.Faults().LateWrite); delay > 0 {
		t.lifecycle.After(delay, func() { t.store.commit(request) })
		fault.Abort()
	}
	result := t.store.commit(request)
	if t.Faults.Consume(fault.LoseReply) {
		fault.Abort()
	}
	writeJSON(w, result)
}

// decodeRequest decodes the body into value; on an error it responds with 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(value); err != nil {
		rejectRequest(w, err)
		return false
	}
	return true
}

// grpcInvalidArgument is the gRPC code InvalidArgument, which the JSON mapping writes into the body of a
// 400 response.
const grpcInvalidArgument = 3

// rejectRequest responds with 400 and the error, in the form of the JSON mapping.
func rejectRequest(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(map[string]any{"code": grpcInvalidArgument, "error": err.Error(), "message": err.Error()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
