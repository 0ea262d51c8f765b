package fakeengine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"magnoliahoist/fault"
)

// maxEvents bounds the cache events kept for readers that come later.
const maxEvents = 1024

// Kinds of cache events.
const (
	Stored  = "stored"  // the prefix is in the cache
	Cleared = "cleared" // nothing of the model is in the cache any more
)

// Event is one change of the prefix cache. A missing number is a gap.
type Event struct {
	Number int64  `json:"number"`
	Kind   string `json:"kind"`
	Model  string `json:"model"`
	Prefix uint64 `json:"prefix,string,omitempty"`

	due time.Time // when readers may see it
}

type events struct {
	mutex   sync.Mutex
	number  int64
	kept    []Event
	changed chan struct{} // closed at the next event
}

func newEvents() *events { return &events{changed: make(chan struct{})} }

// publish numbers the event; a lost one only takes a number.
func (e *Engine) publish(event Event) {
	lost := e.Faults.Take(fault.LoseEvent)
	event.due = time.Now().Add(time.Duration(e.Faults.Faults().Lag))
	s := e.events
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.number++
	if lost {
		return
	}
	event.Number = s.number
	if len(s.kept) == maxEvents {
		s.kept = append(s.kept[:0:0], s.kept[1:]...)
	}
	s.kept = append(s.kept, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// next waits for the first event above the number.
func (s *events) next(ctx context.Context, after int64) (Event, bool) {
	for {
		s.mutex.Lock()
		changed := s.changed
		for _, event := range s.kept {
			if event.Number > after {
				s.mutex.Unlock()
				return event, fault.Sleep(ctx, time.Until(event.due))
			}
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return Event{}, false
		}
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after int64
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
			return
		}
		after = number
	}
	ctx, cancel := e.scope(r)
	defer cancel()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		event, ok := e.events.next(ctx, after)
		if !ok {
			fault.Abort()
		}
		after = event.Number
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Number, quote(event)); err != nil {
			return
		}
		_ = flusher.Flush()
	}
}
