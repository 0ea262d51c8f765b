package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"magnoliahoist/config"
	"magnoliahoist/fault"
	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/table"
)

// peerStub is another host, with or without contact with the store.
type peerStub struct {
	peer.Backend
	noContact bool
	revision  int64 // revision of the host's configuration
	store     *platform.Store
}

func (r *peerStub) Read(ctx context.Context, request *peer.ReadRequest) (*peer.ReadResponse, error) {
	if r.noContact {
		return &peer.ReadResponse{Away: true, Revision: r.revision}, nil
	}
	snapshot, err := r.store.ReadAll(ctx, request.GetTable())
	return &peer.ReadResponse{Rows: peer.RowMessages(snapshot.Rows), Revision: snapshot.Revision}, err
}

func (r *peerStub) Write(ctx context.Context, request *peer.WriteRequest) (*peer.WriteResponse, error) {
	if r.noContact {
		return &peer.WriteResponse{Away: true}, nil
	}
	result, err := r.store.Commit(ctx, peer.TxnFromRequest(request))
	return &peer.WriteResponse{Committed: result.Committed, Revision: result.Revision}, err
}

// accessFixture is a host's storeAccess with a store that can fail and other hosts that can relay.
type accessFixture struct {
	access    *storeAccess
	ownStore  *fakeplatform.Store // the store as this host reaches it
	peerStore *fakeplatform.Store // the store as the other hosts reach it
	peers     []*peerStub
	now       time.Duration
	targets   []peer.Target
}

func startStore(t *testing.T) (*fakeplatform.Store, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	store := fakeplatform.NewStore()
	go store.Serve(listener)
	t.Cleanup(store.Stop)
	return store, listener.Addr().String()
}

