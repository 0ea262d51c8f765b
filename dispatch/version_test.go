package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
)

// versionedEndpoints returns engines with the given software versions that hold the model m.
func versionedEndpoints(versions ...string) []directory.Endpoint {
	var list []directory.Endpoint
	for n, version := range versions {
		list = append(list, directory.Endpoint{
			ID: "e" + string(rune('1'+n)), Pool: engines, Address: "10.0.0.1:80", Domain: "near", Slots: 64, Software: version, Models: []directory.Model{{Name: "m"}},
		})
	}
	return list
}

// TestVersionOfStream guards against a stream that goes on at an engine of another software version than the one that sent its first
// event, and against streams without an event that are bound to a version.
func TestVersionOfStream(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string // of the engines besides that of the first attempt, which has v1
		started  bool
		want     string // version of the second attempt; empty if there is none
	}{
		"other version":              {[]string{"v2", "v2"}, true, ""},
		"other version, no event":    {[]string{"v2"}, false, "v2"},
		"same and other version":     {[]string{"v2", "v2", "v2", "v1"}, true, "v1"},
		"same version":               {[]string{"v1"}, true, "v1"},
		"registration has no number": {[]string{""}, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.apply(dispatch.EndpointsChanged{Endpoints: versionedEndpoints("v1")})
			number, effects := h.arrive("/free/1", generation(""))
			_, sent := findSend(effects)
			qt.Assert(t, sent, qt.IsTrue)
			h.apply(dispatch.EndpointsChanged{Endpoints: versionedEndpoints(append([]string{"v1"}, test.versions...)...)})
			if test.started {
				h.apply(dispatch.ResponseStarted{Number: number})
			}
			effects = h.finish(number, dispatch.ResponseLost)
			send, sent := findSend(effects)
			qt.Assert(t, sent, qt.Equals, test.want != "")
			if sent {
				qt.Check(t, send.Endpoint.Software, qt.Equals, test.want)
				return
			}
			refuse, refused := findRefusal(effects)
			qt.Assert(t, refused, qt.IsTrue)
			qt.Check(t, refuse.Ran, qt.Equals, dispatch.RanUnknown)
		})
	}
}

// TestVersionAfterRestart guards against a stream that is taken to be of the version of a later process under the same ID.
func TestVersionAfterRestart(t *testing.T) {
	h := newHarness(t)
	h.apply(dispatch.EndpointsChanged{Endpoints: versionedEndpoints("v1")})
	number, _ := h.arrive("/free/1", generation(""))
	h.apply(dispatch.EndpointsChanged{Endpoints: versionedEndpoints("v2", "v1", "v2")})
	h.apply(dispatch.ResponseStarted{Number: number})
	send, sent := findSend(h.finish(number, dispatch.ResponseLost))
	qt.Assert(t, sent, qt.IsTrue)
	qt.Check(t, send.Endpoint.ID, qt.Equals, "e2")
}
