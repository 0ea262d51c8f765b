package fakehosts_test

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fakehosts"
)

// send sends a request and asserts that the response has status 200.
func send(c *qt.C, method, url, body string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against a stale list that includes changes made after the Stale fault was set, and against a
// list that cannot be read and replaced over HTTP.
func TestStale(t *testing.T) {
	c := qt.New(t)
	hosts := fakehosts.New(fakehosts.Settings{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- hosts.Serve(l) }()
	base := "http://" + l.Addr().String()
	steps := []struct{ method, path, body, state string }{
		{http.MethodPut, "/v1/hosts", `[{"name":"h","address":"a","state":"live"}]`, "live"},
		{http.MethodPost, "/fault", `{"stale":true}`, "live"},
		{http.MethodPut, "/v1/hosts", `[{"name":"h","address":"a","state":"leaving"}]`, "live"},
		{http.MethodPost, "/fault", `{}`, "leaving"},
	}
	for _, step := range steps {
		send(c, step.method, base+step.path, step.body)
		response, err := http.Get(base + "/v1/hosts")
		c.Assert(err, qt.IsNil)
		var list []map[string]string
		c.Assert(json.NewDecoder(response.Body).Decode(&list), qt.IsNil)
		response.Body.Close()
		c.Assert(list, qt.DeepEquals, []map[string]string{{"name": "h", "address": "a", "state": step.state}})
	}
	hosts.Stop()
	<-hosts.Done()
	c.Assert(<-served, qt.IsNil)
}
