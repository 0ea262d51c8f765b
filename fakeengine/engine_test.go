package fakeengine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fakeengine"
	"magnoliahoist/fault"
)

// testEngine is an engine that serves HTTP on the loopback interface.
type testEngine struct {
	*fakeengine.Engine
	url string
}

// startEngine runs an engine until the test ends, unless set otherwise with a memory of 100 bytes that holds a
// model of 40 and its adapter of 10.
func startEngine(t testing.TB, s fakeengine.Settings) testEngine {
	if s.Memory == 0 {
		s.Memory = 100
	}
	if s.Resident == nil {
		s.Resident = []fakeengine.ResidentItem{
			{Kind: fakeengine.Model, Name: "m", Version: "1", Memory: 40},
			{Kind: fakeengine.Adapter, Name: "a", Model: "m", Version: "1", Memory: 10},
		}
	}
	e := fakeengine.New(s)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Stop()
		server.Close()
	})
	return testEngine{e, server.URL}
}

func (e testEngine) post(ctx context.Context, path, body string, header ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(r)
}

// send posts the request and returns the status and body of the response; status 0 means that the connection broke.
func (e testEngine) send(path, body string, header ...string) (int, string) {
	response, err := e.post(context.Background(), path, body, header...)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(data)
	}
	return response.StatusCode, string(data)
}

// parseStream returns the text of a stream's events, the id of the last one, and whether [DONE] was among them.
func parseStream(stream string) (text, id string, done bool) {
	scanner := bufio.NewScanner(strings.NewReader(stream))
	for scanner.Scan() {
		if rest, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			id = rest
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var body struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &body) == nil {
			text += body.Choices[0].Text + body.Choices[0].Delta.Content
		}
	}
	return text, id, done
}

// Guards against responses that a test cannot tell from those to another request.
func TestAnswers(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{})
	chat := fakeengine.ChatPrompt([]fakeengine.Message{{Role: "user", Content: "stop 3"}})
	cases := map[string]struct{ path, body, text string }{
		"completion": {"/v1/completions", `{"model":"m","prompt":"p","max_tokens":5}`, fakeengine.ResponseText("m", "", "p", 5)},
		"adapter":    {"/v1/completions", `{"model":"m","adapter":"a","prompt":"p","max_tokens":5}`, fakeengine.ResponseText("m", "a", "p", 5)},
		"its name":   {"/v1/completions", `{"model":"a","prompt":"p","max_tokens":5}`, fakeengine.ResponseText("m", "a", "p", 5)},
		"chat":       {"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"stop 3"}],"max_tokens":5}`, fakeengine.ResponseText("m", "", chat, 3)},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			status, body := e.send(test.path, test.body)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(body, qt.Contains, jsonString(test.text))
			status, body = e.send(test.path, strings.Replace(test.body, "{", `{"stream":true,`, 1), "X-Request-Id", name)
			c.Assert(status, qt.Equals, http.StatusOK)
			text, id, done := parseStream(body)
			c.Assert(text, qt.Equals, test.text)
			c.Assert(strings.HasPrefix(id, name+":"), qt.IsTrue)
			c.Assert(done, qt.IsTrue)
		})
	}
	status, _ := e.send("/v1/completions", `{"model":"none","prompt":"p"}`)
	c.Assert(status, qt.Equals, http.StatusNotFound)
}

func jsonString(text string) string {
	data, _ := json.Marshal(text)
	return string(data)
}

// Guards against a resumed stream that repeats or omits tokens.
func TestResume(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{InterTokenLatency: time.Millisecond})
	e.Faults.Replace(fault.Faults{CutStream: 1})
	const body = `{"model":"m","prompt":"p","max_tokens":9,"stream":true}`
	status, part := e.send("/v1/completions", body, "X-Request-Id", "one")
	c.Assert(status, qt.Equals, 0)
	before, last, done := parseStream(part)
	c.Assert(done, qt.IsFalse)
	c.Assert(before, qt.Not(qt.Equals), "")
	status, rest := e.send("/v1/completions", body, "X-Request-Id", "two", "Last-Event-ID", last)
	c.Assert(status, qt.Equals, http.StatusOK)
	after, last, done := parseStream(rest)
	c.Assert(before+after, qt.Equals, fakeengine.ResponseText("m", "", "p", 9))
	c.Assert(last, qt.Equals, "one:11")
	c.Assert(done, qt.IsTrue)
	status, _ = e.send("/v1/completions", strings.Replace(body, `"p"`, `"q"`, 1), "Last-Event-ID", last)
	c.Assert(status, qt.Equals, http.StatusConflict)
	status, _ = e.send("/v1/completions", body, "Last-Event-ID", "none:1")
	c.Assert(status, qt.Equals, http.StatusGone)
}

// waitUntil waits for the condition for about a second.
func waitUntil(c *qt.C, condition func() bool) {
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	c.Fatal("condition was not reached")
}

// Guards against a slot, or a place in the queue, that stays occupied after its caller has disconnected.
func TestSlots(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{Slots: 1, TimeToFirstToken: time.Hour})
	hasLoad := func(running, waiting int) func() bool {
		return func() bool {
			report := e.LoadReport()
			return report.Running == running && report.Waiting == waiting
		}
	}
	firstContext, cancelFirst := context.WithCancel(context.Background())
	ended := make(chan struct{}, 3)
	send := func(firstContext context.Context, id, priority string) {
		if response, err := e.post(firstContext, "/v1/completions", `{"model":"m","prompt":"`+id+`"}`, "X-Request-Id", id, "X-Priority", priority); err == nil {
			response.Body.Close()
		}
		ended <- struct{}{}
	}
	go send(firstContext, "first", "0")
	waitUntil(c, hasLoad(1, 0))
	secondContext, cancelSecond := context.WithCancel(context.Background())
	go send(secondContext, "gone", "9")
	waitUntil(c, hasLoad(1, 1))
	cancelSecond()
	waitUntil(c, hasLoad(1, 0))
	thirdContext, cancelThird := context.WithCancel(context.Background())
	go send(thirdContext, "second", "1")
	waitUntil(c, hasLoad(1, 1))
	cancelFirst()
	waitUntil(c, hasLoad(1, 0))
	cancelThird()
	waitUntil(c, hasLoad(0, 0))
	for range 3 {
		<-ended
	}
	c.Assert(e.Requests()[0].ID, qt.Equals, "first")
}

// Guards against a client's key that reaches the engine unnoticed: the engine must record headers as they arrive.
func TestRequests(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{})
	e.send("/v1/completions", `{"model":"m","prompt":"p","max_tokens":4}`, "Authorization", "Bearer k", "X-Request-Id", "r")
	response, err := http.Get(e.url + "/debug/requests")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var records []fakeengine.RequestRecord
	c.Assert(json.NewDecoder(response.Body).Decode(&records), qt.IsNil)
	c.Assert(records, qt.HasLen, 1)
	c.Assert(records[0].Headers.Get("Authorization"), qt.Equals, "Bearer k")
	c.Assert(e.RequestsWithKey(), qt.Equals, int64(1))
	c.Assert(records[0].GeneratedTokens, qt.Equals, int64(4))
}

// Guards against a response swapped by the SwapReply fault that a caller cannot tell from its own.
func TestSwap(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{})
	e.Faults.Replace(fault.Faults{SwapReply: 1, Slow: document.Duration(time.Millisecond)})
	response, err := e.post(context.Background(), "/v1/completions", `{"model":"m","prompt":"p"}`, "X-Request-Id", "r")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.Header.Get("X-Request-Id"), qt.Not(qt.Equals), "r")
}
