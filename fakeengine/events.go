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

// maxRecentEvents bounds the number of cache events that are kept for readers that connect later.
const maxRecentEvents = 1024

// Kinds of cache events.
const (
	PrefixStored = "stored"  // the prefix has been added to the cache
	CacheCleared = "cleared" // all prefixes of the model have been removed from the cache
)

// CacheEvent is a change of the prefix cache. Events are numbered from 1; a missing number means that an event was
// lost.
type CacheEvent struct {
	Number     int64  `json:"number"`
	Kind       string `json:"kind"`
	Model      string `json:"model"`
	PrefixHash uint64 `json:"prefix,string,omitempty"` // hash of the added prefix; 0 when the cache was cleared

	visibleAt time.Time // time from which readers get the event, later by the Lag fault
}

// eventLog holds the recent cache events.
type eventLog struct {
	mutex      sync.Mutex
	lastNumber int64
	recent     []CacheEvent  // oldest first
	changed    chan struct{} // closed when the next event is added
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

// publish adds the event to the log under the next number. An event that the LoseEvent fault affects takes a
// number but is not added.
func (e *Engine) publish(event CacheEvent) {
	lost := e.Faults.Consume(fault.LoseEvent)
	event.visibleAt = time.Now().Add(time.Duration(e.Faults.Faults().Lag))
	log := e.events
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.lastNumber++
	if lost {
		return
	}
	event.Number = log.lastNumber
	if len(log.recent) == maxRecentEvents {
		log.recent = append(log.recent[:0:0], log.recent[1:]...)
	}
	log.recent = append(log.recent, event)
	close(log.changed)
	log.changed = make(chan struct{})
}

// next returns the first event with a number above after, and waits for it if necessary; it returns false if the
// context ended first.
func (l *eventLog) next(ctx context.Context, after int64) (CacheEvent, bool) {
	for {
		l.mutex.Lock()
		changed := l.changed
		for _, event := range l.recent {
			if event.Number > after {
				l.mutex.Unlock()
				return event, fault.Sleep(ctx, time.Until(event.visibleAt))
			}
		}
		l.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return CacheEvent{}, false
		}
	}
}

// serveEvents streams the cache events after the number in the query as server-sent events.
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
	ctx, cancel := e.requestContext(r)
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
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Number, marshalJSON(event)); err != nil {
			return
		}
		_ = flusher.Flush()
	}
}
