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

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's store: rows with versions of a single counter, transactions and long polls.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row // deleted rows are kept and marked
	version int64
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	s := &store{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), version: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /rows-get", s.serveRows)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	l := listen()
	s.address = l.Addr().String()
	go (&http.Server{Handler: mux}).Serve(l)
	return s
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	return l
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() + 1000 }

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = s.nowMS()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// put writes a row of the operator or of an engine.
func (s *store) put(table, key string, value any) {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{table, "", key}
	s.rows[k] = row{Table: table, Key: key, Value: encoded, Version: s.version}
	s.announce()
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.announce()
}

// announce wakes the long polls. The caller holds the lock.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		current := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if current.Deleted && e.Version == 0 {
			continue
		}
		if current.Version != e.Version {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"ver": s.version, "rows": []row{current}})
			return
		}
	}
	s.version++
	for _, x := range t.Writes {
		x.Version = s.version
		s.rows[rowKey{x.Table, x.Part, x.Key}] = x
	}
	for _, x := range t.Remove {
		s.rows[rowKey{x.Table, x.Part, x.Key}] = row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Deleted: true}
	}
	s.announce()
	s.reply(w, http.StatusOK, map[string]any{"ver": s.version})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, x := range s.rows {
		if !x.Deleted && k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "ver": s.version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	time.Sleep(4 * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		list := []row{}
		for k, x := range s.rows {
			if k.table == q.Get("table") && x.Version > after {
				list = append(list, x)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(list) > 0 || over {
			sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
			s.reply(w, http.StatusOK, map[string]any{"rows": list, "ver": version})
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
