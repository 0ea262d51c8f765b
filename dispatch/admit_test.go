package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/catalog"
	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
)

// TestAdmit guards against requests that are served without their route or key, and against refusing what is allowed.
func TestAdmit(t *testing.T) {
	for name, test := range map[string]struct {
		path string
		key  string
		cut  bool
		want dispatch.Reason
		sent bool
	}{
		"allowed":                 {path: "/stamp/1", key: key, sent: true},
		"no route":                {path: "/other/1", key: key, want: dispatch.UnknownRoute},
		"no key":                  {path: "/stamp/1", want: dispatch.UnknownKey},
		"unknown key":             {path: "/stamp/1", key: "withdrawn", want: dispatch.UnknownKey},
		"open without key":        {path: "/open/1", sent: true},
		"cut off":                 {path: "/stamp/1", key: key, cut: true, want: dispatch.CutOff},
		"cut off, without a key":  {path: "/open/1", cut: true, sent: true},
		"no route while cut off":  {path: "/other/1", cut: true, want: dispatch.UnknownRoute},
		"key of another on route": {path: "/open/1", key: "withdrawn", sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			request := &intake.Request{ID: "r", Host: "h", Path: test.path, Key: catalog.DigestOf(test.key), HasKey: test.key != "", Work: intake.Call{}}
			effects := b.apply(dispatch.Arrive{Number: 1, Request: request, Cut: test.cut})
			send, sent := sendOf(effects)
			refuse, refused := refusalOf(effects)
			qt.Check(t, sent, qt.Equals, test.sent)
			qt.Check(t, refused, qt.Equals, !test.sent)
			if refused {
				qt.Check(t, refuse.Reason, qt.Equals, test.want)
				qt.Check(t, refuse.Ran, qt.Equals, dispatch.RanNo)
			}
			if sent && test.path == "/open/1" {
				qt.Check(t, send.Account, qt.Equals, "")
			}
		})
	}
}

// TestAdmitWithoutConfiguration guards against telling a caller that its route doesn't exist before any is known.
func TestAdmitWithoutConfiguration(t *testing.T) {
	state := dispatch.New(dispatch.Settings{})
	effects := state.Apply(0, dispatch.Arrive{Number: 1, Request: &intake.Request{ID: "r", Host: "h", Path: "/stamp/1"}})
	refuse, refused := refusalOf(effects)
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Reason, qt.Equals, dispatch.NotReady)
	qt.Check(t, state.Ready(), qt.IsFalse)
}

// TestConfigurationNeverReverts guards against an older version that comes after a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	b := newBench(t)
	newer := document(3)
	newer.Keys = map[catalog.Digest]string{}
	b.apply(dispatch.Configured{Catalog: catalog.New(newer)})
	b.apply(dispatch.Configured{Catalog: catalog.New(document(2))})
	_, effects := b.arrive("/stamp/1", intake.Call{})
	refuse, refused := refusalOf(effects)
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Reason, qt.Equals, dispatch.UnknownKey)
}

// TestAccountPriority guards against a route's priority that hides the account's.
func TestAccountPriority(t *testing.T) {
	b := newBench(t)
	ranked := document(2)
	ranked.Accounts[0].Priority, ranked.Accounts[0].Ranked = 2, true
	b.apply(dispatch.Configured{Catalog: catalog.New(ranked)})
	_, effects := b.arrive("/draft/1", generation(""))
	send, sent := sendOf(effects)
	qt.Assert(t, sent, qt.IsTrue)
	qt.Check(t, send.Urgency, qt.Equals, 5)
}

// TestDeadline guards against attempts that outlast the caller or the route.
func TestDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		patience, want time.Duration
	}{
		"caller's time":      {500 * time.Millisecond, 500 * time.Millisecond},
		"route's time":       {5 * time.Second, 800 * time.Millisecond},
		"caller states none": {0, 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			request := &intake.Request{ID: "r", Host: "h", Path: "/stamp/1", Key: catalog.DigestOf(key), HasKey: true, Work: intake.Call{}, Patience: test.patience}
			send, _ := sendOf(b.apply(dispatch.Arrive{Number: 1, Request: request}))
			qt.Check(t, send.Until-b.now, qt.Equals, test.want)
		})
	}
}
