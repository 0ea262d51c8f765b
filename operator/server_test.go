package operator_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"magnoliahoist/account"
	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/route"
	"magnoliahoist/timeline"
)

const credential = "0123456789abcdef"

const routes = `{"accounts": [{"name": "yards", "rate": 10, "burst": 1000}],
 "routes": [{"name": "tags", "kind": "service", "prefix": "/tags/", "pool": "registry", "accounts": ["yards"]}]}`

const pools = `{"pools": [{"name": "registry", "kind": "service",
 "endpoints": [{"name": "tag-1", "address": "127.0.0.1:9201", "domain": "fukuoka", "slots": 4}]}]}`

// backend is a Backend in memory whose results the tests set.
type backend struct {
	routes   route.Table
	pools    pool.Table
	revision int64
	state    operator.State
	pending  bool  // changes are not accepted yet
	err      error // returned by the methods
	edits    []operator.Edit
	keys     []account.Key
	drained  bool
}

func newBackend(t *testing.T) *backend {
	r, err := route.Parse([]byte(routes))
	qt.Assert(t, err, qt.IsNil)
	p, err := pool.Parse([]byte(pools))
	qt.Assert(t, err, qt.IsNil)
	return &backend{routes: r, pools: p, revision: 7, state: operator.Serving}
}

// progress returns the progress of the latest change.
func (b *backend) progress() operator.Change {
	return operator.Change{Revision: b.revision, Accepted: !b.pending, Applied: 3, Members: 5}
}

func (b *backend) Tables(context.Context) (route.Table, pool.Table, int64, error) {
	return b.routes, b.pools, b.revision, nil
}

func (b *backend) Edit(_ context.Context, edit operator.Edit) (operator.Change, error) {
	if b.err != nil {
		return operator.Change{}, b.err
	}
	if edit.BaseRevision != b.revision {
		return operator.Change{}, &operator.Conflict{CurrentRevision: b.revision}
	}
	b.edits = append(b.edits, edit)
	b.revision++
	return b.progress(), nil
}

func (b *backend) IssueKey(_ context.Context, key account.Key) (operator.Change, error) {
	b.keys = append(b.keys, key)
	return b.progress(), b.err
}

func (b *backend) WithdrawKey(_ context.Context, id string) (operator.Change, error) {
	for i, key := range b.keys {
		if key.Digest == id {
			b.keys[i] = key.AsWithdrawn()
			return b.progress(), b.err
		}
	}
	return operator.Change{}, errors.Annotate(operator.ErrNotFound, "key")
}

func (b *backend) Keys(context.Context) ([]account.Key, error) { return b.keys, b.err }

func (b *backend) Status(context.Context) (operator.Status, error) {
	return operator.Status{Host: "h1", State: b.state}, b.err
}

func (b *backend) Change(context.Context, int64) (operator.Change, error) { return b.progress(), b.err }

func (b *backend) Drain(context.Context) error {
	b.drained, b.state = true, operator.Draining
	return b.err
}

func (b *backend) Timeline(context.Context) ([]timeline.Log, error) {
	return []timeline.Log{{Host: "h1", Events: []timeline.Event{
		{Timestamp: timeline.Timestamp{Wall: 1}, Host: "h1", Sequence: 1, Kind: timeline.Received, Request: "r1"},
		{Timestamp: timeline.Timestamp{Wall: 2}, Host: "h1", Sequence: 2, Kind: timeline.Answered, Request: "r2"}}}}, b.err
}

func serve(t *testing.T, b *backend, credential string) string {
	return serveLogged(t, b, credential, io.Discard)
}

func serveLogged(t *testing.T, b *backend, credential string, log io.Writer) string {
	logger := hclog.New(&hclog.LoggerOptions{Output: log, Level: hclog.Trace})
	server := httptest.NewServer(operator.New(b, credential, logger).Handler())
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against logging a key that an operator gives in place of its id.
func TestKeyNotLogged(t *testing.T) {
	var log bytes.Buffer
	url := serveLogged(t, newBackend(t), credential, &log)
	key := account.NewKey()
	for _, path := range []string{"/v1/keys/" + key, "/v1/keys/" + key + "/more"} {
		response, body := ask(t, "DELETE", url+path, "", nil)
		qt.Check(t, response.StatusCode/100, qt.Equals, 4)
		qt.Check(t, body, qt.Not(qt.Contains), key)
	}
	qt.Check(t, log.String(), qt.Contains, "unable to serve")
	qt.Check(t, log.String(), qt.Not(qt.Contains), key)
}

func ask(t *testing.T, method, url, body string, header map[string]string) (*http.Response, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+credential)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response, string(data)
}

