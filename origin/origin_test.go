package origin_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/origin"
)

var (
	old   = origin.Version{Pool: "llm", Software: "v1"}
	newer = origin.Version{Pool: "llm", Software: "v2"}
	other = origin.Version{Pool: "app", Software: "v1"}
)

// TestLedger guards against streams that are forgotten while their callers may take them up, and against a ledger that grows without end.
func TestLedger(t *testing.T) {
	l := origin.NewLedger()
	l.Begin(0, origin.KeyOf("a"), old)
	l.Begin(time.Second, origin.KeyOf("b"), newer)
	l.Begin(time.Second, origin.KeyOf("c"), newer)
	got, known := l.Find(origin.KeyOf("a"))
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, got, qt.Equals, old)
	l.Begin(origin.Retention+500*time.Millisecond, origin.KeyOf("d"), old)
	_, known = l.Find(origin.KeyOf("a"))
	qt.Check(t, known, qt.IsFalse)
	_, known = l.Find(origin.KeyOf("b"))
	qt.Check(t, known, qt.IsTrue)
	for n := range 30000 {
		l.Begin(2*origin.Retention, origin.KeyOf(fmt.Sprint(n)), old)
	}
	kept := 0
	for n := range 30000 {
		if _, known = l.Find(origin.KeyOf(fmt.Sprint(n))); known {
			kept++
		}
	}
	qt.Check(t, kept, qt.Equals, 20000)
	_, known = l.Find(origin.KeyOf("29999"))
	qt.Check(t, known, qt.IsTrue)
}

// TestService guards against a pool that counts as having one version although streams of another one may still be taken up, also after
// a restart of the process.
func TestService(t *testing.T) {
	const now = time.Hour
	for name, test := range map[string]struct {
		play func(s *origin.Service)
		only bool
	}{
		"one version": {func(s *origin.Service) { s.Observe(now, map[origin.Version]bool{old: true, other: true}) }, true},
		"two versions": {func(s *origin.Service) {
			s.Observe(now, map[origin.Version]bool{old: true, newer: true})
		}, false},
		"other version has just left": {func(s *origin.Service) {
			s.Observe(now-time.Hour, map[origin.Version]bool{old: true, newer: true})
			s.Observe(now-origin.Retention, map[origin.Version]bool{newer: true})
		}, false},
		"other version left long ago": {func(s *origin.Service) {
			s.Observe(now-time.Hour, map[origin.Version]bool{old: true, newer: true})
			s.Observe(now-origin.Retention-1, map[origin.Version]bool{newer: true})
		}, true},
		"other version came back": {func(s *origin.Service) {
			s.Observe(now-time.Hour, map[origin.Version]bool{old: true, newer: true})
			s.Observe(now-time.Minute, map[origin.Version]bool{newer: true})
			s.Observe(now, map[origin.Version]bool{old: true})
		}, false},
		"recalled after a restart": {func(s *origin.Service) {
			s.Observe(now, map[origin.Version]bool{newer: true})
			s.Recall(now, []origin.Sighting{{Version: old, Age: 20 * time.Second}})
		}, false},
		"recalled too late": {func(s *origin.Service) {
			s.Observe(now, map[origin.Version]bool{newer: true})
			s.Recall(now, []origin.Sighting{{Version: old, Age: 2 * origin.Retention}})
		}, true},
		"recalled and present": {func(s *origin.Service) {
			s.Observe(now, map[origin.Version]bool{newer: true})
			s.Recall(now, []origin.Sighting{{Version: newer, Age: 20 * time.Second}})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := origin.NewService()
			test.play(s)
			_, only := s.Only(now, "llm")
			qt.Check(t, only, qt.Equals, test.only)
			mixed := 0
			for _, seen := range s.Mixed(now) {
				if seen.Version.Pool == "llm" {
					mixed++
				}
			}
			qt.Check(t, mixed >= 2, qt.Equals, !test.only)
		})
	}
}

// TestBase guards against hosts that choose different bases from the same endpoints.
func TestBase(t *testing.T) {
	for name, test := range map[string]struct {
		endpoints map[string]int
		want      origin.Base
		possible  bool
	}{
		"no endpoints":   {nil, origin.Base{}, false},
		"one version":    {map[string]int{"v1": 1}, origin.Base{Software: "v1", Term: 4}, true},
		"most endpoints": {map[string]int{"v1": 1, "v2": 3, "v3": 2}, origin.Base{Software: "v2", Term: 4}, true},
		"as many":        {map[string]int{"v3": 2, "v2": 2, "v1": 1}, origin.Base{Software: "v2", Term: 4}, true},
	} {
		t.Run(name, func(t *testing.T) {
			next, possible := origin.Base{Software: "v0", Term: 3}.Next(test.endpoints)
			qt.Check(t, possible, qt.Equals, test.possible)
			qt.Check(t, next, qt.Equals, test.want)
		})
	}
}