func newAccessFixture(t *testing.T, peers int) *accessFixture {
	t.Helper()
	f := &accessFixture{now: time.Minute}
	var ownAddress, peerAddress string
	f.ownStore, ownAddress = startStore(t)
	f.peerStore, peerAddress = startStore(t)
	client := peer.NewClient(&http.Client{}, "secret")
	for n := range peers {
		stub := &peerStub{store: platform.NewStore(peerAddress)}
		id := string(rune('a' + n))
		server := httptest.NewServer(peer.NewServer(stub, id, "secret"))
		t.Cleanup(server.Close)
		f.peers = append(f.peers, stub)
		f.targets = append(f.targets, peer.Target{ID: id, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	f.access = &storeAccess{
		store: platform.NewStore(ownAddress), self: peer.Sender{ID: "self"},
		otherHosts: func() (*peer.Client, []peer.Target) { return client, f.targets },
		now:        func() time.Duration { return f.now },
		countCall:  func(storeCall, error) {},
		onRestored: func(int64, int64) {},
		maxSilence: maxSilence,
	}
	return f
}

// TestAccess guards against a host that learns of no changes while the store refuses it but responds to other hosts,
// against a host that relies on its keys although no other host responds, and against hosts that were all isolated for
// long and then, before they reach the store again, confirm to each other that nothing has changed.
func TestAccess(t *testing.T) {
	for name, test := range map[string]struct {
		peers     int
		refused   bool // the store refuses this host
		expired   bool // the last confirmation is older than maxSilence
		noContact int  // other hosts without contact with the store
		dead      int  // other hosts that don't respond
		readable  bool
		current   bool
	}{
		"store responds":                      {4, false, false, 0, 0, true, true},
		"refused, other hosts have contact":   {4, true, false, 0, 0, true, true},
		"refused, one other host has contact": {4, true, false, 3, 0, true, true},
		"down for all hosts":                  {4, true, false, 4, 0, false, true},
		"down, a majority responds":           {4, true, false, 2, 2, false, true},
		"down, a minority responds":           {4, true, false, 1, 3, false, false},
		"refused, no other host responds":     {4, true, false, 0, 4, false, false},
		"single host, store down":             {0, true, false, 0, 0, false, true},
		"refused, one other host responds":    {4, true, false, 0, 3, true, true},
		"two hosts, other dead, store down":   {1, true, false, 0, 1, false, false},
		"isolated, then down for all hosts":   {4, true, true, 4, 0, false, false},
		"isolated, then store responds":       {4, false, true, 0, 0, true, true},
		"isolated, then relayed":              {4, true, true, 0, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, test.peers)
			f.ownStore.Put("t", "k", []byte("v"))
			f.peerStore.Put("t", "k", []byte("v"))
			if test.refused {
				f.ownStore.Faults().Replace(fault.Faults{Refuse: true})
			}
			for n := range test.noContact {
				f.peers[n].noContact = true
			}
			for n := range test.dead {
				f.targets[len(f.targets)-1-n].Address = "127.0.0.1:1"
			}
			if !test.expired {
				f.access.ConfirmConfig(0)
				f.now += proofAge
			}
			before := f.access.Silence()
			snapshot, err := f.access.ReadAll(context.Background(), "t")
			qt.Check(t, err == nil, qt.Equals, test.readable, qt.Commentf("%v", err))
			if test.readable {
				f.access.ConfirmConfig(snapshot.Clock)
				qt.Check(t, snapshot.Rows, qt.HasLen, 1)
			} else {
				qt.Check(t, errors.Is(err, table.ErrUnavailable), qt.IsTrue)
			}
			want := before
			if test.current {
				want = 0
			}
			qt.Check(t, f.access.Silence(), qt.Equals, want)
		})
	}
}

// A confirmation of age proofAge still counts; one older than maxSilence does not.
const (
	proofAge   = 5 * time.Second
	maxSilence = 10 * time.Second
)

// TestAccessProof guards against a host that relies on its keys because of a response that was delayed for long, of a
// response about another table, or of a majority without contact that can't confirm anything; and against a host that
// stops relying on its keys because the clocks drift apart or the store's clock was reset.
func TestAccessProof(t *testing.T) {
	type response struct{ at, clock time.Duration } // times since the start of the host and of the store
	for name, test := range map[string]struct {
		responses []response
		now       time.Duration
		want      time.Duration // expected silence at time now
	}{
		"prompt":                {[]response{{10 * time.Second, 5 * time.Second}, {15 * time.Second, 10 * time.Second}}, 16 * time.Second, time.Second},
		"late":                  {[]response{{10 * time.Second, 5 * time.Second}, {30 * time.Second, 10 * time.Second}}, 30 * time.Second, 15 * time.Second},
		"first response slower": {[]response{{11 * time.Second, 5 * time.Second}, {15 * time.Second, 10 * time.Second}}, 15 * time.Second, 0},
		"clock reset":           {[]response{{100 * time.Second, 900 * time.Second}, {105 * time.Second, 2 * time.Second}}, 105 * time.Second, 0},
		"clock drift":           {[]response{{0, 1000 * time.Second}, {1010 * time.Second, 2000 * time.Second}}, 1010 * time.Second, 0},
		"unknown clock":         {[]response{{10 * time.Second, 0}}, 12 * time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, 0)
			for _, r := range test.responses {
				f.now = r.at
				f.access.ConfirmConfig(r.clock)
			}
			f.now = test.now
			got := f.access.Silence()
			qt.Check(t, got >= test.want-400*time.Millisecond && got <= test.want, qt.IsTrue, qt.Commentf("silence %v, want %v", got, test.want))
		})
	}
	f := newAccessFixture(t, 0)
	f.ownStore.Put("t", "k", []byte("v"))
	before := f.access.Silence()
	_, err := f.access.ReadAll(context.Background(), "t")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, f.access.Silence(), qt.Equals, before)
}

// TestAccessTold guards against a host that relies on its configuration because of a lease holder's report that is old
// or undated, and against a host that isn't told of a newer configuration.
func TestAccessTold(t *testing.T) {
	const validity = time.Second
	for name, test := range map[string]struct {
		revision int64         // revision that the lease holder has read
		age      time.Duration // age of the holder's confirmation; negative for none
		newer    bool
		silence  time.Duration
		relies   time.Duration
	}{
		"current":                      {7, 200 * time.Millisecond, false, 200 * time.Millisecond, 800 * time.Millisecond},
		"holder confirmed long ago":    {7, 2 * time.Second, false, 2 * time.Second, 0},
		"undated":                      {7, -1, false, proofAge, 0},
		"holder has a newer revision":  {9, 0, true, proofAge, 0},
		"holder has an older revision": {5, 0, false, proofAge, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, 0)
			f.access.SetConfigRevision(7)
			f.access.ConfirmConfig(time.Hour)
			f.now += proofAge
			clock := time.Duration(0)
			if test.age >= 0 {
				clock = time.Hour + proofAge - test.age
			}
			qt.Check(t, f.access.ConfirmFromHolder(test.revision, clock), qt.Equals, test.newer)
			qt.Check(t, f.access.Silence(), qt.Equals, test.silence)
			qt.Check(t, f.access.HolderValidFor(validity), qt.Equals, test.relies)
		})
	}
}