// Guards against a response that says wrongly that an edit was not run, took effect or has an unknown outcome, and against an edit that
// reaches the backend unchecked.
func TestPut(t *testing.T) {
	other := strings.Replace(routes, "registry", "nowhere", 1)
	tests := map[string]struct {
		path, body, match string
		err               error
		pending           bool
		status            int
		run, contains     string
		edits             int
	}{
		"accepted":                  {"routes", routes, `"7"`, nil, false, 200, "", `"accepted":true`, 1},
		"pools":                     {"pools", pools, `"7"`, nil, false, 200, "", `"revision":8`, 1},
		"pending":                   {"routes", routes, `"7"`, nil, true, 202, "", `"accepted":false`, 1},
		"no If-Match":               {"routes", routes, ``, nil, false, 428, "no", "If-Match", 0},
		"any version":               {"routes", routes, `*`, nil, false, 422, "no", "If-Match", 0},
		"weak tag":                  {"routes", routes, `W/"7"`, nil, false, 422, "no", "If-Match", 0},
		"conflict":                  {"routes", routes, `"6"`, nil, false, 412, "no", `"current":7`, 0},
		"host behind base revision": {"routes", routes, `"8"`, nil, false, 503, "no", "version 7 only", 0},
		"malformed":                 {"routes", `{"accounts": `, `"7"`, nil, false, 422, "no", "line 1 column 14", 0},
		"invalid":                   {"routes", `{}`, `"7"`, nil, false, 422, "no", `"path":"accounts"`, 0},
		"unknown pool":              {"routes", other, `"7"`, nil, false, 422, "no", `"path":"routes[0].pool"`, 0},
		"refused":                   {"routes", routes, `"7"`, errors.Trace(operator.ErrRefused), false, 503, "no", "", 0},
		"unknown":                   {"routes", routes, `"7"`, errors.Trace(operator.ErrOutcomeUnknown), false, 504, "unknown", "", 0},
		"any other error":           {"routes", routes, `"7"`, context.Canceled, false, 504, "unknown", "", 0},
		"id reused":                 {"routes", routes, `"7"`, errors.Trace(operator.ErrEditIDReused), false, 409, "no", "", 0},
		"too large":                 {"routes", strings.Repeat(" ", 16<<20+1), `"7"`, nil, false, 413, "no", "", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(t)
			b.err, b.pending = test.err, test.pending
			header := map[string]string{"Idempotency-Key": "edit-1"}
			if test.match != "" {
				header["If-Match"] = test.match
			}
			response, body := ask(t, "PUT", serve(t, b, credential)+"/v1/tables/"+test.path, test.body, header)
			c.Check(response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			c.Check(response.Header.Get("X-Run"), qt.Equals, test.run)
			c.Check(body, qt.Contains, test.contains)
			c.Assert(b.edits, qt.HasLen, test.edits)
			if test.edits > 0 {
				c.Check(b.edits[0].ID, qt.Equals, "edit-1")
				c.Check(response.Header.Get("ETag"), qt.Equals, `"8"`)
			}
			if test.status == 412 {
				c.Check(response.Header.Get("ETag"), qt.Equals, `"7"`)
			}
		})
	}
}

// Guards against paths that don't require the operator credential.
func TestCredential(t *testing.T) {
	paths := map[string]bool{"GET /health": true, "GET /metrics": true, "GET /v1/status": false, "GET /v1/tables/routes": false, "GET /v1/keys": false,
		"POST /v1/keys": false, "POST /v1/drain": false, "GET /v1/timeline": false, "GET /nowhere": false}
	for name, open := range paths {
		method, path, _ := strings.Cut(name, " ")
		for _, sent := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic " + credential, "Bearer " + credential + "0"} {
			t.Run(name+" "+sent, func(t *testing.T) {
				b := newBackend(t)
				response, _ := ask(t, method, serve(t, b, credential)+path, "", map[string]string{"Authorization": sent})
				qt.Check(t, response.StatusCode == http.StatusOK, qt.Equals, open)
				qt.Check(t, response.StatusCode == http.StatusUnauthorized, qt.Equals, !open)
				qt.Check(t, b.drained, qt.IsFalse)
			})
		}
	}
	t.Run("web page without credential", func(t *testing.T) {
		b := newBackend(t)
		response, _ := ask(t, "POST", serve(t, b, "")+"/v1/drain", "", map[string]string{"Origin": "http://example.org"})
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusUnauthorized)
		qt.Check(t, b.drained, qt.IsFalse)
	})
}

