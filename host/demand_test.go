package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMeter guards against rates that do not follow the tokens used, or that remain after use has ended.
func TestMeter(t *testing.T) {
	m := &rateMeter{totals: map[string]int64{}, rates: map[string]float64{}}
	used, now := int64(0), time.Duration(0)
	advance := func(rate int64) {
		now += time.Second
		used += rate
		m.update(now, map[string]int64{"m": used})
	}
	for range 30 {
		advance(100)
		m.update(now+time.Millisecond, map[string]int64{"m": used + 1000}) // less than minRateInterval after the last update
	}
	qt.Assert(t, m.rates["m"] > 99 && m.rates["m"] < 101, qt.IsTrue, qt.Commentf("%v", m.rates))
	for range 30 {
		advance(0)
	}
	qt.Assert(t, m.rates["m"] < 1, qt.IsTrue, qt.Commentf("%v", m.rates))
}
