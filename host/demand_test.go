package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against demand that does not follow what is used, or stays after use has ended.
func TestMeter(t *testing.T) {
	m := &meter{used: map[string]int64{}, rates: map[string]float64{}}
	used, now := int64(0), time.Duration(0)
	advance := func(rate int64) {
		now += time.Second
		used += rate
		m.advance(now, map[string]int64{"m": used})
	}
	for range 30 {
		advance(100)
		m.advance(now+time.Millisecond, map[string]int64{"m": used + 1000}) // too soon to be a rate
	}
	qt.Assert(t, m.rates["m"] > 99 && m.rates["m"] < 101, qt.IsTrue, qt.Commentf("%v", m.rates))
	for range 30 {
		advance(0)
	}
	qt.Assert(t, m.rates["m"] < 1, qt.IsTrue, qt.Commentf("%v", m.rates))
}