// Guards against a load balancer that keeps sending calls to a host that doesn't serve them.
func TestHealth(t *testing.T) {
	tests := map[operator.State]int{operator.Starting: 503, operator.Serving: 200, operator.Stale: 503, operator.Draining: 503}
	for state, want := range tests {
		t.Run(state.String(), func(t *testing.T) {
			b := newBackend(t)
			b.state = state
			response, body := ask(t, "GET", serve(t, b, credential)+"/health", "", nil)
			qt.Check(t, response.StatusCode, qt.Equals, want)
			qt.Check(t, body, qt.Contains, state.String())
		})
	}
}

// Guards against a client that doesn't match the server.
func TestClient(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	b := newBackend(t)
	client := operator.NewClient(serve(t, b, credential), credential, http.DefaultClient)

	table, revision, err := client.Routes(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(revision, qt.Equals, int64(7))
	c.Check(table, qt.DeepEquals, b.routes)
	_, err = client.Put(ctx, operator.Pools, "edit-1", 3, []byte(pools))
	var failure *operator.Failure
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Check(failure.CurrentRevision, qt.Equals, int64(7))
	change, err := client.Put(ctx, operator.Pools, "edit-2", 7, []byte(pools))
	c.Assert(err, qt.IsNil)
	c.Check(change, qt.DeepEquals, operator.Change{Revision: 8, Accepted: true, Applied: 3, Members: 5})

	issued, err := client.IssueKey(ctx, operator.KeyRequest{Account: "yards", Label: "gate"})
	c.Assert(err, qt.IsNil)
	c.Check(b.keys[0], qt.DeepEquals, account.Key{Digest: account.Digest(issued.Key), Account: "yards", Label: "gate"})
	_, err = client.WithdrawKey(ctx, issued.ID)
	c.Assert(err, qt.IsNil)
	_, err = client.WithdrawKey(ctx, issued.Key)
	c.Check(err, qt.ErrorMatches, `(?s).*id: \(hidden\) is not allowed.*`)
	_, err = client.WithdrawKey(ctx, account.Digest("other"))
	c.Check(err, qt.ErrorMatches, ".*does not exist")
	_, err = client.IssueKey(ctx, operator.KeyRequest{Account: "nobody"})
	c.Check(err, qt.ErrorMatches, `(?s).*account: "nobody" is not allowed.*`)
	keys, err := client.Keys(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(keys, qt.DeepEquals, b.keys)

	var out bytes.Buffer
	c.Assert(client.Timeline(ctx, timeline.Filter{Request: "r1", Kinds: []timeline.Kind{timeline.Received}}, "text", &out), qt.IsNil)
	c.Check(strings.Count(out.String(), "\n"), qt.Equals, 1)
	c.Check(client.Timeline(ctx, timeline.Filter{}, "pdf", &out), qt.ErrorMatches, `(?s).*format: "pdf".*`)
	c.Assert(client.Drain(ctx), qt.IsNil)
	health, err := client.Health(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(health.State, qt.Equals, operator.Draining)
}

// Guards against reporting an edit as not run if its response was lost, and as unknown if it was never sent.
func TestClientLost(t *testing.T) {
	lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer lost.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	for name, test := range map[string]struct{ url, run string }{"response lost": {lost.URL, "unknown"}, "not sent": {closed.URL, "no"}} {
		t.Run(name, func(t *testing.T) {
			_, err := operator.NewClient(test.url, "", http.DefaultClient).Put(context.Background(), operator.Routes, "e", 1, nil)
			var failure *operator.Failure
			qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
			qt.Check(t, failure.Run, qt.Equals, test.run)
		})
	}
}