// TestAccessOutdated guards against a host that missed a change of the configuration before the store went down and
// keeps using its keys because the other hosts, which know the change, have no contact with the store either.
func TestAccessOutdated(t *testing.T) {
	for name, test := range map[string]struct {
		revisions []int64 // configuration revisions of the other hosts
		current   bool
	}{
		"same everywhere":           {[]int64{7, 7, 7, 7}, true},
		"other hosts are older":     {[]int64{5, 5, 0, 7}, true},
		"one other host is newer":   {[]int64{7, 9, 7, 7}, false},
		"all other hosts are newer": {[]int64{9, 9, 9, 9}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, len(test.revisions))
			f.ownStore.Faults().Replace(fault.Faults{Refuse: true})
			for n, r := range f.peers {
				r.noContact, r.revision = true, test.revisions[n]
			}
			f.access.SetConfigRevision(7)
			f.access.ConfirmConfig(0)
			f.now += proofAge
			_, err := f.access.Follow(context.Background(), "t", 1, 0)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, f.access.Silence() == 0, qt.Equals, test.current, qt.Commentf("silence %v", f.access.Silence()))
		})
	}
}

// TestRelayAfterLoss guards against a host that reports to others that it has no contact with the store because of a
// call that failed long ago. While it relies on a lease holder it makes no calls of its own that would show otherwise,
// and other hosts would take its report as a sign that the store is down for all.
func TestRelayAfterLoss(t *testing.T) {
	store, address := startStore(t)
	store.Put(leaseTable, "k", []byte("v"))
	h := New(config.Entry{Name: "self", Domain: "near", Store: address}, hclog.NewNullLogger())
	for name, test := range map[string]struct {
		since     time.Duration // time since the last call
		down      bool
		noContact bool
	}{
		"long ago":       {2 * probeInterval, false, false},
		"just now":       {0, false, true},
		"long ago, down": {2 * probeInterval, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			store.Faults().Replace(fault.Faults{Refuse: test.down})
			h.store.unreachable, h.store.lastProbe = true, h.Now()-test.since
			read, err := h.readForHost(t.Context(), &peer.ReadRequest{Header: &peer.Header{From: "other"}, Table: leaseTable, Whole: true, Eras: true})
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, read.GetAway(), qt.Equals, test.noContact)
			qt.Check(t, h.store.Unreachable(), qt.Equals, test.noContact)
			h.store.unreachable, h.store.lastProbe = true, h.Now()-test.since
			written, err := h.writeForHost(t.Context(), peer.NewWriteRequest(table.Txn{Writes: []table.Write{{Key: leaseTable + "/k", Value: []byte("v")}}}))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, written.GetAway(), qt.Equals, test.noContact)
		})
	}
}

// TestAccessLargeFleet guards against a large fleet that stops serving requests with keys during a long outage of the
// store because no host can ask a majority in one round, and against a report of an outage that counts for longer than
// maxSilence.
func TestAccessLargeFleet(t *testing.T) {
	for name, test := range map[string]struct {
		peers, noContact int
		current          bool
	}{
		"store down":                         {35, 35, true},
		"store down, some hosts dead":        {35, 20, true},
		"store down, half of the hosts dead": {35, 17, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, test.peers)
			f.ownStore.Faults().Replace(fault.Faults{Refuse: true})
			for n, r := range f.peers {
				if r.noContact = n < test.noContact; !r.noContact {
					f.targets[n].Address = "127.0.0.1:1"
				}
			}
			f.access.ConfirmConfig(0)
			for range 30 {
				f.now += maxRetryPause
				_, err := f.access.Follow(context.Background(), "t", 1, 0)
				qt.Assert(t, err, qt.IsNotNil)
			}
			qt.Check(t, f.access.Silence() <= maxSilence, qt.Equals, test.current, qt.Commentf("silence %v", f.access.Silence()))
			for n := range f.targets {
				f.targets[n].Address = "127.0.0.1:1"
			}
			before := f.access.Silence()
			for range 30 {
				f.now += maxRetryPause
				_, err := f.access.Follow(context.Background(), "t", 1, 0)
				qt.Assert(t, err, qt.IsNotNil)
			}
			qt.Check(t, f.access.Silence() >= before+20*maxRetryPause, qt.IsTrue, qt.Commentf("silence %v after %v", f.access.Silence(), before))
		})
	}
}

