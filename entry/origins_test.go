package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/catalog"
	"magnoliahoist/config"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/intake"
	"magnoliahoist/peer"
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

// send records that a stream is sent to an endpoint of a version, and returns its task.
func (h *Host) send(id, software string) *task {
	t := &task{request: &intake.Request{ID: id}}
	t.lastSend.Route = catalog.Route{Stream: true, Resumable: true}
	t.lastSend.Endpoint = directory.Endpoint{Pool: "llm", Software: software}
	h.recordVersion(t)
	return t
}

// begin records that a version has begun a stream.
func (h *Host) begin(id, software string) { h.noteOrigin(h.send(id, software)) }

// taken returns the version at which a host lets a stream go on; empty if it refuses that.
func (h *Host) taken(t *testing.T, id string) string {
	t.Helper()
	resumption := intake.Resumption{LastEventID: "3", RequestID: id}
	arrival := resumedArrival(resumption)
	arrival.Number = h.lastNumber.Add(1)
	arrival.Origin = h.originOf(t.Context(), arrival)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, effect := range h.state.Apply(h.Now(), arrival) {
		switch e := effect.(type) {
		case dispatch.SendAttempt:
			return e.Endpoint.Software
		case dispatch.RefuseRequest:
			return ""
		}
	}
	t.Fatalf("stream %s: neither sent nor refused", id)
	return ""
}

// TestOriginsOfOtherHosts guards against a host that doesn't learn which version began a stream at another host, or at the process before
// it under its own name, against a row that a new process overwrites, and against refusing streams without a record.
func TestOriginsOfOtherHosts(t *testing.T) {
	_, store := startStore(t)
	first := newOriginHost("a", store)
	first.keepBases(t.Context())
	first.begin("s1", "v2")
	qt.Assert(t, first.writeJournal(t.Context()), qt.IsTrue)
	first.begin("s2", "v1")
	for _, name := range []string{"a", "b"} {
		next := newOriginHost(name, store)
		next.begin("s-"+name, "v2")
		qt.Assert(t, next.writeJournal(t.Context()), qt.IsTrue)
	}
	reader := newOriginHost("c", store)
	for id, want := range map[string]string{"s1": "v2", "s-a": "v2", "s-b": "v2", "s2": "v1", "other": "v1"} {
		qt.Check(t, reader.taken(t, id), qt.Equals, want, qt.Commentf("%s", id))
	}
}

// TestOriginsWithoutResumes guards against a stream that goes on at the base version although its caller has not said which stream it is, and
// against refusing it while there is only one version.
func TestOriginsWithoutResumes(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		want     string
	}{
		"two versions": {[]string{"v1", "v2"}, ""},
		"one version":  {[]string{"v1"}, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, store := startStore(t)
			h := startAgain("a", store, test.versions...)
			h.keepBases(t.Context())
			qt.Check(t, h.taken(t, ""), qt.Equals, test.want)
		})
	}
}

// TestOriginsAfterRestart guards against a host that takes a stream for one of the only version that it has seen, because the other
// version has left before the host started, and against a row that can't be decoded and hides the others.
func TestOriginsAfterRestart(t *testing.T) {
	standin, store := startStore(t)
	before := newOriginHost("a", store)
	before.keepBases(t.Context())
	before.begin("s1", "v1")
	before.begin("s2", "v2")
	qt.Assert(t, before.writeJournal(t.Context()), qt.IsTrue)
	after := startAgain("a", store, "v2")
	for range 2 {
		qt.Check(t, after.taken(t, "s1"), qt.Equals, "")
		qt.Check(t, after.taken(t, "s2"), qt.Equals, "v2")
		standin.Put(streamTable, "b", []byte("no JSON"))
	}
}

// TestOriginsOfRetries guards against a stream that goes on at the version of an attempt before the one that began it.
func TestOriginsOfRetries(t *testing.T) {
	for name, test := range map[string]struct {
		attempts []string // software versions; the last one began the stream
	}{
		"base, other":        {[]string{"v1", "v2"}},
		"other, base":        {[]string{"v2", "v1"}},
		"other, base, other": {[]string{"v2", "v1", "v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, store := startStore(t)
			h := newOriginHost("a", store)
			h.keepBases(t.Context())
			attempt := &task{request: &intake.Request{ID: "s1"}}
			for _, software := range test.attempts {
				attempt.lastSend.Route = catalog.Route{Stream: true, Resumable: true}
				attempt.lastSend.Endpoint = directory.Endpoint{Pool: "llm", Software: software}
				h.recordVersion(attempt)
				qt.Assert(t, h.writeJournal(t.Context()), qt.IsTrue)
			}
			reader := newOriginHost("b", store)
			qt.Check(t, reader.taken(t, "s1"), qt.Equals, test.attempts[len(test.attempts)-1])
		})
	}
}

// TestOriginsAfterRestoration guards against streams that no other host can take up, or that go on at the base version, because the store
// has lost the row of their host.
func TestOriginsAfterRestoration(t *testing.T) {
	standin, store := startStore(t)
	h := newOriginHost("a", store)
	h.keepBases(t.Context())
	backup := standin.Backup()
	h.begin("s1", "v2")
	qt.Assert(t, h.writeJournal(t.Context()), qt.IsTrue)
	reader := newOriginHost("b", store)
	reader.readOrigins(reader.Now())
	standin.Restore(backup, 0)
	qt.Check(t, reader.taken(t, "s1"), qt.Equals, "")
	h.readOrigins(h.Now())
	qt.Assert(t, h.writeJournal(t.Context()), qt.IsTrue)
	qt.Check(t, reader.taken(t, "s1"), qt.Equals, "v2")
	reader.createdAt -= 2 * restorationGrace
	qt.Check(t, reader.taken(t, "s2"), qt.Equals, "v1")
}

