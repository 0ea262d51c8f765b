package system_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fakeservice"
)

// chatResponse contains the fields of a chat completion, or of one event of its stream, that the tests read.
type chatResponse struct {
	Choices []struct {
		Message struct{ Content string } `json:"message"`
		Delta   struct{ Content string } `json:"delta"`
	} `json:"choices"`
}

func chatText(body string) string {
	var parsed chatResponse
	if json.Unmarshal([]byte(body), &parsed) != nil || len(parsed.Choices) == 0 {
		return ""
	}
	return parsed.Choices[0].Message.Content + parsed.Choices[0].Delta.Content
}

// streamText joins the text of a stream's events and reports whether the stream ended with [DONE].
func streamText(body string) (string, bool) {
	var all strings.Builder
	complete := false
	for _, line := range strings.Split(body, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			complete = true
		} else if found {
			all.WriteString(chatText(data))
		}
	}
	return all.String(), complete
}

// Guards against faults anywhere on the path from callers through hosts to endpoints and the table
// service, with each component in a separate process.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 5, engineOptions: fastEngine, fencedEngines: []bool{true, false}})
	for host := range f.hosts {
		response := f.chat(host, f.keys["yards"], "whole", 20)
		c.Assert(response.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", response))
		c.Assert(chatText(response.body), qt.Equals, wantText("whole", 20))

		response = f.ask(host, http.MethodPost, "/v1/chat/completions", f.keys["yards"], chatBody("stream", 20, true), nil)
		streamed, complete := streamText(response.body)
		c.Assert(complete, qt.IsTrue, qt.Commentf("%+v", response))
		c.Assert(streamed, qt.Equals, wantText("stream", 20))

		response = f.ask(host, http.MethodGet, "/tags/4711", f.keys["yards"], "", nil)
		c.Assert(response.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", response))

		response = f.stamp(host, "stamp-1", `{"ladder": 4711, "result": "passed"}`)
		c.Assert(response.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", response))
	}
	c.Assert(f.executions("stamp-1"), qt.Equals, 1)
}

// executions returns how often the services ran the call with an idempotency key.
func (f *fleet) executions(key string) int {
	count := 0
	for _, s := range f.services {
		var calls []fakeservice.Call
		getJSON(f.t, s.address(), "/debug/calls", &calls)
		for _, call := range calls {
			if call.IdempotencyKey == key {
				count += call.Executions
			}
		}
	}
	return count
}
