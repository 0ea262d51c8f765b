package bench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/account"
	"magnoliahoist/document"
	"magnoliahoist/route"
)

// TestExcess guards against missing an excess in a short interval of a long run.
func TestExcess(t *testing.T) {
	cases := map[string]struct {
		usages []usage
		want   float64
	}{
		"within the limit":                    {[]usage{{0, 100}, {time.Second, 10}}, 0},
		"first request above the burst":       {[]usage{{0, 101}}, 1},
		"above the limit in a short interval": {[]usage{{0, 1}, {time.Hour, 60}, {time.Hour + time.Second, 55}, {2 * time.Hour, 1}}, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMeter(account.Account{Rate: 10, Burst: 100})
			m.usages = c.usages
			qt.Assert(t, m.excessTokens(), qt.Equals, c.want)
		})
	}
}

// TestReference guards against a reference bucket that refuses requests within the rate or admits requests above it.
func TestReference(t *testing.T) {
	r := &run{input: Input{Length: 10 * time.Second}}
	r.Routes = route.Table{
		Accounts: []account.Account{{Name: "a", Rate: 506, Burst: 1012}, {Name: "b", Rate: 1, Burst: 506}},
		Routes:   []route.Route{{Name: "m", Tokens: 256}},
	}
	var arrivals []arrival
	for n := range 4 {
		for account := range 2 {
			arrivals = append(arrivals, arrival{at: warmUp + time.Duration(n)*time.Second, account: account, outputTokens: maxOutputTokens})
		}
	}
	r.Routes.Routes[0].MaxWait = document.Duration(time.Second / 2)
	refused, served := r.referenceOutcome(0, arrivals)
	qt.Assert(t, refused, qt.Equals, 0)
	qt.Assert(t, served, qt.Equals, int64(4*500))
	refused, served = r.referenceOutcome(1, arrivals) // at one token per second, the warm-up of a minute does not fill the bucket
	qt.Assert(t, refused, qt.Equals, 4)
	qt.Assert(t, servedFraction(served, served), qt.Equals, 1.0)
}

// TestJain guards against a fairness index that depends on the scale of the values or ignores an account that was not served.
func TestJain(t *testing.T) {
	qt.Assert(t, jainIndex([]float64{3, 3, 3}), qt.Equals, 1.0)
	qt.Assert(t, jainIndex([]float64{1, 0, 0, 0}), qt.Equals, 0.25)
}
