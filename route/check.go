package route

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"magnoliahoist/document"
)

// Upper bounds of amounts. Sums over a table can't overflow within them.
const (
	maxRate  = 1e12    // tokens per second
	maxBurst = 1 << 40 // tokens
)

// reservedPrefix is the prefix of the paths by which callers reach models; no service may have a prefix under it.
const reservedPrefix = "/v1/"

// prefixPattern matches a path of segments that neither start with a dot nor are empty, with a slash at both ends.
var prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9_-][A-Za-z0-9._-]*)+/$`)

// Parse decodes and checks a routes table. The error is of type document.Problems.
func Parse(data []byte) (Table, error) {
	var t Table
	if err := document.Decode(data, &t); err != nil {
		return Table{}, err
	}
	if err := t.Check(); err != nil {
		return Table{}, err
	}
	return t, nil
}

// Check reports all problems of the table. References to pools, models and adapters are not checked; see pool.CheckRoutes.
// The error is of type document.Problems.
func (t Table) Check() error {
	var c document.Checker
	c.Require(len(t.Accounts) > 0, "accounts", "an empty list", "at least one account")
	c.Require(len(t.Routes) > 0, "routes", "an empty list", "at least one route")
	accountNames := t.checkAccounts(&c)
	names := map[string]bool{}
	for i, r := range t.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.Require(document.ValidName(r.Name), path+".name", r.Name, document.AllowedName)
		c.Require(!names[r.Name], path+".name", r.Name, "a name that no other route has")
		names[r.Name] = true
		r.check(&c, path)
		r.checkAccounts(&c, path, accountNames)
	}
	t.checkPrefixes(&c)
	return c.Err()
}

// checkAccounts checks the accounts and returns the set of their names.
func (t Table) checkAccounts(c *document.Checker) map[string]bool {
	accountNames := map[string]bool{}
	for i, a := range t.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		c.Require(document.ValidName(a.Name), path+".name", a.Name, document.AllowedName)
		c.Require(!accountNames[a.Name], path+".name", a.Name, "a name that no other account has")
		c.Require(a.Rate > 0 && a.Rate <= maxRate, path+".rate", a.Rate, fmt.Sprintf("more than 0 and at most %g tokens a second", float64(maxRate)))
		c.Require(a.Burst > 0 && a.Burst <= maxBurst, path+".burst", a.Burst, fmt.Sprintf("1 to %d tokens", int64(maxBurst)))
		minimumCost, routeName := t.maxMinimumCost(a.Name)
		c.Require(a.Burst >= minimumCost, path+".burst", a.Burst, fmt.Sprintf("at least %d tokens, the cost of a call of route %q", minimumCost, routeName))
		accountNames[a.Name] = true
	}
	return accountNames
}

// maxMinimumCost returns the largest minimum cost of a call over the routes of an account, and the route that has it. An account with
// a smaller burst could not pay for any call of that route.
func (t Table) maxMinimumCost(accountName string) (cost int64, routeName string) {
	for _, r := range t.Routes {
		if r.Account != accountName && !slices.Contains(r.Accounts, accountName) {
			continue
		}
		if r.MinimumCost() > cost {
			cost, routeName = r.MinimumCost(), r.Name
		}
	}
	return cost, routeName
}

// MinimumCost returns the tokens that are charged for a call with the shortest prompt before it is sent. A prompt has at least one token.
func (r Route) MinimumCost() int64 {
	if r.Kind == Model {
		return min(r.Tokens, maxBurst) + 1
	}
	return r.Tokens
}

func (r Route) check(c *document.Checker, path string) {
	c.Require(document.ValidName(r.Pool), path+".pool", r.Pool, "the name of a pool")
	c.Require(r.MaxWait >= 0, path+".wait", r.MaxWait, "0s or more")
	c.Require(r.Tokens >= 0 && r.Tokens <= maxBurst, path+".tokens", r.Tokens, fmt.Sprintf("0 to %d tokens", int64(maxBurst)))
	switch r.Kind {
	case Model:
		c.Require(document.ValidName(r.Model), path+".model", r.Model, "the name of a model")
		c.Require(r.Adapter == "" || document.ValidName(r.Adapter), path+".adapter", r.Adapter, "the name of an adapter")
		c.Require(r.Version == "" || document.ValidName(r.Version), path+".version", r.Version, "the version of a model")
		c.Require(r.Tokens != 0, path+".tokens", r.Tokens, "1 or more on a route of kind model")
		c.Require(r.Prefix == "", path+".prefix", r.Prefix, "no prefix on a route of kind model")
		c.Require(r.Calls == Plain, path+".calls", r.Calls.String(), "no calls on a route of kind model")
	case Service:
		c.Require(r.Model == "", path+".model", r.Model, "no model on a route of kind service")
		c.Require(r.Adapter == "", path+".adapter", r.Adapter, "no adapter on a route of kind service")
		c.Require(r.Version == "", path+".version", r.Version, "no version on a route of kind service")
		c.Require(prefixPattern.MatchString(r.Prefix), path+".prefix", r.Prefix, "a path such as /tags/ that begins and ends with a slash")
	}
}

func (r Route) checkAccounts(c *document.Checker, path string, accountNames map[string]bool) {
	if r.Open {
		c.Require(len(r.Accounts) == 0, path+".accounts", r.Accounts, "no accounts on an open route")
		c.Require(accountNames[r.Account], path+".account", r.Account, "an account of the table, under which the open route is counted")
		return
	}
	c.Require(r.Account == "", path+".account", r.Account, "no account on a route that is not open")
	c.Require(len(r.Accounts) > 0, path+".accounts", "an empty list", "at least one account, or open")
	seen := map[string]bool{}
	for i, name := range r.Accounts {
		elementPath := fmt.Sprintf("%s.accounts[%d]", path, i)
		c.Require(accountNames[name], elementPath, name, "an account of the table")
		c.Require(!seen[name], elementPath, name, "each account once")
		seen[name] = true
	}
}

func (t Table) checkPrefixes(c *document.Checker) {
	for i, r := range t.Routes {
		if r.Kind != Service || r.Prefix == "" {
			continue
		}
		path := fmt.Sprintf("routes[%d].prefix", i)
		c.Require(!overlaps(r.Prefix, reservedPrefix), path, r.Prefix, "a prefix outside "+reservedPrefix)
		for _, other := range t.Routes[:i] {
			if other.Kind == Service && other.Prefix != "" && overlaps(r.Prefix, other.Prefix) {
				c.Require(false, path, r.Prefix, fmt.Sprintf("a prefix that doesn't overlap %s of route %q", other.Prefix, other.Name))
			}
		}
	}
}

func overlaps(a, b string) bool {
	return strings.HasPrefix(a, b) || strings.HasPrefix(b, a)
}
