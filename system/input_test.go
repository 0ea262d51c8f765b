package system_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// recorder is an endpoint that accepts requests on every path and records their URIs.
type recorder struct {
	mu    sync.Mutex
	paths []string
}

// listen starts a server that reports to the recorder and returns its address.
func (r *recorder) listen(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.paths = append(r.paths, q.RequestURI)
		r.mu.Unlock()
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (r *recorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.paths...)
}

// rawRequest sends a request with the target unchanged (net/http would normalize it) and returns the status and the header X-Run of the response.
func (f *fleet) rawRequest(method, target, key string) (int, string) {
	f.t.Helper()
	connection, err := net.Dial("tcp", f.hosts[0].word("callers"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: raw\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, target, key)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		f.t.Fatalf("%s %s: %v", method, target, err)
	}
	response.Body.Close()
	return response.StatusCode, response.Header.Get("X-Run")
}

// Guards against a caller that reaches the order interface of an endpoint through path traversal or an encoded path.
func TestProveNoPathToOrders(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	endpoint := &recorder{}
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true}, editTables: func(_ *route.Table, pools *pool.Table) {
		for i := range pools.Pools[1].Endpoints {
			pools.Pools[1].Endpoints[i].Address = endpoint.listen(t)
		}
	}})
	const order = "v2/repository/models/inspect-7b/unload"
	targets := []string{
		"/" + order, "//" + order, "/tags/../" + order, "/tags/./../" + order, "/tags/%2e%2e/" + order, "/tags/..%2f" + order,
		"/tags%2f..%2f" + order, "/tags/%2e%2e%2f" + order, "/tags//../" + order, "/tags/x/../../" + order, "/tags/%2E%2E/" + order,
		"http://x/tags/../" + order, "http://x/" + order, "http://x//" + order, "http:/tags/../" + order, "/./" + order,
		"/v1/completions/../../" + order, "/v1/../" + order, "/v1/chat/completions/..%2f..%2f..%2f" + order, "/%76%32/repository/index",
		"/tags/..;/" + order, "/tags/..%5c" + order, "/tags/%252e%252e/" + order, "/tags/a%00/../" + order, "/stamps/../" + order, "/stamps/..%2F" + order,
		"/tags/..?/../" + order, "/tags/?/../../" + order, "*", "/v2", "/v2/", "/V2/" + order,
	}
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for _, target := range targets {
			status, run := f.rawRequest(method, target, f.keys["yards"])
			if status != http.StatusOK && status != http.StatusBadRequest {
				c.Check(run, qt.Equals, "no", qt.Commentf("%s %s: %d", method, target, status))
			}
		}
	}
	for _, uri := range endpoint.recorded() {
		plain, _, _ := strings.Cut(uri, "?")
		c.Check(path.Clean(plain) == strings.TrimSuffix(plain, "/") || plain == path.Clean(plain), qt.IsTrue, qt.Commentf("%s", uri))
		for _, encoded := range []string{"%2e%2e", "%2f", "..%5c/"} {
			c.Check(strings.Contains(strings.ToLower(plain), encoded), qt.IsFalse, qt.Commentf("%s", uri))
		}
		c.Check(strings.HasPrefix(plain, "/tags/") || strings.HasPrefix(plain, "/stamps/"), qt.IsTrue, qt.Commentf("%s", uri))
	}
}

