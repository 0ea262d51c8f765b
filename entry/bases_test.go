package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/origin"
)

// TestBaseOutlivesHosts guards against a stream that goes on at another version after all hosts were killed, because no host has lived to
// see both versions: the one that began it has left before the hosts started again. It guards against refusing all streams after that, too.
func TestBaseOutlivesHosts(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string // after the restart
		refusal  bool
	}{
		"version is still there": {[]string{"v1"}, false},
		"version has left":       {[]string{"v2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, store := startStore(t)
			before := startAgain("a", store, "v1")
			before.keepBases(t.Context())
			after := startAgain("a", store, test.versions...)
			qt.Check(t, after.taken(t, "s1") == "", qt.Equals, test.refusal)
		})
	}
}

// TestBaseChanges guards against a base that changes while streams of it may be taken up, against one that stays for good after its version
// has left, and against hosts that disagree on it.
func TestBaseChanges(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		absent   time.Duration
		holds    bool
		want     string
		trusted  bool
	}{
		"in service":                 {[]string{"v1", "v2", "v2"}, 0, true, "v1", true},
		"has just left":              {[]string{"v2"}, baseTrust / 2, true, "v1", true},
		"not trusted, not changed":   {[]string{"v2"}, origin.Retention - time.Second, true, "v1", false},
		"left long ago":              {[]string{"v2"}, origin.Retention + time.Second, true, "v2", true},
		"left long ago, no lease":    {[]string{"v2"}, origin.Retention + time.Second, false, "v1", false},
		"back before it was changed": {[]string{"v1", "v2", "v2"}, origin.Retention + time.Second, true, "v1", true},
	} {
		t.Run(name, func(t *testing.T) {
			_, store := startStore(t)
			h := startAgain("a", store, "v1")
			h.keepBases(t.Context())
			if test.holds {
				h.holdings["llm"] = &holding{}
			}
			h.setVersions(test.versions...)
			h.createdAt -= test.absent
			h.bases.nextRead = 0
			h.keepBases(t.Context())
			other := startAgain("b", store, test.versions...)
			other.keepBases(t.Context())
			for _, host := range []*Host{h, other} {
				host.mu.Lock()
				base, _ := host.bases.Base(host.Now(), "llm")
				host.mu.Unlock()
				qt.Check(t, base.Software, qt.Equals, test.want)
			}
			_, trusted := h.bases.Base(h.Now(), "llm")
			qt.Check(t, trusted, qt.Equals, test.trusted)
		})
	}
}

// TestBaseAfterRestoration guards against hosts that disagree on a base, because the store has lost its row or has an older one.
func TestBaseAfterRestoration(t *testing.T) {
	for name, keepsRow := range map[string]bool{"row is lost": false, "row is older": true} {
		t.Run(name, func(t *testing.T) {
			standin, store := startStore(t)
			backup := standin.Backup()
			h := startAgain("a", store, "v1")
			h.holdings["llm"] = &holding{}
			h.keepBases(t.Context())
			if keepsRow {
				backup = standin.Backup()
			}
			h.setVersions("v2")
			h.createdAt -= origin.Retention + time.Second
			h.bases.nextRead = 0
			h.keepBases(t.Context())
			standin.Restore(backup, 0)
			early := startAgain("c", store, "v1", "v1", "v2")
			early.keepBases(t.Context())
			qt.Check(t, early.taken(t, "s1"), qt.Equals, "")
			h.readOrigins(h.Now())
			h.bases.nextRead = 0
			h.keepBases(t.Context())
			other := startAgain("b", store, "v1", "v2")
			other.keepBases(t.Context())
			base, _ := other.bases.Base(other.Now(), "llm")
			qt.Check(t, base, qt.Equals, origin.Base{Software: "v2", Term: 2})
		})
	}
}
