package pool_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

const valid = `{"pools": [
 {"name": "inspection", "kind": "model",
  "models": [{"name": "m1", "version": "3", "memory": 50, "replicas": 2, "adapters": [{"name": "history", "version": "1", "memory": 10}]},
             {"name": "m2", "version": "1", "memory": 40}],
  "endpoints": [{"name": "fuk-1", "address": "127.0.0.1:9101", "domain": "fukuoka", "memory": 60, "slots": 16, "fenced": true},
                {"name": "fuk-2", "address": "127.0.0.1:9102", "domain": "fukuoka", "memory": 60, "slots": 16}]},
 {"name": "registry", "kind": "service", "endpoints": [{"name": "tag-1", "address": "127.0.0.1:9201", "domain": "fukuoka", "slots": 4}]}]}`

// Guards against a check that accepts an invalid table or reports the wrong field.
func TestParseProblems(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"empty":                        {valid, `{"pools": []}`, "pools: "},
		"duplicate pool":               {`"name": "registry"`, `"name": "inspection"`, `pools[1].name: "inspection"`},
		"duplicate model":              {`"name": "m2"`, `"name": "m1"`, `pools[0].models[1].name: "m1"`},
		"version":                      {`"version": "3"`, `"version": ""`, `pools[0].models[0].version: ""`},
		"replicas":                     {`"replicas": 2`, `"replicas": 3`, `pools[0].models[0].replicas: 3`},
		"host name":                    {`127.0.0.1:9101`, `localhost:9101`, `pools[0].endpoints[0].address: "localhost:9101"`},
		"no port":                      {`127.0.0.1:9101`, `127.0.0.1`, `pools[0].endpoints[0].address: "127.0.0.1"`},
		"duplicate address":            {`127.0.0.1:9201`, `[::ffff:127.0.0.1]:9101`, `pools[1].endpoints[0].address: "[::ffff:127.0.0.1]:9101"`},
		"duplicate endpoint":           {`"name": "tag-1"`, `"name": "fuk-1"`, `pools[1].endpoints[0].name: "fuk-1"`},
		"slots":                        {`"slots": 4`, `"slots": 0`, `pools[1].endpoints[0].slots: 0`},
		"service memory":               {`"slots": 4`, `"slots": 4, "memory": 1`, `pools[1].endpoints[0].memory: 1`},
		"service with model":           {`"kind": "service"`, `"kind": "service", "models": [{"name": "m", "version": "1", "memory": 1}]`, `pools[1].models`},
		"endpoint below largest model": {`"memory": 60`, `"memory": 59`, `pools[0].endpoints[0].memory: 59 is not allowed: at least 60 bytes`},
		"all models together":          {`"memory": 40}`, `"memory": 40}, {"name": "m3", "version": "1", "memory": 40}`, `there is no room for "m3"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data := strings.Replace(valid, test.old, test.new, 1)
			c.Assert(data, qt.Not(qt.Equals), valid)
			_, err := pool.Parse([]byte(data))
			var problems document.Problems
			c.Assert(errors.As(err, &problems), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err.Error(), qt.Contains, test.want)
		})
	}
}

// Guards against accepting routes to pools, models, adapters or versions that don't exist.
func TestCheckRoutes(t *testing.T) {
	pools, err := pool.Parse([]byte(valid))
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		route route.Route
		want  string
	}{
		"valid":   {route.Route{Pool: "inspection", Model: "m1", Adapter: "history", Version: "3"}, ""},
		"pool":    {route.Route{Pool: "nowhere"}, `routes[0].pool: "nowhere" .*`},
		"kind":    {route.Route{Pool: "registry"}, `routes[0].pool: "registry" .* kind model`},
		"model":   {route.Route{Pool: "inspection", Model: "m9"}, `routes[0].model: "m9" .*`},
		"adapter": {route.Route{Pool: "inspection", Model: "m2", Adapter: "history"}, `routes[0].adapter: "history" .*`},
		"version": {route.Route{Pool: "inspection", Model: "m1", Version: "2"}, `routes[0].version: "2" .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := pool.CheckRoutes(route.Table{Routes: []route.Route{test.route}}, pools)
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			want := strings.NewReplacer("[", `\[`, "]", `\]`).Replace(test.want)
			qt.Assert(t, err, qt.ErrorMatches, want)
		})
	}
}

// Guards against panics, and against parsing tables that don't pass Check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	if data, err := os.ReadFile("../contrib/kyushu/pools.json"); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := pool.Parse(data)
		if err == nil {
			qt.Assert(t, table.Check(), qt.IsNil)
		}
	})
}
