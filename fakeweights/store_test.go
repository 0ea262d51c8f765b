package fakeweights

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against loads that are admitted earlier, or run faster, than the settings allow.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	s := New(Settings{ModelLoadRate: 2, FullSpeedModelLoads: 2, ModelLoadTime: time.Second, AdapterLoadTime: 10 * time.Millisecond, FullSpeedAdapterLoads: 1})
	defer s.Stop()
	now := time.Now()
	c.Assert([]time.Duration{s.admissionDelay(now), s.admissionDelay(now), s.admissionDelay(now.Add(2 * time.Second))}, qt.DeepEquals,
		[]time.Duration{0, 500 * time.Millisecond, 0})
	c.Assert([]time.Duration{s.startLoad(false), s.startLoad(false), s.startLoad(false)}, qt.DeepEquals,
		[]time.Duration{time.Second, time.Second, 1500 * time.Millisecond})
	c.Assert([]time.Duration{s.startLoad(true), s.startLoad(true)}, qt.DeepEquals,
		[]time.Duration{10 * time.Millisecond, 20 * time.Millisecond})
	c.Assert(s.LoadCounts(), qt.Equals, LoadCounts{PeakModelLoads: 3, PeakAdapterLoads: 2})
}
