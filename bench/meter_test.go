package bench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/account"
	"magnoliahoist/state"
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

// Guards against refusals that are counted as wrongful while the account has used up its allowance, and the reverse.
func TestWrongful(t *testing.T) {
	m := newMeter(account.Account{Rate: 10, Burst: 100})
	m.take(0, 80)
	m.refuse(0, 30, state.RateLimited)
	qt.Assert(t, m.wrong, qt.Equals, 0)
	m.refuse(time.Second, 30, state.RateLimited)
	qt.Assert(t, m.wrong, qt.Equals, 1)
	m.settle(time.Second, 0, 80, 20)
	m.refuse(time.Second, 90, state.Overloaded)
	qt.Assert(t, m.wrong, qt.Equals, 2)
	qt.Assert(t, m.refused, qt.Equals, 3)
}

// Guards against an entitlement that exceeds the demand or the allowance.
func TestShare(t *testing.T) {
	m := newMeter(account.Account{Rate: 10, Burst: 100})
	m.arrive(50)
	m.served = 50
	qt.Assert(t, m.share(time.Second), qt.Equals, 1.0)
	m.arrive(1000)
	qt.Assert(t, m.share(10*time.Second), qt.Equals, 0.25)
}

// Guards against an index that depends on the scale or ignores an account without service.
func TestJain(t *testing.T) {
	qt.Assert(t, jain([]float64{3, 3, 3}), qt.Equals, 1.0)
	qt.Assert(t, jain([]float64{1, 0, 0, 0}), qt.Equals, 0.25)
}
