package route_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/route"
)

const valid = `{"accounts": [{"name": "yards", "rate": 4000, "burst": 20000}],
 "routes": [
  {"name": "history", "kind": "model", "model": "inspect-7b", "pool": "inspection", "accounts": ["yards"], "tokens": 256, "wait": "2s"},
  {"name": "tags", "kind": "service", "prefix": "/tags/", "pool": "registry", "open": true, "account": "yards", "calls": "idempotent"}]}`

// Guards against a check that accepts an invalid table or reports the wrong field.
func TestParseProblems(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"empty":                {valid, `{"accounts": [], "routes": []}`, "routes: "},
		"kind":                 {`"kind": "model"`, `"kind": "modle"`, `routes[0].kind: "modle" is not allowed: model or service`},
		"calls":                {`"idempotent"`, `"twice"`, `routes[1].calls: "twice" is not allowed: plain, idempotent or once`},
		"name form":            {`"name": "history"`, `"name": "a/b"`, `routes[0].name: "a/b"`},
		"duplicate route name": {`"name": "tags"`, `"name": "history"`, `routes[1].name: "history"`},
		"rate":                 {`4000`, `0`, `accounts[0].rate: 0`},
		"burst negative":       {`20000`, `-1`, `accounts[0].burst: -1`},
		"burst below cost":     {`20000`, `256`, `accounts[0].burst: 256 is not allowed: at least 257 tokens`},
		"tokens overflow":      {`256`, `9223372036854775807`, `routes[0].tokens: 9223372036854775807`},
		"unknown account":      {`["yards"]`, `["yard"]`, `routes[0].accounts[0]: "yard"`},
		"no account":           {`["yards"]`, `[]`, `routes[0].accounts: `},
		"open without account": {`, "account": "yards"`, ``, `routes[1].account: ""`},
		"open with accounts":   {`"open": true`, `"open": true, "accounts": ["yards"]`, `routes[1].accounts: [yards]`},
		"prefix form":          {`/tags/`, `/tags`, `routes[1].prefix: "/tags"`},
		"prefix dots":          {`/tags/`, `/tags/../`, `routes[1].prefix: "/tags/../"`},
		"prefix reserved":      {`/tags/`, `/v1/tags/`, `routes[1].prefix: "/v1/tags/" is not allowed: a prefix outside /v1/`},
		"model with prefix":    {`"tokens": 256`, `"tokens": 256, "prefix": "/x/"`, `routes[0].prefix: "/x/"`},
		"service with model":   {`"prefix": "/tags/"`, `"prefix": "/tags/", "model": "m"`, `routes[1].model: "m"`},
		"model without model":  {`"model": "inspect-7b", `, ``, `routes[0].model: ""`},
		"wait":                 {`"2s"`, `"-2s"`, `routes[0].wait: -2s`},
		"prefix overlap": {`"calls": "idempotent"}`, `"calls": "idempotent"},
			{"name": "sub", "kind": "service", "prefix": "/tags/sub/", "pool": "registry", "accounts": ["yards"]}`, `routes[2].prefix: "/tags/sub/"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data := strings.Replace(valid, test.old, test.new, 1)
			c.Assert(data, qt.Not(qt.Equals), valid)
			_, err := route.Parse([]byte(data))
			var problems document.Problems
			c.Assert(errors.As(err, &problems), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err.Error(), qt.Contains, test.want)
		})
	}
	_, err := route.Parse([]byte(valid))
	qt.Assert(t, err, qt.IsNil)
}

// Guards against panics, and against parsing tables that don't pass Check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	if data, err := os.ReadFile("../contrib/kyushu/routes.json"); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := route.Parse(data)
		if err == nil {
			qt.Assert(t, table.Check(), qt.IsNil)
		}
	})
}
