package fakeengine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/fault"
)

// maxRequestBytes bounds the body of a completion request.
const maxRequestBytes = 16 << 20

// defaultMaxTokens is the value of max_tokens if the request has none, as in OpenAI's completions API.
const defaultMaxTokens = 16

// maxResponseTokens bounds the number of tokens that a request may ask for.
const maxResponseTokens = 1 << 20

// completionRequest is the body of a completion or chat completion request.
type completionRequest struct {
	Model               string          `json:"model"`
	Adapter             string          `json:"adapter"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []Message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// prompt returns the text that the response depends on. A prompt that is not a string is taken as its JSON.
func (c completionRequest) prompt(chat bool) string {
	if chat {
		return ChatPrompt(c.Messages)
	}
	var text string
	if json.Unmarshal(c.Prompt, &text) == nil {
		return text
	}
	return string(c.Prompt)
}

// tokenLimit returns the maximum number of tokens to generate.
func (c completionRequest) tokenLimit() int {
	switch {
	case c.MaxCompletionTokens != nil:
		return max(*c.MaxCompletionTokens, 0)
	case c.MaxTokens != nil:
		return max(*c.MaxTokens, 0)
	default:
		return defaultMaxTokens
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = rand.Text()
	}
	record := e.requests.add(id, r)
	w.Header().Set("X-Request-Id", id)
	var request completionRequest
	// The HTTP server notices a closed connection only after the body has been read to its end.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &request)
	}
	if err == nil && request.tokenLimit() > maxResponseTokens {
		err = errors.Errorf("more than %d tokens are asked for", maxResponseTokens)
	}
	if err != nil {
		(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
		return
	}
	pinned, ok := e.memory.pin(request.Model, request.Adapter)
	if !ok {
		(&problem{http.StatusNotFound, notResident, "model " + request.Model + " with adapter " + request.Adapter + " is not resident"}).write(w)
		return
	}
	defer e.memory.unpin(pinned)
	g, sentEvents, refusal := e.startOrResume(id, request, r, pinned)
	if refusal != nil {
		refusal.write(w)
		return
	}
	ctx, cancel := e.requestContext(r)
	defer cancel()
	ctx, cancel = g.attachReader(ctx)
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if !e.batch.acquireSlot(ctx, priority) {
		fault.Abort()
	}
	defer e.batch.releaseSlot()
	e.publish(CacheEvent{Kind: PrefixStored, Model: g.model, PrefixHash: PrefixHash(g.model, g.prompt)})
	if e.Faults.Consume(fault.SwapReply) {
		g = g.ofAnotherRequest()
		w.Header().Set("X-Request-Id", g.attempt)
	}
	writer := completionWriter{engine: e, generation: g, record: record, sentEvents: sentEvents}
	if request.Stream {
		writer.writeStream(ctx, w)
		return
	}
	writer.writeWhole(ctx, w)
}

// startOrResume returns the generation for the request, which is new or, if the Last-Event-ID header names one,
// an earlier one that the request resumes, and the number of its events that the caller already has.
func (e *Engine) startOrResume(id string, request completionRequest, r *http.Request, pinned []*memoryItem) (*generation, int, *problem) {
	g := &generation{attempt: id, model: pinned[0].Name, version: pinned[0].Version,
		chat: strings.HasSuffix(r.URL.Path, "/chat/completions"), created: time.Now().Unix()}
	if len(pinned) > 1 {
		g.adapter = pinned[1].Name
	}
	g.prompt = request.prompt(g.chat)
	g.seed = hashStrings(g.model, g.adapter, g.prompt)
	g.length, g.finishReason = responseLength(g.prompt, request.tokenLimit())
	lastEventID := r.Header.Get("Last-Event-ID")
	if lastEventID == "" || !request.Stream {
		if request.Stream {
			e.generations.add(g)
		}
		return g, 0, nil
	}
	separator := strings.LastIndexByte(lastEventID, ':')
	sentEvents, err := strconv.Atoi(lastEventID[separator+1:])
	if separator < 0 || err != nil || sentEvents < 0 {
		return nil, 0, &problem{http.StatusBadRequest, badRequest, "Last-Event-ID " + lastEventID + " is not <attempt>:<offset>"}
	}
	resumed, ok := e.generations.find(lastEventID[:separator])
	if !ok {
		return nil, 0, &problem{http.StatusGone, notKept, "generation " + lastEventID[:separator] + " is not kept"}
	}
	if resumed.seed != g.seed || resumed.length != g.length || resumed.chat != g.chat || sentEvents > resumed.eventCount() {
		return nil, 0, &problem{http.StatusConflict, notKept, "generation " + lastEventID[:separator] + " is of another request"}
	}
	return resumed, sentEvents, nil
}

// tokenPacer determines when the tokens of a response are due.
type tokenPacer struct {
	start      time.Time     // start of the request in its slot
	firstToken time.Duration // time to first token
	perToken   time.Duration // time between tokens
	generated  int           // tokens generated by an earlier request, which are due at once
}

// wait waits until token i is due; it returns false if the context ended first.
func (p tokenPacer) wait(ctx context.Context, i int) bool {
	if i < p.generated {
		return ctx.Err() == nil
	}
	if p.firstToken == 0 && p.perToken == 0 {
		return ctx.Err() == nil
	}
	return fault.Sleep(ctx, time.Until(p.start.Add(p.firstToken+time.Duration(i-p.generated)*p.perToken)))
}