// TestOriginsWithoutMixture guards against calls to the store while all endpoints have one version.
func TestOriginsWithoutMixture(t *testing.T) {
	standin, store := startStore(t)
	h := startAgain("a", store, "v1")
	h.keepBases(t.Context())
	standin.Faults().Replace(fault.Faults{Down: true}) // a call would fail
	h.bases.nextRead = 0
	h.keepBases(t.Context())
	h.begin("s1", "v1")
	qt.Check(t, h.writeJournal(t.Context()), qt.IsTrue)
	qt.Check(t, h.store.Unreachable(), qt.IsFalse)
	qt.Check(t, h.taken(t, "s1"), qt.Equals, "v1")
	qt.Check(t, h.store.Unreachable(), qt.IsFalse)
}

// TestRecordBeforeFirstEvent guards against the first event of a stream that is passed on before the stream's record is in the store, against
// waiting for records that are not needed, and against waiting for a store that does not respond.
func TestRecordBeforeFirstEvent(t *testing.T) {
	for name, test := range map[string]struct {
		software string
		faults   fault.Faults
		recorded bool // the stream has a record
		least    time.Duration
		written  bool
	}{
		"base version":          {"v1", fault.Faults{Slow: document.Duration(3 * time.Second)}, false, 0, false},
		"other version":         {"v2", fault.Faults{Slow: document.Duration(30 * time.Millisecond)}, true, 20 * time.Millisecond, true},
		"store is slow":         {"v2", fault.Faults{Slow: document.Duration(3 * time.Second)}, true, maxRecordWait, false},
		"store doesn't respond": {"v2", fault.Faults{Down: true}, true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			standin, store := startStore(t)
			h := newOriginHost("a", store)
			h.keepBases(t.Context())
			standin.Faults().Replace(test.faults)
			h.tomb.Go(h.writeRecords)
			defer h.tomb.Kill(nil)
			sent := h.send("s1", test.software)
			startedAt := h.Now()
			h.awaitRecord(t.Context(), sent)
			waited := h.Now() - startedAt
			qt.Check(t, sent.record > 0, qt.Equals, test.recorded)
			qt.Check(t, waited >= test.least && waited <= time.Second, qt.IsTrue, qt.Commentf("waited for %v", waited))
			qt.Check(t, h.origins.journal.Written() > 0, qt.Equals, test.written)
		})
	}
}

// TestRecordsAvoided guards against streams that begin without a record at another version than the base while records can't be written,
// although the base version has an endpoint, and against refusing streams that only the other version can serve.
func TestRecordsAvoided(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		down     bool
		want     string
	}{
		"store responds":       {[]string{"v1", "v2", "v2", "v2", "v2", "v2"}, false, ""},
		"store is down":        {[]string{"v1", "v2", "v2", "v2", "v2", "v2"}, true, "v1"},
		"base has no endpoint": {[]string{"v2"}, true, "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			standin, store := startStore(t)
			h := startAgain("a", store, "v1")
			h.keepBases(t.Context())
			h.setVersions(test.versions...)
			if test.down {
				standin.Faults().Replace(fault.Faults{Down: true})
				h.readOrigins(h.Now())
			}
			h.avoidRecords(t.Context())
			versions := map[string]bool{}
			for range 8 {
				arrival := resumedArrival(intake.Resumption{})
				arrival.Number = h.lastNumber.Add(1)
				h.mu.Lock()
				effects := h.state.Apply(h.Now(), arrival)
				h.mu.Unlock()
				for _, effect := range effects {
					if send, sent := effect.(dispatch.SendAttempt); sent {
						versions[send.Endpoint.Software] = true
					}
				}
			}
			if test.want == "" {
				qt.Check(t, versions["v2"], qt.IsTrue)
				return
			}
			qt.Check(t, versions, qt.DeepEquals, map[string]bool{test.want: true})
		})
	}
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
			qt.Check(t, known.Recalled || known.Bases != nil, qt.Equals, test.certain)
		})
	}
}

// resumedArrival returns the arrival of a request that takes up a stream.
func resumedArrival(resumption intake.Resumption) dispatch.RequestArrived {
	work := intake.Generation{Model: "m", PromptTokens: 10, MaxOutputTokens: 10}
	return dispatch.RequestArrived{Number: 1, Request: &intake.Request{ID: "r", Host: "h", Path: "/free/1", Work: work, Resumption: resumption}}
}

// TestRecordsWithoutCollector guards against a host of a large fleet that no longer writes its records because the collectors have ended.
func TestRecordsWithoutCollector(t *testing.T) {
	_, store := startStore(t)
	h := newOriginHost("a", store)
	h.keepBases(t.Context())
	h.mu.Lock()
	h.fleet.client = peer.NewClient(&http.Client{}, "secret")
	for n := range maxDirectRecorders + 1 {
		name := fmt.Sprint("b", n)
		h.fleet.members[name] = member{ID: name, Address: "127.0.0.1:1", Domain: "near", Power: 10}
	}
	h.mu.Unlock()
	h.begin("s1", "v2")
	written := 0
	for range maxCollectFailures + 1 {
		if h.writeJournal(t.Context()) {
			written++
		}
	}
	qt.Check(t, written, qt.Equals, 1)
	reader := newOriginHost("c", store)
	qt.Check(t, reader.taken(t, "s1"), qt.Equals, "v2")
}
