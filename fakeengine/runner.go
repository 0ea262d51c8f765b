package fakeengine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"magnoliahoist/fault"
)

// runner writes one answer.
type runner struct {
	e      *Engine
	g      *generation
	seen   *entry
	offset int // events that the caller has already
}

// swapped returns the answer to a request that nobody made.
func (g *generation) swapped() *generation {
	return &generation{attempt: "other-" + g.attempt, prompt: g.prompt, model: g.model, adapter: g.adapter, version: g.version,
		chat: g.chat, seed: g.seed + 1, tokens: g.tokens, reason: g.reason, created: g.created}
}

// events is the number of events of the whole stream: the tokens, the end and [DONE].
func (g *generation) events() int { return g.tokens + 2 }

func (r runner) pace() pace {
	s := r.e.settings
	return pace{start: time.Now(), first: s.FirstToken, each: s.PerToken, from: r.g.ready()}
}

// token waits for the token and counts it; it closes the connection when the request has ended.
func (r runner) token(ctx context.Context, p pace, i int) string {
	if !p.wait(ctx, i) {
		fault.Abort()
	}
	if i >= p.from {
		r.seen.tokens.Add(1)
		r.g.progress(i + 1)
	}
	return token(r.g.seed, i)
}

func (r runner) whole(ctx context.Context, w http.ResponseWriter) {
	g, p := r.g, r.pace()
	var text strings.Builder
	for i := range g.tokens {
		text.WriteString(r.token(ctx, p, i))
	}
	if r.e.Faults.Take(fault.LoseReply) {
		fault.Abort()
	}
	choice := map[string]any{"index": 0, "finish_reason": g.reason}
	kind := "text_completion"
	if g.chat {
		kind = "chat.completion"
		choice["message"] = Message{Role: "assistant", Content: text.String()}
	} else {
		choice["text"] = text.String()
	}
	body := g.body(kind, choice)
	body["usage"] = g.usage()
	answer(w, body)
}

func (r runner) stream(ctx context.Context, w http.ResponseWriter) {
	g, p := r.g, r.pace()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flusher := http.NewResponseController(w)
	cut := -1
	if r.e.Faults.Take(fault.CutStream) {
		cut = r.offset + (g.events()-r.offset)/2
	}
	for event := r.offset + 1; event <= g.events(); event++ {
		data := "[DONE]"
		if event <= g.tokens {
			data = g.chunk(event-1, r.token(ctx, p, event-1))
		} else if event == g.tokens+1 {
			data = g.end()
		}
		if event-1 == cut {
			_ = flusher.Flush()
			fault.Abort()
		}
		if _, err := w.Write([]byte("id: " + g.attempt + ":" + strconv.Itoa(event) + "\ndata: " + data + "\n\n")); err != nil {
			fault.Abort()
		}
		// Tokens that come without delay are sent together with the end.
		if p.each > 0 || event == r.offset+1 || event == g.events() {
			_ = flusher.Flush()
		}
	}
}

func (g *generation) body(kind string, choice map[string]any) map[string]any {
	return map[string]any{"id": "cmpl-" + g.attempt, "object": kind, "created": g.created, "model": g.model,
		"system_fingerprint": g.version, "choices": []any{choice}}
}

func (g *generation) usage() map[string]int {
	const bytesPerToken = 4 // the usual estimate for English text
	prompt := (len(g.prompt) + bytesPerToken - 1) / bytesPerToken
	return map[string]int{"prompt_tokens": prompt, "completion_tokens": g.tokens, "total_tokens": prompt + g.tokens}
}

func (g *generation) chunk(i int, text string) string {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if !g.chat {
		choice["text"] = text
		return quote(g.body("text_completion", choice))
	}
	delta := map[string]string{"content": text}
	if i == 0 {
		delta["role"] = "assistant"
	}
	choice["delta"] = delta
	return quote(g.body("chat.completion.chunk", choice))
}

func (g *generation) end() string {
	choice := map[string]any{"index": 0, "finish_reason": g.reason}
	kind := "text_completion"
	if g.chat {
		kind = "chat.completion.chunk"
		choice["delta"] = map[string]string{}
	} else {
		choice["text"] = ""
	}
	body := g.body(kind, choice)
	body["usage"] = g.usage()
	return quote(body)
}