// Guards against invalid input that is forwarded to an endpoint or refused without an error type, and against body fields
// that let a call exceed what its route allows.
func TestProveBadInput(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true}, editSettings: func(_ int, settings hostSettings) {
		settings["limits"] = map[string]any{"body": 100000}
	}})
	chat := func(fields string) string {
		return `{"model": "history", "messages": [{"role": "user", "content": "x"}]` + fields + `}`
	}
	const chatPath, completionPath = "/v1/chat/completions", "/v1/completions"
	cases := map[string]struct {
		path, body string
		key        string
		status     int
	}{
		"too large":           {chatPath, chat(`, "user": "` + strings.Repeat("x", 100000) + `"`), "yards", http.StatusRequestEntityTooLarge},
		"no JSON":             {chatPath, `{"model": "history"`, "yards", http.StatusBadRequest},
		"list":                {chatPath, `[]`, "yards", http.StatusBadRequest},
		"null":                {chatPath, `null`, "yards", http.StatusBadRequest},
		"empty":               {chatPath, ``, "yards", http.StatusBadRequest},
		"no model":            {chatPath, `{"messages": []}`, "yards", http.StatusBadRequest},
		"no prompt":           {chatPath, `{"model": "history"}`, "yards", http.StatusBadRequest},
		"tokens below 0":      {chatPath, chat(`, "max_tokens": -1`), "yards", http.StatusBadRequest},
		"tokens as text":      {chatPath, chat(`, "max_tokens": "many"`), "yards", http.StatusBadRequest},
		"several answers":     {chatPath, chat(`, "n": 4`), "yards", http.StatusBadRequest},
		"tokens, other case":  {chatPath, chat(`, "Max_Completion_Tokens": 5000`), "yards", http.StatusBadRequest},
		"tokens, long s":      {chatPath, chat(`, "max_tokenſ": 5000`), "yards", http.StatusBadRequest},
		"adapter, other case": {chatPath, chat(`, "ADAPTER": "other"`), "yards", http.StatusBadRequest},
		"model, other case":   {chatPath, chat(`, "MODEL": "other"`), "yards", http.StatusBadRequest},
		"both prompts":        {completionPath, chat(`, "prompt": "` + strings.Repeat("y", 9000) + `"`), "yards", http.StatusBadRequest},
		"several prompts":     {completionPath, `{"model": "history", "prompt": ["a", "b", "c"]}`, "yards", http.StatusBadRequest},
		"no key":              {chatPath, chat(""), "", http.StatusUnauthorized},
		"no key, service":     {"/tags/1", "", "", http.StatusUnauthorized},
		"unknown route":       {chatPath, `{"model": "none", "messages": []}`, "yards", http.StatusNotFound},
		"unknown path":        {"/none/1", "", "yards", http.StatusNotFound},
		"no idempotency key":  {"/stamps/1", "{}", "yards", http.StatusBadRequest},
	}
	before := len(f.engineRequests())
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			a := f.ask(0, http.MethodPost, test.path, f.keys[test.key], test.body, nil)
			c.Check(a.status, qt.Equals, test.status, qt.Commentf("%+v", a))
			c.Check(a.run, qt.Equals, "no")
			c.Check(a.body, qt.Contains, `"error":{"type":`)
		})
	}
	c.Check(len(f.engineRequests()), qt.Equals, before)
	c.Check(f.executionsByKey(), qt.HasLen, 0)
	one := f.ask(0, http.MethodPost, completionPath, f.keys["yards"], `{"model": "history", "prompt": ["a"], "max_tokens": 3}`, nil)
	c.Check(one.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", one))
}

func (f *fleet) engineRequests() (ids []string) {
	for _, e := range f.engines {
		var records []struct{ ID string }
		getJSON(f.t, e.address(), "/debug/requests", &records)
		for _, r := range records {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// Guards against a request that runs for an account without presenting one of its keys, and against open routes that
// require a key.
func TestProveKeyOfAccount(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 2, engineOptions: fastEngine, fencedEngines: []bool{true}})
	public := strings.Replace(chatBody("open", 3, false), "history", "public", 1)
	cases := map[string]struct {
		path, body, key string
		status          int
	}{
		"own":                {"/v1/chat/completions", chatBody("own", 3, false), f.keys["yards"], http.StatusOK},
		"other account":      {"/v1/chat/completions", chatBody("other", 3, false), f.keys["docks"], http.StatusForbidden},
		"service of another": {"/stamps/1", "{}", f.keys["docks"], http.StatusForbidden},
		"booking of another": {"/bookings/1", "{}", f.keys["yards"], http.StatusForbidden},
		"unknown":            {"/v1/chat/completions", chatBody("unknown", 3, false), "unknown-key", http.StatusUnauthorized},
		"digest":             {"/tags/1", "", "Bearer " + f.keys["yards"], http.StatusUnauthorized},
		"shortened":          {"/bookings/1", "", f.keys["docks"][:len(f.keys["docks"])-1], http.StatusUnauthorized},
		"none":               {"/v1/chat/completions", chatBody("none", 3, false), "", http.StatusUnauthorized},
		"open":               {"/v1/chat/completions", public, "", http.StatusOK},
		"open, any key":      {"/v1/chat/completions", public, f.keys["small"], http.StatusOK},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			before := len(f.engineRequests())
			for host := range f.hosts {
				a := f.ask(host, http.MethodPost, test.path, test.key, test.body, map[string]string{"Idempotency-Key": name})
				c.Check(a.status, qt.Equals, test.status, qt.Commentf("%+v", a))
				if test.status != http.StatusOK {
					c.Check(a.run, qt.Equals, "no")
					c.Check(len(f.engineRequests()), qt.Equals, before)
				}
			}
		})
	}
	c.Check(f.executionsByKey(), qt.HasLen, 0)
}

// Guards against a host that waits for a body whose declared length is above the limit, instead of refusing the request at once.
func TestDeclaredBodyTooLarge(t *testing.T) {
	parallelFleet(t)
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true}})
	conn, err := net.Dial("tcp", f.hosts[0].word("callers"))
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 99999999999\r\n\r\n", f.keys["yards"])
	began := time.Now()
	qt.Assert(t, conn.SetReadDeadline(began.Add(waitTimeout)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
