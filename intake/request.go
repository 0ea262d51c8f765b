// Package intake holds requests and answers in a form that does not depend on the protocol of their callers.
package intake

import (
	"fmt"
	"net/http"
	"time"

	"magnoliahoist/catalog"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int64
}

// Work is what a request asks of an endpoint.
type Work interface{ isWork() }

// Generation asks a model for tokens.
type Generation struct {
	Model   string
	Adapter string
	Prompt  int64  // tokens
	Output  int64  // tokens at most
	Hint    int64  // the caller's estimate of the output; 0 when it gives none
	Parts   []Part // of the prompt, in order
	Resume  string // id of the last event that the caller has
}

// Call asks a service.
type Call struct {
	Tokens int64 // stated by the caller; 0 when it states none
}

func (Generation) isWork() {}
func (Call) isWork()       {}

// Request is a caller's request that has been read.
type Request struct {
	ID       string
	Host     string
	Path     string
	Key      catalog.Digest
	HasKey   bool
	Patience time.Duration // how long the caller waits; 0 when it is not stated
	Work     Work
	Message  *http.Request // the request as it arrived
	Body     []byte
}

// Describe names what the request asks for in a few words.
func (r *Request) Describe() string {
	switch w := r.Work.(type) {
	case Generation:
		name := w.Model
		if w.Adapter != "" {
			name += "/" + w.Adapter
		}
		return fmt.Sprintf("%s, %d tokens in, %d out", name, w.Prompt, w.Output)
	case Call:
		return fmt.Sprintf("call, %d tokens", w.Tokens)
	default:
		return "unknown work"
	}
}

// Tokens returns the tokens that the caller states.
func (r *Request) Tokens() int64 {
	switch w := r.Work.(type) {
	case Generation:
		return w.Prompt + w.Output
	case Call:
		return w.Tokens
	default:
		return 0
	}
}
