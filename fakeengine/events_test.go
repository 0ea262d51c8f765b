package fakeengine_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fakeengine"
	"magnoliahoist/fakeweights"
	"magnoliahoist/fault"
)

// Guards against a lost cache event that leaves no gap in the numbers.
func TestEvents(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{})
	const body = `{"model":"m","prompt":"p","max_tokens":1}`
	e.send("/v1/completions", body)
	e.Faults.Replace(fault.Faults{LoseEvent: 1})
	e.send("/v1/completions", body)
	e.send("/v1/completions", body)
	response, err := http.Get(e.url + "/v2/cache/events?after=0")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var ids []string
	for scanner := bufio.NewScanner(response.Body); len(ids) < 2 && scanner.Scan(); {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	c.Assert(ids, qt.DeepEquals, []string{"1", "3"})
}

// Guards against a model that becomes resident although its weights could not be fetched.
func TestWeights(t *testing.T) {
	c := qt.New(t)
	store := fakeweights.New(fakeweights.Settings{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	defer store.Stop()
	e := startEngine(t, fakeengine.Settings{WeightStore: server.URL})
	c.Assert(e.sendOrder("load", "n", "1", 1, 1, 10), qt.Equals, http.StatusOK)
	c.Assert(store.LoadCounts().ModelLoads, qt.Equals, int64(1))
	store.Faults.Replace(fault.Faults{Down: true})
	c.Assert(e.sendOrder("load", "o", "2", 1, 2, 10), qt.Equals, http.StatusBadGateway)
	c.Assert(e.MemoryUsage().Used, qt.Equals, int64(60))
	c.Assert(e.LoadReport().OrderResults, qt.DeepEquals, []fakeengine.OrderResult{{OrderID: "1", Result: "done"}, {OrderID: "2", Result: "failed"}})
}
