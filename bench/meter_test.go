package bench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/account"
	"magnoliahoist/document"
	"magnoliahoist/route"
)

// Guards against an excess that hides in a short interval of a long run.
func TestExcess(t *testing.T) {
	cases := map[string]struct {
		spends []spend
		want   float64
	}{
		"within":         {[]spend{{0, 100}, {time.Second, 10}}, 0},
		"above at once":  {[]spend{{0, 101}}, 1},
		"short interval": {[]spend{{0, 1}, {time.Hour, 60}, {time.Hour + time.Second, 55}, {2 * time.Hour, 1}}, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMeter(account.Account{Rate: 10, Burst: 100})
			m.spends = c.spends
			qt.Assert(t, m.excess(), qt.Equals, c.want)
		})
	}
}

// Guards against a reference that refuses within the rate, or that does not refuse above it.
func TestReference(t *testing.T) {
	r := &run{input: Input{Length: 10 * time.Second}}
	r.Routes = route.Table{
		Accounts: []account.Account{{Name: "a", Rate: 506, Burst: 1012}, {Name: "b", Rate: 1, Burst: 506}},
		Routes:   []route.Route{{Name: "m", Tokens: 256}},
	}
	var list []arrival
	for n := range 4 {
		for account := range 2 {
			list = append(list, arrival{at: warm + time.Duration(n)*time.Second, account: account, answer: answerMost})
		}
	}
	r.Routes.Routes[0].Wait = document.Duration(time.Second / 2)
	refused, served := r.reference(0, list)
	qt.Assert(t, refused, qt.Equals, 0)
	qt.Assert(t, served, qt.Equals, int64(4*500))
	refused, served = r.reference(1, list) // the bucket is not full after the warm-up
	qt.Assert(t, refused, qt.Equals, 4)
	qt.Assert(t, share(served, served), qt.Equals, 1.0)
}

// Guards against an index that depends on the scale or ignores an account without service.
func TestJain(t *testing.T) {
	qt.Assert(t, jain([]float64{3, 3, 3}), qt.Equals, 1.0)
	qt.Assert(t, jain([]float64{1, 0, 0, 0}), qt.Equals, 0.25)
}
