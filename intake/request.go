// Package intake defines requests in a form that doesn't depend on the protocol of the callers.
package intake

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"magnoliahoist/catalog"
)

// PromptPart is a part of a prompt that several requests may have in common, such as a system prompt.
type PromptPart struct {
	ID     uint64 // equal parts have the same id
	Tokens int64
}

// Work is what a request asks of an endpoint.
type Work interface{ isWork() }

// Generation asks a model engine to generate tokens.
type Generation struct {
	Model           string
	Adapter         string
	PromptTokens    int64
	MaxOutputTokens int64        // most tokens to generate
	OutputEstimate  int64        // tokens that the caller expects to be generated; 0 if it states none
	PromptParts     []PromptPart // in their order
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Tokens int64 // stated by the caller; 0 if it states none
}

func (Generation) isWork()  {}
func (ServiceCall) isWork() {}

// Resumption says which stream a request takes up. The zero value stands for none.
type Resumption struct {
	LastEventID string // ID of the last event that the caller received
	RequestID   string // of the request that brought the stream's first event; empty if the caller doesn't say
}

// Request is a caller's request after decoding.
type Request struct {
	ID            string
	Host          string
	Path          string
	Key           catalog.Digest
	HasKey        bool
	CallerTimeout time.Duration // how long the caller waits for the response; 0 if it doesn't say
	Work          Work
	Resumption    Resumption
	HTTPRequest   *http.Request // as it arrived
	Body          [][]byte      // in pieces
}

// BodyLength returns the length of the body in bytes.
func (r *Request) BodyLength() int {
	length := 0
	for _, piece := range r.Body {
		length += len(piece)
	}
	return length
}

// Describe returns a short description of what the request asks for.
func (r *Request) Describe() string {
	switch w := r.Work.(type) {
	case Generation:
		name := w.Model
		if w.Adapter != "" {
			name += "/" + w.Adapter
		}
		return fmt.Sprintf("%s, %d tokens in, %d out", name, w.PromptTokens, w.MaxOutputTokens)
	case ServiceCall:
		return fmt.Sprintf("call, %d tokens", w.Tokens)
	default:
		return "unknown work"
	}
}

// DescribeParts returns the ids of the prompt's parts in hexadecimal; empty for a call and for a prompt without parts.
func (r *Request) DescribeParts() string {
	g, ok := r.Work.(Generation)
	if !ok {
		return ""
	}
	ids := make([]string, 0, len(g.PromptParts))
	for _, part := range g.PromptParts {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return strings.Join(ids, ",")
}

// Tokens returns the tokens that the caller states: of prompt and output together for a generation.
func (r *Request) Tokens() int64 {
	switch w := r.Work.(type) {
	case Generation:
		return w.PromptTokens + w.MaxOutputTokens
	case ServiceCall:
		return w.Tokens
	default:
		return 0
	}
}
