package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
	"magnoliahoist/origin"
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

// TestVersionOfResumption guards against a stream that a caller takes up and that goes on at another software version, because the version
// is not known or has no endpoint, and against refusing it although there was only one version.
func TestVersionOfResumption(t *testing.T) {
	llm := func(software string) origin.Version { return origin.Version{Pool: engines, Software: software} }
	for name, test := range map[string]struct {
		path     string
		versions []string // of the engines
		recalled []origin.Sighting
		origin   dispatch.Origin
		want     string // version; empty if the request is refused
		reason   dispatch.Reason
	}{
		"known":                       {"/free/1", []string{"v2", "v2", "v1", "v2"}, nil, dispatch.Origin{Known: true, Version: llm("v1")}, "v1", 0},
		"known, no endpoint":          {"/free/1", []string{"v2"}, nil, dispatch.Origin{Known: true, Version: llm("v1"), Recalled: true}, "", dispatch.NoVersion},
		"known, other pool":           {"/free/1", []string{"v1"}, nil, dispatch.Origin{Known: true, Version: origin.Version{Pool: "none", Software: "v1"}}, "", dispatch.NoVersion},
		"unknown, one version":        {"/free/1", []string{"v1"}, nil, dispatch.Origin{Recalled: true}, "v1", 0},
		"unknown, two versions":       {"/free/1", []string{"v1", "v2"}, nil, dispatch.Origin{Recalled: true}, "", dispatch.UnknownVersion},
		"unknown, other has left":     {"/free/1", []string{"v2"}, []origin.Sighting{{Version: llm("v1"), Age: 1}}, dispatch.Origin{Recalled: true}, "", dispatch.UnknownVersion},
		"unknown, nothing recalled":   {"/free/1", []string{"v1"}, nil, dispatch.Origin{}, "", dispatch.UnknownVersion},
		"no record, base":             {"/free/1", []string{"v2", "v1", "v2"}, nil, dispatch.Origin{Bases: map[string]string{engines: "v1"}}, "v1", 0},
		"no record, base has left":    {"/free/1", []string{"v2"}, nil, dispatch.Origin{Bases: map[string]string{engines: "v1"}}, "", dispatch.NoVersion},
		"no record, no base":          {"/free/1", []string{"v1"}, nil, dispatch.Origin{Bases: map[string]string{services: "v1"}}, "", dispatch.UnknownVersion},
		"route without resumption":    {"/draft/1", []string{"v1"}, nil, dispatch.Origin{}, "v1", 0},
		"unknown, other pool changed": {"/free/1", []string{"v1"}, []origin.Sighting{{Version: origin.Version{Pool: services, Software: "v9"}}}, dispatch.Origin{Recalled: true}, "v1", 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.now += 2 * origin.Retention // the engines of the harness are forgotten
			h.apply(dispatch.EndpointsChanged{Endpoints: versionedEndpoints(test.versions...)})
			h.now += 2 * origin.Retention
			h.apply(dispatch.VersionsRecalled{Sightings: test.recalled})
			request := &intake.Request{
				ID: "r", Host: "h", Path: test.path, Key: catalog.DigestOf(apiKey), HasKey: true, Work: generation(""), Resumption: intake.Resumption{LastEventID: "3", RequestID: "first"},
			}
			effects := h.apply(dispatch.RequestArrived{Number: 1000, Request: request, Origin: test.origin})
			if send, sent := findSend(effects); sent {
				qt.Check(t, send.Endpoint.Software, qt.Equals, test.want)
				return
			}
			refuse, refused := findRefusal(effects)
			qt.Assert(t, refused, qt.IsTrue)
			qt.Check(t, test.want, qt.Equals, "")
			qt.Check(t, refuse.Reason, qt.Equals, test.reason)
			qt.Check(t, refuse.Ran, qt.Equals, dispatch.RanNo)
		})
	}
}
