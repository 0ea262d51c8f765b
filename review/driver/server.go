package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// server is a stand-in for a server of a service. It runs in this process, registers itself and is sound.
type server struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	slots   chan struct{}
	born    int64
	models  []string
	work    time.Duration // of a call; of each event of a stream
	ran     func(id string)
}

// addServer starts a server and registers it until the site stops.
func (s *site) addServer(id, service, zone string, slots int, models []string, work time.Duration, ran func(id string)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	e := &server{site: s, id: id, service: service, zone: zone, address: listener.Addr().String(), slots: make(chan struct{}, slots), born: time.Now().UnixMilli(), models: models, work: work, ran: ran}
	go http.Serve(listener, e)
	go e.register()
}

// register writes the server's entry about every heartbeat.
func (e *server) register() {
	for seq := 1; ; seq++ {
		models := []any{}
		for _, m := range e.models {
			models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
		}
		err := e.site.put("servers", e.id, map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": cap(e.slots), "state": "ready",
			"cold_ms": 0, "seq": seq, "born": e.born, "stage": "mixed", "models": models,
		})
		if err != nil {
			e.site.note("server %s could not register: %v", e.id, err)
		}
		select {
		case <-e.site.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		quoted := make([]string, 0, len(e.models))
		for _, m := range e.models {
			quoted = append(quoted, fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, m))
		}
		fmt.Fprintf(w, `{"stage":"mixed","models":[%s],"active":false,"seq":0,"queued":0,"running":%d,"kv_used":0,"kv_total":131945,"handles":0,"pending":[],"born":%d}`, strings.Join(quoted, ","), len(e.slots), e.born)
		return
	case "/order":
		w.WriteHeader(http.StatusConflict)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-time.After(200 * time.Millisecond):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.ran(id)
	w.Header().Set("X-Response-Stamp", "stamp."+e.id+"."+id)
	if r.Header.Get("X-Model") == "" {
		time.Sleep(e.work)
		fmt.Fprintf(w, "%-800s", "answer to "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= 11; n++ {
		select {
		case <-time.After(e.work):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		control.Flush()
	}
}
