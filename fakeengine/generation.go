package fakeengine

import (
	"context"
	"sync"
	"time"
)

// keep is how long a generation can be resumed after its last use.
const keep = 60 * time.Second

// generation is one answer that is, or was, being generated.
type generation struct {
	attempt string
	prompt  string
	model   string
	adapter string
	version string
	chat    bool
	seed    uint64
	tokens  int
	reason  string
	created int64 // Unix time, seconds

	mutex sync.Mutex
	made  int // tokens generated so far
	used  time.Time
	stop  context.CancelFunc // ends the connection that reads it
}

// take makes the caller the only reader and returns its context.
func (g *generation) take(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stop != nil {
		g.stop()
	}
	g.stop = cancel
	g.used = time.Now()
	return ctx, cancel
}

func (g *generation) progress(made int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.made = max(g.made, made)
	g.used = time.Now()
}

func (g *generation) ready() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.made
}

func (g *generation) expired(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return now.Sub(g.used) > keep
}

// generations are those that can be resumed, by attempt.
type generations struct {
	mutex sync.Mutex
	all   map[string]*generation
	swept time.Time
}

func (s *generations) add(g *generation) {
	now := time.Now()
	g.used = now
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all[g.attempt] = g
	if now.Sub(s.swept) < time.Second {
		return
	}
	s.swept = now
	for attempt, one := range s.all {
		if one.expired(now) {
			delete(s.all, attempt)
		}
	}
}

func (s *generations) find(attempt string) (*generation, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g, ok := s.all[attempt]
	if !ok || g.expired(time.Now()) {
		return nil, false
	}
	return g, true
}
