// Package faketable is a stand-in for the platform's table service, in memory.
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

// maxRequest is the most bytes of one request, the default limit of etcd being 1.5 MiB.
const maxRequest = 4 << 20

// Settings of a table; the zero value is a table without faults.
type Settings struct {
	Faults *fault.Set // nil: a set of its own
}

// Count is the number of range and transaction requests that arrived and were not refused.
type Count struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Table is the stand-in.
type Table struct {
	Faults *fault.Set
	part   *fault.Part
	store  *store
	reads  atomic.Int64
	writes atomic.Int64
}

// New returns an empty table.
func New(s Settings) *Table {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Table{Faults: s.Faults, part: fault.NewPart(), store: newStore()}
}

// Handler answers the protocol, GET /count and the faults.
func (t *Table) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v3/kv/range"), t.serveRange)
	mux.HandleFunc(pat.Post("/v3/kv/txn"), t.serveTxn)
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/count"), func(w http.ResponseWriter, _ *http.Request) { answer(w, t.Count()) })
	outer.Handle(pat.New("/*"), t.Faults.Wrap(t.part.Context(), mux))
	return outer
}

// Serve answers requests on the listener until Stop.
func (t *Table) Serve(l net.Listener) error { return t.part.Serve(l, t.Handler()) }

// Stop ends the table; writes that were to be applied later are dropped.
func (t *Table) Stop() { t.part.Stop() }

// Done is closed when the table has stopped.
func (t *Table) Done() <-chan struct{} { return t.part.Done() }

// Count returns the number of reads and writes so far.
func (t *Table) Count() Count { return Count{Reads: t.reads.Load(), Writes: t.writes.Load()} }

// Revision returns the table's revision.
func (t *Table) Revision() int64 { return t.store.read(rangeRequest{Key: []byte{0}}).Header.Revision }

func (t *Table) serveRange(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !decode(w, r, &request) {
		return
	}
	t.reads.Add(1)
	answer(w, t.store.read(request))
}

func (t *Table) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if !decode(w, r, &request) {
		return
	}
	if err := check(request); err != nil {
		refuse(w, err)
		return
	}
	t.writes.Add(1)
	if delay := time.Duration(t.Faults.Faults().LateWrite); delay > 0 {
		t.part.After(delay, func() { t.store.commit(request) })
		fault.Abort()
	}
	result := t.store.commit(request)
	if t.Faults.Take(fault.LoseReply) {
		fault.Abort()
	}
	answer(w, result)
}

func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(value); err != nil {
		refuse(w, err)
		return false
	}
	return true
}

// invalid is the gRPC code InvalidArgument, which the JSON mapping puts into the body of a 400.
const invalid = 3

func refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(map[string]any{"code": invalid, "error": err.Error(), "message": err.Error()})
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
