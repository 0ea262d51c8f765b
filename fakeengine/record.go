package fakeengine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxRecords bounds the number of requests that are kept for tests.
const maxRecords = 4096

// RequestRecord is a completion request as it arrived, with the number of tokens generated for it.
type RequestRecord struct {
	ID              string      `json:"id"`
	Path            string      `json:"path"` // with the query
	Headers         http.Header `json:"headers"`
	ReceivedAt      int64       `json:"started"` // time of arrival, Unix time in nanoseconds
	GeneratedTokens int64       `json:"tokens"`  // generated so far by this request
}

// recordEntry is a record whose request may still be running.
type recordEntry struct {
	record RequestRecord // without the tokens
	tokens atomic.Int64  // generated so far
}

// requestRing is a ring buffer of the latest requests.
type requestRing struct {
	mutex   sync.Mutex
	entries []*recordEntry
	oldest  int // index of the oldest entry
}

func (r *requestRing) add(id string, request *http.Request) *recordEntry {
	added := &recordEntry{record: RequestRecord{ID: id, Path: request.URL.RequestURI(), Headers: request.Header.Clone(), ReceivedAt: time.Now().UnixNano()}}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.entries) < maxRecords {
		r.entries = append(r.entries, added)
		return added
	}
	r.entries[r.oldest] = added
	r.oldest = (r.oldest + 1) % maxRecords
	return added
}

// records returns the records, oldest first.
func (r *requestRing) records() []RequestRecord {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := make([]RequestRecord, 0, len(r.entries))
	for i := range r.entries {
		stored := r.entries[(r.oldest+i)%len(r.entries)]
		record := stored.record
		record.GeneratedTokens = stored.tokens.Load()
		list = append(list, record)
	}
	return list
}
