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

// maxCall is the most bytes of a completion call.
const maxCall = 16 << 20

// defaultTokens is what OpenAI's completions call generates when the caller names no number.
const defaultTokens = 16

// maxTokens bounds the length of an answer.
const maxTokens = 1 << 20

// call is the body of a completion or chat call.
type call struct {
	Model    string          `json:"model"`
	Adapter  string          `json:"adapter"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []Message       `json:"messages"`
	Most     *int            `json:"max_tokens"`
	MostChat *int            `json:"max_completion_tokens"`
	Stream   bool            `json:"stream"`
}

func (c call) prompt(chat bool) string {
	if chat {
		return ChatPrompt(c.Messages)
	}
	var text string
	if json.Unmarshal(c.Prompt, &text) == nil {
		return text
	}
	return string(c.Prompt)
}

func (c call) most() int {
	switch {
	case c.MostChat != nil:
		return max(*c.MostChat, 0)
	case c.Most != nil:
		return max(*c.Most, 0)
	default:
		return defaultTokens
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = rand.Text()
	}
	seen := e.requests.add(id, r)
	w.Header().Set("X-Request-Id", id)
	var c call
	// The server notices that the connection closed only once the body is read to its end.
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err == nil && c.most() > maxTokens {
		err = errors.Errorf("more than %d tokens are asked for", maxTokens)
	}
	if err != nil {
		(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
		return
	}
	pinned, ok := e.memory.use(c.Model, c.Adapter)
	if !ok {
		(&problem{http.StatusNotFound, notResident, "model " + c.Model + " with adapter " + c.Adapter + " is not resident"}).write(w)
		return
	}
	defer e.memory.unuse(pinned)
	g, offset, refusal := e.generation(id, c, r, pinned)
	if refusal != nil {
		refusal.write(w)
		return
	}
	ctx, cancel := e.scope(r)
	defer cancel()
	ctx, cancel = g.take(ctx)
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if !e.batch.enter(ctx, priority) {
		fault.Abort()
	}
	defer e.batch.leave()
	e.publish(Event{Kind: Stored, Model: g.model, Prefix: Prefix(g.model, g.prompt)})
	if e.Faults.Take(fault.SwapReply) {
		g = g.swapped()
		w.Header().Set("X-Request-Id", g.attempt)
	}
	run := runner{e: e, g: g, seen: seen, offset: offset}
	if c.Stream {
		run.stream(ctx, w)
		return
	}
	run.whole(ctx, w)
}

// generation returns a new one, or the one that the Last-Event-ID header resumes.
func (e *Engine) generation(id string, c call, r *http.Request, pinned []*held) (*generation, int, *problem) {
	g := &generation{attempt: id, model: pinned[0].Name, version: pinned[0].Version,
		chat: strings.HasSuffix(r.URL.Path, "/chat/completions"), created: time.Now().Unix()}
	if len(pinned) > 1 {
		g.adapter = pinned[1].Name
	}
	g.prompt = c.prompt(g.chat)
	g.seed = seedOf(g.model, g.adapter, g.prompt)
	g.tokens, g.reason = lengthOf(g.prompt, c.most())
	last := r.Header.Get("Last-Event-ID")
	if last == "" || !c.Stream {
		if c.Stream {
			e.generations.add(g)
		}
		return g, 0, nil
	}
	cut := strings.LastIndexByte(last, ':')
	offset, err := strconv.Atoi(last[cut+1:])
	if cut < 0 || err != nil || offset < 0 {
		return nil, 0, &problem{http.StatusBadRequest, badRequest, "Last-Event-ID " + last + " is not <attempt>:<offset>"}
	}
	old, ok := e.generations.find(last[:cut])
	if !ok {
		return nil, 0, &problem{http.StatusGone, notKept, "generation " + last[:cut] + " is not kept"}
	}
	if old.seed != g.seed || old.tokens != g.tokens || old.chat != g.chat || offset > old.events() {
		return nil, 0, &problem{http.StatusConflict, notKept, "generation " + last[:cut] + " is of another request"}
	}
	return old, offset, nil
}

// pace waits until the token is due; tokens generated earlier are due at once.
type pace struct {
	start time.Time
	first time.Duration
	each  time.Duration
	from  int
}

func (p pace) wait(ctx context.Context, i int) bool {
	if i < p.from {
		return ctx.Err() == nil
	}
	if p.first == 0 && p.each == 0 {
		return ctx.Err() == nil
	}
	return fault.Sleep(ctx, time.Until(p.start.Add(p.first+time.Duration(i-p.from)*p.each)))
}