// TestAccessAfterReset guards against waiting for other hosts after a mere connection reset: the next call to the store
// must be direct.
func TestAccessAfterReset(t *testing.T) {
	f := newAccessFixture(t, 1)
	f.ownStore.Put("t", "k", []byte("v"))
	f.targets[0].Address = "127.0.0.1:1"
	f.ownStore.Faults().Replace(fault.Faults{Down: true})
	_, err := f.access.ReadAll(context.Background(), "t")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, f.access.Unreachable(), qt.IsTrue)
	f.ownStore.Faults().Replace(fault.Faults{})
	f.now += 100 * time.Millisecond
	_, err = f.access.ReadAll(context.Background(), "t")
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, f.access.Unreachable(), qt.IsFalse)
}

// TestAccessProbes guards against calling a store that is down as often as the followers poll: the platform charges for
// every call.
func TestAccessProbes(t *testing.T) {
	f := newAccessFixture(t, 0)
	f.ownStore.Faults().Replace(fault.Faults{Refuse: true})
	direct := 0
	f.access.countCall = func(call storeCall, _ error) {
		if call.way == "direct" {
			direct++
		}
	}
	for range 100 {
		_, _ = f.access.ReadAll(context.Background(), "t")
		f.now += 50 * time.Millisecond
	}
	qt.Check(t, direct <= 2+int(5*time.Second/probeInterval), qt.IsTrue, qt.Commentf("%d direct calls in 5 s", direct))
}

// TestAccessCommit guards against a write that fails although another host can relay it, and against reporting a write
// as not sent when its result is unknown.
func TestAccessCommit(t *testing.T) {
	txn := table.Txn{Compares: []table.Compare{{Key: "t/k"}}, Writes: []table.Write{{Key: "t/k", Value: []byte("v")}}}
	for name, test := range map[string]struct {
		faults    fault.Faults
		noContact bool
		want      error
	}{
		"direct":                                   {fault.Faults{}, true, nil},
		"through another host":                     {fault.Faults{Refuse: true}, false, nil},
		"refused, no other host has contact":       {fault.Faults{Refuse: true}, true, table.ErrNotApplied},
		"response lost, no other host has contact": {fault.Faults{LoseReply: 1}, true, table.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, 1)
			f.peers[0].noContact = test.noContact
			f.ownStore.Faults().Replace(test.faults)
			result, err := f.access.Commit(context.Background(), txn)
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, result.Committed, qt.IsTrue)
				return
			}
			qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestThrottledCommit guards against a host that takes the store for unreachable because the store refuses calls for their
// rate for a moment: it would call it through several other hosts as well. A store that goes on refusing this host does
// count as unreachable.
func TestThrottledCommit(t *testing.T) {
	for name, test := range map[string]struct {
		refusals    int64
		tries       int64
		unreachable bool
	}{
		"not refused":      {0, 1, false},
		"refused twice":    {2, 3, false},
		"refused for good": {100, maxThrottledTries, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAccessFixture(t, 0)
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) <= test.refusals {
					w.WriteHeader(http.StatusTooManyRequests)
					return
				}
				fmt.Fprint(w, `{"rows":[],"ver":7,"now_ms":1}`)
			}))
			t.Cleanup(server.Close)
			f.access.store = platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
			result, err := f.access.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: "fleet/k", Value: []byte("v")}}})
			qt.Check(t, calls.Load(), qt.Equals, test.tries)
			qt.Check(t, f.access.Unreachable(), qt.Equals, test.unreachable)
			if test.unreachable {
				qt.Check(t, errors.Is(err, table.ErrThrottled), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, errors.Is(err, table.ErrNotApplied), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, result.Committed, qt.IsTrue)
		})
	}
}
