package fakeengine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"magnoliahoist/fault"
)

// completionWriter writes the response to one completion request.
type completionWriter struct {
	engine     *Engine
	generation *generation
	record     *recordEntry
	sentEvents int // events of the stream that the caller already has
}

// ofAnotherRequest returns a generation with other text under another attempt id, as if the response belonged
// to another request.
func (g *generation) ofAnotherRequest() *generation {
	return &generation{attempt: "other-" + g.attempt, prompt: g.prompt, model: g.model, adapter: g.adapter, version: g.version,
		chat: g.chat, seed: g.seed + 1, length: g.length, finishReason: g.finishReason, created: g.created}
}

// eventCount returns the number of events of the whole stream: one for each token, the final chunk and [DONE].
func (g *generation) eventCount() int { return g.length + 2 }

// pacer returns the pacer of a response that starts now.
func (c completionWriter) pacer() tokenPacer {
	s := c.engine.settings
	return tokenPacer{start: time.Now(), firstToken: s.TimeToFirstToken, perToken: s.InterTokenLatency, generated: c.generation.generatedTokens()}
}

// nextToken waits until token i is due, counts it unless it was generated earlier, and returns it. It closes
// the connection if the request has ended.
func (c completionWriter) nextToken(ctx context.Context, pacer tokenPacer, i int) string {
	if !pacer.wait(ctx, i) {
		fault.Abort()
	}
	if i >= pacer.generated {
		c.record.tokens.Add(1)
		c.generation.recordProgress(i + 1)
	}
	return token(c.generation.seed, i)
}

// writeWhole writes the response in one piece.
func (c completionWriter) writeWhole(ctx context.Context, w http.ResponseWriter) {
	g, pacer := c.generation, c.pacer()
	var text strings.Builder
	for i := range g.length {
		text.WriteString(c.nextToken(ctx, pacer, i))
	}
	if c.engine.Faults.Consume(fault.LoseReply) {
		fault.Abort()
	}
	choice := map[string]any{"index": 0, "finish_reason": g.finishReason}
	objectType := "text_completion"
	if g.chat {
		objectType = "chat.completion"
		choice["message"] = Message{Role: "assistant", Content: text.String()}
	} else {
		choice["text"] = text.String()
	}
	body := g.responseBody(objectType, choice)
	body["usage"] = g.usage()
	writeJSON(w, body)
}

// writeStream writes the response as server-sent events. The id of an event is the attempt id, a colon and the
// number of the event, from 1.
func (c completionWriter) writeStream(ctx context.Context, w http.ResponseWriter) {
	g, pacer := c.generation, c.pacer()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flusher := http.NewResponseController(w)
	cutAfter := -1
	if c.engine.Faults.Consume(fault.CutStream) {
		cutAfter = c.sentEvents + (g.eventCount()-c.sentEvents)/2
	}
	for event := c.sentEvents + 1; event <= g.eventCount(); event++ {
		data := "[DONE]"
		if event <= g.length {
			data = g.tokenChunk(event-1, c.nextToken(ctx, pacer, event-1))
		} else if event == g.length+1 {
			data = g.finalChunk()
		}
		if event-1 == cutAfter {
			_ = flusher.Flush()
			fault.Abort()
		}
		if _, err := w.Write([]byte("id: " + g.attempt + ":" + strconv.Itoa(event) + "\ndata: " + data + "\n\n")); err != nil {
			fault.Abort()
		}
		// Without a delay between tokens, the events after the first are flushed together with the last.
		if pacer.perToken > 0 || event == c.sentEvents+1 || event == g.eventCount() {
			_ = flusher.Flush()
		}
	}
}

func (g *generation) responseBody(objectType string, choice map[string]any) map[string]any {
	return map[string]any{"id": "cmpl-" + g.attempt, "object": objectType, "created": g.created, "model": g.model,
		"system_fingerprint": g.version, "choices": []any{choice}}
}

func (g *generation) usage() map[string]int {
	const bytesPerToken = 4 // the usual estimate for English text
	prompt := (len(g.prompt) + bytesPerToken - 1) / bytesPerToken
	return map[string]int{"prompt_tokens": prompt, "completion_tokens": g.length, "total_tokens": prompt + g.length}
}

// tokenChunk returns the data of the event for token i.
func (g *generation) tokenChunk(i int, text string) string {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if !g.chat {
		choice["text"] = text
		return marshalJSON(g.responseBody("text_completion", choice))
	}
	delta := map[string]string{"content": text}
	if i == 0 {
		delta["role"] = "assistant"
	}
	choice["delta"] = delta
	return marshalJSON(g.responseBody("chat.completion.chunk", choice))
}

// finalChunk returns the data of the event after the last token, which carries the finish reason and the usage.
func (g *generation) finalChunk() string {
	choice := map[string]any{"index": 0, "finish_reason": g.finishReason}
	objectType := "text_completion"
	if g.chat {
		objectType = "chat.completion.chunk"
		choice["delta"] = map[string]string{}
	} else {
		choice["text"] = ""
	}
	body := g.responseBody(objectType, choice)
	body["usage"] = g.usage()
	return marshalJSON(body)
}
