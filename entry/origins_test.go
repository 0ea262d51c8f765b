package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/catalog"
	"magnoliahoist/config"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/fault"
	"magnoliahoist/intake"
	"magnoliahoist/origin"
	"magnoliahoist/platform/fakeplatform"
)

// newOriginHost returns a host that has run for an hour and knows engines of two software versions, v1 and v2.
func newOriginHost(name, store string) *Host {
	h := startAgain(name, store)
	h.createdAt -= time.Hour
	h.setVersions("v1", "v2")
	return h
}

// startAgain returns a host that has just started and knows an engine of each version.
func startAgain(name, store string, versions ...string) *Host {
	h := New(config.Entry{Name: name, Domain: "near", Store: store}, hclog.NewNullLogger())
	h.fleet.members[name] = h.fleet.self
	c := catalog.New(catalog.Document{
		Version: 1,
		Routes: []catalog.Route{{
			Name: "free", Host: "h", Prefix: "/free/", Open: true, Stream: true, Resumable: true, Repeat: catalog.AtMostOnce, MaxAttempts: 2,
			Timeout: 5 * time.Second, Pools: []catalog.WeightedPool{{Pool: "llm", Weight: 1}},
		}},
		Pools: []catalog.Pool{{Name: "llm", Engine: &catalog.Engine{Slots: 8, Models: map[string]catalog.Model{"m": {Name: "m"}}}}},
	})
	h.catalog.Store(c)
	h.Apply(dispatch.ConfigurationChanged{Catalog: c})
	h.setVersions(versions...)
	return h
}

// setVersions registers an engine of each version, and no others.
func (h *Host) setVersions(versions ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var changes []directory.Change
	for _, e := range h.directory.Endpoints() {
		changes = append(changes, directory.Change{ID: e.ID, Removed: true})
	}
	for _, version := range versions {
		e := directory.Endpoint{ID: "e-" + randomHex(idBytes), Pool: "llm", Domain: "near", Software: version, Slots: 8, Models: []directory.Model{{Name: "m"}}}
		changes = append(changes, directory.Change{ID: e.ID, Endpoint: e})
	}
	h.directory.Apply(h.Now(), changes)
	h.publishEndpoints()
}

// begin records that a version has begun a stream.
func (h *Host) begin(id, software string) {
	t := &task{request: &intake.Request{ID: id}}
	t.lastSend.Route.Resumable = true
	t.lastSend.Endpoint = directory.Endpoint{Pool: "llm", Software: software}
	h.noteOrigin(t)
}

// TestOriginsOfOtherHosts guards against a host that doesn't learn which version began a stream at another host, or at the process before
// it under its own name, and against a row that a new process overwrites.
func TestOriginsOfOtherHosts(t *testing.T) {
	_, store := startStore(t)
	first := newOriginHost("a", store)
	first.begin("s1", "v1")
	first.keepOrigins(t.Context())
	for _, name := range []string{"a", "b"} {
		next := newOriginHost(name, store)
		next.origins.recalled = false
		next.begin("s-"+name, "v2")
		next.keepOrigins(t.Context())
	}
	reader := newOriginHost("c", store)
	reader.readOrigins(reader.Now())
	for id, want := range map[string]string{"s1": "v1", "s-a": "v2", "s-b": "v2"} {
		known, certain := reader.knownOrigin(origin.KeyOf(id), true)
		qt.Check(t, certain, qt.IsTrue, qt.Commentf("%s", id))
		qt.Check(t, known.Version, qt.Equals, origin.Version{Pool: "llm", Software: want})
	}
	_, certain := reader.knownOrigin(origin.KeyOf("other"), true)
	qt.Check(t, certain, qt.IsFalse)
}

