package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store: linearizable, loses nothing, and answers at once.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[rowKey]row // with deleted ones
	version int64
	changed chan struct{} // closed at the next change
}

func startStore() *store {
	s := &store{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	l := listen()
	s.address = l.Addr().String()
	go http.Serve(l, mux)
	return s
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	return l
}

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("unable to encode a row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]row{{Table: table, Key: key, Value: data}})
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]row{{Table: table, Key: key, Deleted: true}})
}

// keys returns the keys of the rows of a table.
func (s *store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for k, r := range s.rows {
		if k.table == table && !r.Deleted {
			list = append(list, k.key)
		}
	}
	sort.Strings(list)
	return list
}

// value returns the value of a row.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, "", key}].Value
}

// commit applies changes as one transaction. The caller holds the lock.
func (s *store) commit(changes []row) {
	s.version++
	for _, c := range changes {
		k := rowKey{c.Table, c.Part, c.Key}
		if c.Deleted && (s.rows[k].Version == 0 || s.rows[k].Deleted) {
			continue
		}
		c.Version = s.version
		s.rows[k] = c
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var wrong []row
	for _, e := range tx.Expected {
		current := s.rows[rowKey{e.Table, e.Part, e.Key}]
		version := current.Version
		if current.Deleted {
			version = 0
		}
		if version != e.Version {
			wrong = append(wrong, current)
		}
	}
	if wrong == nil {
		changes := tx.Writes
		for _, d := range tx.Remove {
			d.Deleted = true
			changes = append(changes, d)
		}
		s.commit(changes)
	}
	version := s.version
	s.mu.Unlock()
	status := http.StatusOK
	if wrong != nil {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, wrong, version, false)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for k, current := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !current.Deleted && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, current)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], version, more)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		var rows []row
		for k, current := range s.rows {
			if k.table == q.Get("table") && current.Version > after {
				rows = append(rows, current)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			sort.Slice(rows, func(a, b int) bool { return rows[a].Version < rows[b].Version })
			s.answer(w, http.StatusOK, rows, version, false)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, version int64, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": version, "now_ms": time.Since(s.began).Milliseconds() + 1000})
}
