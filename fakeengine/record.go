package fakeengine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxRecords bounds the requests remembered for checks.
const maxRecords = 4096

// Record is one request as it arrived.
type Record struct {
	ID      string      `json:"id"`
	Path    string      `json:"path"`
	Headers http.Header `json:"headers"`
	Started int64       `json:"started"` // Unix time, nanoseconds
	Tokens  int64       `json:"tokens"`  // generated so far
}

type entry struct {
	record Record
	tokens atomic.Int64
}

// ring holds the last requests.
type ring struct {
	mutex sync.Mutex
	all   []*entry
	next  int
}

func (r *ring) add(id string, request *http.Request) *entry {
	one := &entry{record: Record{ID: id, Path: request.URL.RequestURI(), Headers: request.Header.Clone(), Started: time.Now().UnixNano()}}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.all) < maxRecords {
		r.all = append(r.all, one)
		return one
	}
	r.all[r.next] = one
	r.next = (r.next + 1) % maxRecords
	return one
}

// list returns the records, oldest first.
func (r *ring) list() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := make([]Record, 0, len(r.all))
	for i := range r.all {
		one := r.all[(r.next+i)%len(r.all)]
		record := one.record
		record.Tokens = one.tokens.Load()
		list = append(list, record)
	}
	return list
}
