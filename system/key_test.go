package system_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fault"
)

// openStream starts a streamed chat and returns a channel of its lines, which is closed when the stream ends, and a function that cancels it.
func (f *fleet) openStream(host int, key, prompt string, tokens int) (<-chan string, context.CancelFunc) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+f.hosts[host].word("callers")+"/v1/chat/completions", strings.NewReader(chatBody(prompt, tokens, true)))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := callers.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	lines := make(chan string, 4096)
	go func() {
		defer close(lines)
		defer response.Body.Close()
		for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines, cancel
}

// readRemaining returns the remaining lines of a stream, and fails the test if the stream does not end within waitTimeout.
func (f *fleet) readRemaining(lines <-chan string) string {
	f.t.Helper()
	var all strings.Builder
	deadline := time.After(waitTimeout)
	for {
		select {
		case line, open := <-lines:
			if !open {
				return all.String()
			}
			all.WriteString(line + "\n")
		case <-deadline:
			f.t.Fatalf("the stream did not end within %s", waitTimeout)
		}
	}
}

// Guards against a withdrawn key that is still accepted: for new requests on any host, also on a host that is
// cut off from the table service, and for streams that were started before.
func TestProveWithdrawnKey(t *testing.T) {
	c := qt.New(t)
	var links []*link
	f := newFleet(t, layout{hostCount: 5, engineOptions: slowEngine, fencedEngines: []bool{true, true},
		tableAddress: func(host int, address string) string {
			links = append(links, newLink(t, address))
			return links[host].address()
		}})
	issued := f.issueKey("yards")
	streams := make([]<-chan string, len(f.hosts))
	for host := range f.hosts {
		lines, cancel := f.openStream(host, issued.Key, "long", 400)
		defer cancel()
		streams[host] = lines
	}
	links[4].cutBoth()
	links[3].cutFromTarget()
	change, err := f.operatorClients[0].WithdrawKey(context.Background(), issued.ID)
	c.Assert(err, qt.IsNil)
	c.Assert(change.Accepted, qt.IsTrue)
	for host := range f.hosts {
		remaining := f.readRemaining(streams[host])
		_, complete := streamText(remaining)
		c.Assert(complete, qt.IsFalse)
		c.Assert(remaining, qt.Contains, `"type":"withdrawn_key"`)
		response := f.chat(host, issued.Key, "again", 1)
		c.Assert(response.status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%+v", response))
		c.Assert(response.run, qt.Equals, "no")
		c.Assert(f.chat(host, f.keys["yards"], "other key", 1).status, qt.Equals, http.StatusOK)
	}
}

// Guards against traffic that stops when the table service is down, and against a host that continues to serve although it
// is cut off from the table service and from all other hosts.
func TestProveTableServiceDown(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{true}})
	setFault(t, f.tableService.address(), fault.Faults{Down: true})
	time.Sleep(4 * time.Second) // longer than the freshness window
	for host := range f.hosts {
		c.Assert(f.chat(host, f.keys["yards"], "table service is down", 5).status, qt.Equals, http.StatusOK)
		response := f.stamp(host, "down-1", "{}")
		c.Assert(response.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%+v", response))
		c.Assert(response.run, qt.Equals, "no")
	}
	f.hosts[0].Pause()
	f.hosts[1].Pause()
	time.Sleep(4 * time.Second)
	response := f.chat(2, f.keys["yards"], "alone", 5)
	c.Assert(response.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%+v", response))
	c.Assert(response.run, qt.Equals, "no")
	c.Assert(response.body, qt.Contains, "host_not_current")
	f.hosts[0].Resume()
	f.hosts[1].Resume()
	f.eventually("hosts serve again", func() bool {
		return f.chat(2, f.keys["yards"], "again", 5).status == http.StatusOK
	})
	setFault(t, f.tableService.address(), fault.Faults{})
	f.eventually("stamps work again", func() bool { return f.stamp(1, "down-1", "{}").status == http.StatusOK })
	c.Assert(f.executions("down-1"), qt.Equals, 1)
}

// Guards against a fleet to which no new host can be added while the table service is down.
func TestProveJoinWithoutTableService(t *testing.T) {
	c := qt.New(t)
	l := layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{true}}
	f := newFleet(t, l)
	var list []string
	for _, h := range f.hosts {
		list = append(list, `{"name": "host", "address": "`+h.word("peers")+`", "state": "live"}`)
	}
	f.putJSON(f.hostList.address(), "/v1/hosts", "["+strings.Join(list, ",")+"]")
	setFault(t, f.tableService.address(), fault.Faults{Down: true})
	f.addHost(l, 3)
	f.eventually("the new host serves", func() bool {
		return f.chat(3, f.keys["yards"], "joined", 5).status == http.StatusOK
	})
	setFault(t, f.tableService.address(), fault.Faults{})
	f.eventually("the new host is a member", func() bool {
		status, err := f.operatorClients[0].Status(context.Background())
		return err == nil && len(status.Members) == 4
	})
	c.Assert(f.chat(3, f.keys["yards"], "member", 5).status, qt.Equals, http.StatusOK)
}

// Guards against an API key that is forwarded to an endpoint in a header, the path, the query or the body of a request.
func TestProveNoKeyAtEndpoints(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true}})
	key := f.keys["yards"]
	places := map[string]struct {
		path, body string
		header     map[string]string
		status     int
	}{
		"header":    {"/tags/1", "", map[string]string{"X-Api-Key": key, "Api-Key": key, "Proxy-Authorization": "Bearer " + key}, http.StatusOK},
		"cookie":    {"/tags/2", "", map[string]string{"Cookie": "key=" + key}, http.StatusOK},
		"referer":   {"/tags/3", "", map[string]string{"Referer": "http://x/?key=" + key, "User-Agent": key}, http.StatusOK},
		"query":     {"/tags/4?api_key=" + key, "", nil, http.StatusBadRequest},
		"path":      {"/tags/" + key, "", nil, http.StatusBadRequest},
		"body":      {"/tags/5", `{"key": "` + key + `"}`, nil, http.StatusBadRequest},
		"other key": {"/tags/6?token=" + f.keys["small"], "", nil, http.StatusBadRequest},
		"allowed":   {"/tags/7", "", map[string]string{"Accept": key}, http.StatusBadRequest},
	}
	for name, place := range places {
		c.Run(name, func(c *qt.C) {
			response := f.ask(0, http.MethodGet, place.path, key, place.body, place.header)
			c.Check(response.status, qt.Equals, place.status, qt.Commentf("%+v", response))
		})
	}
	f.chat(0, key, "no key here", 3)
	for _, endpoint := range append(f.services, f.engines...) {
		for _, path := range []string{"/debug/headers", "/debug/requests"} {
			var seen any
			if response, err := http.Get("http://" + endpoint.address() + path); err == nil {
				if json.NewDecoder(response.Body).Decode(&seen) == nil {
					data, _ := json.Marshal(seen)
					c.Assert(string(data), qt.Not(qt.Contains), key)
				}
				response.Body.Close()
			}
		}
	}
	c.Assert(f.hosts[0].Log(), qt.Not(qt.Contains), key)
}