// TestOriginsAfterRestart guards against a host that takes a stream for one of the only version that it has seen, because the other
// version has left before the host started.
func TestOriginsAfterRestart(t *testing.T) {
	standin, store := startStore(t)
	before := newOriginHost("a", store)
	before.keepOrigins(t.Context())
	before.setVersions("v2")
	before.origins.writtenAt = 0
	before.keepOrigins(t.Context())

	after := New(config.Entry{Name: "a", Domain: "near", Store: store}, hclog.NewNullLogger())
	after.setVersions("v2")
	known, certain := after.knownOrigin(origin.KeyOf("s1"), true)
	qt.Check(t, known.Recalled, qt.IsFalse)
	qt.Check(t, certain, qt.IsFalse)
	after.readOrigins(after.Now())
	known, certain = after.knownOrigin(origin.KeyOf("s1"), true)
	qt.Check(t, known.Recalled, qt.IsTrue)
	qt.Check(t, certain, qt.IsFalse)
	qt.Check(t, after.state.MixedVersions(after.Now()), qt.HasLen, 2)

	standin.Put(streamTable, "b", []byte("no JSON"))
	after.readOrigins(after.Now())
	qt.Check(t, after.state.MixedVersions(after.Now()), qt.HasLen, 2)
}

// TestOriginsAfterRestoration guards against streams that no other host can take up, because the store has lost the row of their host.
func TestOriginsAfterRestoration(t *testing.T) {
	standin, store := startStore(t)
	backup := standin.Backup()
	h := newOriginHost("a", store)
	h.begin("s1", "v1")
	h.keepOrigins(t.Context())
	standin.Restore(backup, 0)
	reader := newOriginHost("b", store)
	h.readOrigins(h.Now())
	h.origins.writtenAt = h.Now() - streamRefreshInterval/2
	h.keepOrigins(t.Context())
	reader.readOrigins(reader.Now())
	_, certain := reader.knownOrigin(origin.KeyOf("s1"), true)
	qt.Check(t, certain, qt.IsTrue)
}

// TestOriginsWithoutMixture guards against calls to the store while all endpoints have one version.
func TestOriginsWithoutMixture(t *testing.T) {
	_, store := startStore(t)
	h := newOriginHost("a", store)
	h.setVersions("v1")
	h.createdAt -= time.Hour // the other version is forgotten
	h.begin("s1", "v1")
	h.keepOrigins(t.Context())
	qt.Check(t, h.origins.writtenAt, qt.Equals, time.Duration(0))
	row, err := fakeplatform.ReadRow(http.DefaultClient, store, streamTable, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, row.Version, qt.Equals, int64(0))
}

// TestOriginsWithoutStore guards against a host that takes the only version that it has seen for that of a stream which another host has
// begun, although it could not learn of other versions since: it is cut off from the store.
func TestOriginsWithoutStore(t *testing.T) {
	resumption := intake.Resumption{LastEventID: "3", RequestID: "s1"}
	for name, test := range map[string]struct {
		faults  fault.Faults
		certain bool
	}{
		"in touch": {fault.Faults{}, true},
		"cut off":  {fault.Faults{Down: true}, false},
		"refused":  {fault.Faults{Refuse: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			standin, store := startStore(t)
			h := newOriginHost("a", store)
			h.createdAt -= time.Hour
			h.setVersions("v1")
			h.createdAt -= time.Hour // the other version is forgotten
			h.readOrigins(h.Now())
			qt.Assert(t, h.origins.recalled, qt.IsTrue)
			standin.Faults().Replace(test.faults)
			known := h.originOf(t.Context(), resumedArrival(resumption))
			qt.Check(t, known.Known, qt.IsFalse)
			qt.Check(t, known.Recalled, qt.Equals, test.certain)
		})
	}
}

// resumedArrival returns the arrival of a request that takes up a stream.
func resumedArrival(resumption intake.Resumption) dispatch.RequestArrived {
	work := intake.Generation{Model: "m", PromptTokens: 10, MaxOutputTokens: 10}
	return dispatch.RequestArrived{Number: 1, Request: &intake.Request{ID: "r", Host: "h", Path: "/free/1", Work: work, Resumption: resumption}}
}

// resumedWith returns the arrival of a request that takes up a stream of which a host has learned something.
func resumedWith(known dispatch.Origin) dispatch.RequestArrived {
	arrival := resumedArrival(intake.Resumption{LastEventID: "3", RequestID: "s1"})
	arrival.Origin = known
	return arrival
}

// refusalOf returns the reason with which a request was refused; empty if it was not.
func refusalOf(effects []dispatch.Effect) string {
	for _, effect := range effects {
		if refuse, refused := effect.(dispatch.RefuseRequest); refused {
			return refuse.Reason.String()
		}
	}
	return ""
}
