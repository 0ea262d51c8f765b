package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/catalog"
)

func newCatalog() *catalog.Catalog {
	return catalog.New(catalog.Document{
		Version:   4,
		Accounts:  []catalog.Account{{Name: "yards", CountsTokens: true, DefaultTokens: 200, Rate: 100, Burst: 50}, {Name: "gyms"}},
		KeyOwners: map[catalog.Digest]string{catalog.DigestOf("k1"): "yards", catalog.DigestOf("stray"): "nobody"},
		Routes: []catalog.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "A.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
	})
}

// TestRouteFor guards against a shorter prefix that takes precedence over a longer one, and against routes of another host.
func TestRouteFor(t *testing.T) {
	c := newCatalog()
	for name, test := range map[string]struct {
		host, path, want string
	}{
		"longest prefix":     {"a.example", "/x/y/z", "long"},
		"shorter prefix":     {"a.example", "/x/z", "short"},
		"host in other case": {"A.EXAMPLE", "/x/y/", "long"},
		"other host":         {"b.example", "/x/y/", "other"},
		"no slash at end":    {"a.example", "/x", ""},
		"unknown host":       {"c.example", "/x/", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, known := c.RouteFor(test.host, test.path)
			qt.Check(t, r.Name, qt.Equals, test.want)
			qt.Check(t, known, qt.Equals, test.want != "")
		})
	}
}

// TestAccountByKey guards against accepting a key that was not issued, or whose account doesn't exist.
func TestAccountByKey(t *testing.T) {
	c := newCatalog()
	for name, test := range map[string]struct{ key, want string }{
		"issued":          {"k1", "yards"},
		"unknown":         {"k2", ""},
		"unknown account": {"stray", ""},
		"empty":           {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			a, issued := c.AccountByKey(catalog.DigestOf(test.key))
			qt.Check(t, a.Name, qt.Equals, test.want)
			qt.Check(t, issued, qt.Equals, test.want != "")
		})
	}
}

// TestCost guards against requests that cost nothing because they state no number of tokens.
func TestCost(t *testing.T) {
	for name, test := range map[string]struct {
		account catalog.Account
		tokens  int64
		want    int64
	}{
		"stated":          {catalog.Account{CountsTokens: true, DefaultTokens: 200}, 1500, 1500},
		"not stated":      {catalog.Account{CountsTokens: true, DefaultTokens: 200}, 0, 200},
		"no default cost": {catalog.Account{CountsTokens: true}, 0, 1},
		"by requests":     {catalog.Account{}, 1500, 1},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, test.account.Cost(test.tokens), qt.Equals, test.want) })
	}
}

// TestPoolFor guards against requests that are assigned to a pool of weight 0, or to none.
func TestPoolFor(t *testing.T) {
	split := catalog.Route{Pools: []catalog.WeightedPool{{Pool: "a", Weight: 90}, {Pool: "none", Weight: 0}, {Pool: "b", Weight: 10}}}
	for name, test := range map[string]struct {
		route catalog.Route
		point float64
		want  string
	}{
		"start":       {split, 0, "a"},
		"below split": {split, 0.89, "a"},
		"above split": {split, 0.91, "b"},
		"end":         {split, 0.999999, "b"},
		"no shares":   {catalog.Route{}, 0.5, ""},
	} {
		t.Run(name, func(t *testing.T) {
			pool, _ := test.route.PoolFor(test.point)
			qt.Check(t, pool, qt.Equals, test.want)
		})
	}
}

// TestRepeatable guards against running a stream twice although its route doesn't allow resuming.
func TestRepeatable(t *testing.T) {
	for name, test := range map[string]struct {
		route catalog.Route
		want  bool
	}{
		"idempotent":     {catalog.Route{Repeat: catalog.Idempotent}, true},
		"once":           {catalog.Route{Repeat: catalog.AtMostOnce}, false},
		"stream":         {catalog.Route{Repeat: catalog.AtMostOnce, Stream: true}, false},
		"resumed stream": {catalog.Route{Repeat: catalog.AtMostOnce, Stream: true, Resumable: true}, true},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, test.route.Retryable(), qt.Equals, test.want) })
	}
}
