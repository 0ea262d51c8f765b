package cli_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// tableDocuments returns the JSON of a routes table with a route to each of the models that routes names, and of a pools
// table with the models that models names. Names are separated by spaces.
func tableDocuments(routes, models string) (string, string) {
	var r, m []string
	for name := range strings.FieldsSeq(routes) {
		r = append(r, fmt.Sprintf(`{"name": "r-%s", "kind": "model", "model": "%[1]s", "pool": "p", "accounts": ["a"], "tokens": 1}`, name))
	}
	for name := range strings.FieldsSeq(models) {
		m = append(m, fmt.Sprintf(`{"name": "%s", "version": "1", "memory": 1}`, name))
	}
	return fmt.Sprintf(`{"accounts": [{"name": "a", "rate": 1, "burst": 9}], "routes": [%s]}`, strings.Join(r, ",")),
		fmt.Sprintf(`{"pools": [{"name": "p", "kind": "model", "models": [%s], "endpoints": [
			{"name": "e", "address": "127.0.0.1:9101", "domain": "d", "memory": 9, "slots": 1}]}]}`, strings.Join(m, ","))
}

// Guards against an order of edits in which a route has no model between the two edits.
func TestApplyOrder(t *testing.T) {
	tests := map[string]struct {
		oldRoutes, oldModels, newRoutes, newModels string
		edits                                      []operator.Kind
		errs                                       string
	}{
		"add":     {"m1", "m1", "m1 m2", "m1 m2", []operator.Kind{operator.Pools, operator.Routes}, ""},
		"remove":  {"m1 m2", "m1 m2", "m1", "m1", []operator.Kind{operator.Routes, operator.Pools}, ""},
		"replace": {"m1", "m1", "m2", "m2", nil, "neither table fits"},
		"routes":  {"m1", "m1 m2", "m1 m2", "m1 m2", []operator.Kind{operator.Routes}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var err error
			f := &fakeBackend{}
			routes, pools := tableDocuments(test.oldRoutes, test.oldModels)
			f.routes, err = route.Parse([]byte(routes))
			c.Assert(err, qt.IsNil)
			f.pools, err = pool.Parse([]byte(pools))
			c.Assert(err, qt.IsNil)
			startServer(t, f)
			routes, pools = tableDocuments(test.newRoutes, test.newModels)
			directory := t.TempDir()
			c.Assert(os.WriteFile(filepath.Join(directory, "routes.json"), []byte(routes), 0o600), qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(directory, "pools.json"), []byte(pools), 0o600), qt.IsNil)
			status, _, errs := runCommand("apply", "--routes", filepath.Join(directory, "routes.json"), "--pools", filepath.Join(directory, "pools.json"))
			c.Check(status == 0, qt.Equals, test.errs == "")
			c.Check(errs, qt.Contains, test.errs)
			c.Check(f.edits, qt.DeepEquals, test.edits)
		})
	}
}
