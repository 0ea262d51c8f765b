package fakeengine

import (
	"context"
	"sync"
	"time"
)

// generationLifetime is how long a generation can be resumed after its last use.
const generationLifetime = 60 * time.Second

// generation is the text generated for one request, with the progress of its generation.
type generation struct {
	attempt      string // id of the attempt that started it
	prompt       string
	model        string
	adapter      string
	version      string // version of the model
	chat         bool   // whether the request is a chat completion request
	seed         uint64 // determines the text
	length       int    // tokens of the whole text
	finishReason string // finish_reason of the response
	created      int64  // Unix time, seconds

	mutex        sync.Mutex
	generated    int                // tokens generated so far
	usedAt       time.Time          // when a reader attached or a token was generated last
	cancelReader context.CancelFunc // ends the request that reads the generation; nil before the first one
}

// attachReader makes the calling request the only reader: it ends the request that has been reading, and returns
// the context of the new one.
func (g *generation) attachReader(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.cancelReader != nil {
		g.cancelReader()
	}
	g.cancelReader = cancel
	g.usedAt = time.Now()
	return ctx, cancel
}

// recordProgress records that the first tokens of the text, as many as given, have been generated.
func (g *generation) recordProgress(generated int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.generated = max(g.generated, generated)
	g.usedAt = time.Now()
}

func (g *generation) generatedTokens() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.generated
}

// expired reports whether the generation can no longer be resumed.
func (g *generation) expired(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return now.Sub(g.usedAt) > generationLifetime
}

// resumableGenerations holds the generations of streams, which later requests can resume.
type resumableGenerations struct {
	mutex       sync.Mutex
	byAttempt   map[string]*generation
	lastCleanup time.Time // when expired generations were removed last, at most once a second
}

func (s *resumableGenerations) add(g *generation) {
	now := time.Now()
	g.usedAt = now
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.byAttempt[g.attempt] = g
	if now.Sub(s.lastCleanup) < time.Second {
		return
	}
	s.lastCleanup = now
	for attempt, kept := range s.byAttempt {
		if kept.expired(now) {
			delete(s.byAttempt, attempt)
		}
	}
}

// find returns the generation that the attempt started, unless it has expired.
func (s *resumableGenerations) find(attempt string) (*generation, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g, ok := s.byAttempt[attempt]
	if !ok || g.expired(time.Now()) {
		return nil, false
	}
	return g, true
}
