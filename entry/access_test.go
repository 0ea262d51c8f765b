package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// relay is another host that has contact with the store or not.
type relay struct {
	peer.Backend
	away  bool
	knows int64 // revision of its configuration
	store *platform.Store
}

func (r *relay) Read(ctx context.Context, request *peer.ReadRequest) (*peer.ReadResponse, error) {
	if r.away {
		return &peer.ReadResponse{Away: true, Revision: r.knows}, nil
	}
	snapshot, err := r.store.ReadAll(ctx, request.GetTable())
	return &peer.ReadResponse{Rows: peer.RowsOf(snapshot.Rows), Revision: snapshot.Revision}, err
}

func (r *relay) Write(ctx context.Context, request *peer.WriteRequest) (*peer.WriteResponse, error) {
	if r.away {
		return &peer.WriteResponse{Away: true}, nil
	}
	result, err := r.store.Commit(ctx, peer.TxnOf(request))
	return &peer.WriteResponse{Committed: result.Committed, Revision: result.Revision}, err
}

// accessBench is a host's way to a store that can fail for it, with other hosts.
type accessBench struct {
	access  *access
	front   *fakeplatform.Store // as this host sees the store
	behind  *fakeplatform.Store // as the others see it
	relays  []*relay
	now     time.Duration
	targets []peer.Target
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

func newAccessBench(t *testing.T, relays int) *accessBench {
	t.Helper()
	b := &accessBench{now: time.Minute}
	var front, behind string
	b.front, front = startStore(t)
	b.behind, behind = startStore(t)
	client := peer.NewClient(&http.Client{}, "secret")
	for n := range relays {
		r := &relay{store: platform.NewStore(behind)}
		id := string(rune('a' + n))
		server := httptest.NewServer(peer.NewServer(r, id, "secret"))
		t.Cleanup(server.Close)
		b.relays = append(b.relays, r)
		b.targets = append(b.targets, peer.Target{ID: id, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	b.access = &access{
		store: platform.NewStore(front), self: peer.Sender{ID: "self"},
		peers: func() (*peer.Client, []peer.Target) { return client, b.targets },
		now:   func() time.Duration { return b.now },
		count: func(string, error) {},
		trust: trust,
	}
	return b
}

// TestAccess guards against a host that learns nothing while the store turns it away and serves others, against one that
// relies on its keys although it hears nobody, and against hosts that were all isolated for long and agree with each
// other, before they reach the store again, that nothing has changed.
func TestAccess(t *testing.T) {
	for name, test := range map[string]struct {
		relays  int
		turned  bool // the store turns this host away
		old     bool // the last proof is older than keys are relied on
		away    int  // of the other hosts, those without contact
		dead    int  // of the other hosts, those that don't answer
		reads   bool
		contact bool
	}{
		"store is well":                     {4, false, false, 0, 0, true, true},
		"turned away, others served":        {4, true, false, 0, 0, true, true},
		"turned away, one other is served":  {4, true, false, 3, 0, true, true},
		"down for all":                      {4, true, false, 4, 0, false, true},
		"down, a majority answers":          {4, true, false, 2, 2, false, true},
		"down, a minority answers":          {4, true, false, 1, 3, false, false},
		"cut off":                           {4, true, false, 0, 4, false, false},
		"single host, store down":           {0, true, false, 0, 0, false, true},
		"turned away, others dead but one":  {4, true, false, 0, 3, true, true},
		"two hosts, other dead, store down": {1, true, false, 0, 1, false, false},
		"isolated, then down for all":       {4, true, true, 4, 0, false, false},
		"isolated, then served":             {4, false, true, 0, 0, true, true},
		"isolated, then through others":     {4, true, true, 0, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAccessBench(t, test.relays)
			b.front.Put("t", "k", []byte("v"))
			b.behind.Put("t", "k", []byte("v"))
			if test.turned {
				b.front.Faults().Replace(fault.Faults{Refuse: true})
			}
			for n := range test.away {
				b.relays[n].away = true
			}
			for n := range test.dead {
				b.targets[len(b.targets)-1-n].Address = "127.0.0.1:1"
			}
			if !test.old {
				b.access.Confirm(0)
				b.now += proofAge
			}
			before := b.access.Silence()
			snapshot, err := b.access.ReadAll(context.Background(), "t")
			qt.Check(t, err == nil, qt.Equals, test.reads, qt.Commentf("%v", err))
			if test.reads {
				b.access.Confirm(snapshot.Clock)
				qt.Check(t, snapshot.Rows, qt.HasLen, 1)
			} else {
				qt.Check(t, errors.Is(err, table.ErrUnavailable), qt.IsTrue)
			}
			want := before
			if test.contact {
				want = 0
			}
			qt.Check(t, b.access.Silence(), qt.Equals, want)
		})
	}
}

// proofAge is the age of a proof on which keys are still relied on, and trust that from which on they are not.
const (
	proofAge = 5 * time.Second
	trust    = 10 * time.Second
)

// TestAccessProof guards against a host that relies on its keys because of an answer that was on its way for long, of
// an answer about another table, or of one that a majority of hosts without contact could not give; and against one
// that stops relying on them because clocks drift apart or the store has a new clock.
func TestAccessProof(t *testing.T) {
	type answer struct{ at, clock time.Duration } // since the host's and the store's start
	for name, test := range map[string]struct {
		answers []answer
		now     time.Duration
		want    time.Duration // silence at that time
	}{
		"prompt":           {[]answer{{10 * time.Second, 5 * time.Second}, {15 * time.Second, 10 * time.Second}}, 16 * time.Second, time.Second},
		"late":             {[]answer{{10 * time.Second, 5 * time.Second}, {30 * time.Second, 10 * time.Second}}, 30 * time.Second, 15 * time.Second},
		"first one slower": {[]answer{{11 * time.Second, 5 * time.Second}, {15 * time.Second, 10 * time.Second}}, 15 * time.Second, 0},
		"new clock":        {[]answer{{100 * time.Second, 900 * time.Second}, {105 * time.Second, 2 * time.Second}}, 105 * time.Second, 0},
		"drift":            {[]answer{{0, 1000 * time.Second}, {1010 * time.Second, 2000 * time.Second}}, 1010 * time.Second, 0},
		"unknown clock":    {[]answer{{10 * time.Second, 0}}, 12 * time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAccessBench(t, 0)
			for _, a := range test.answers {
				b.now = a.at
				b.access.Confirm(a.clock)
			}
			b.now = test.now
			got := b.access.Silence()
			qt.Check(t, got >= test.want-400*time.Millisecond && got <= test.want, qt.IsTrue, qt.Commentf("%v, want %v", got, test.want))
		})
	}
	b := newAccessBench(t, 0)
	b.front.Put("t", "k", []byte("v"))
	before := b.access.Silence()
	_, err := b.access.ReadAll(context.Background(), "t")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, b.access.Silence(), qt.Equals, before)
}

// TestAccessTold guards against a host that relies on its configuration because of what a holder tells whose own is old or
// not dated, and against one that isn't told of a newer one.
func TestAccessTold(t *testing.T) {
	const life = time.Second
	for name, test := range map[string]struct {
		revision int64         // that the holder has read
		age      time.Duration // of its date; negative when it has none
		newer    bool
		silence  time.Duration
		relies   time.Duration
	}{
		"current":         {7, 200 * time.Millisecond, false, 200 * time.Millisecond, 800 * time.Millisecond},
		"holder's is old": {7, 2 * time.Second, false, 2 * time.Second, 0},
		"not dated":       {7, -1, false, proofAge, 0},
		"newer one":       {9, 0, true, proofAge, 0},
		"holder lacks it": {5, 0, false, proofAge, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAccessBench(t, 0)
			b.access.Configured(7)
			b.access.Confirm(time.Hour)
			b.now += proofAge
			clock := time.Duration(0)
			if test.age >= 0 {
				clock = time.Hour + proofAge - test.age
			}
			qt.Check(t, b.access.Told(test.revision, clock), qt.Equals, test.newer)
			qt.Check(t, b.access.Silence(), qt.Equals, test.silence)
			qt.Check(t, b.access.Relies(life), qt.Equals, test.relies)
		})
	}
}

// TestAccessOutdated guards against a host that missed a change of the configuration before the store went down, and goes
// on with its keys because the others, which know the change, have no contact either.
func TestAccessOutdated(t *testing.T) {
	for name, test := range map[string]struct {
		knows   []int64 // of the other hosts, revisions of their configuration
		contact bool
	}{
		"same everywhere":  {[]int64{7, 7, 7, 7}, true},
		"others are older": {[]int64{5, 5, 0, 7}, true},
		"one is newer":     {[]int64{7, 9, 7, 7}, false},
		"all are newer":    {[]int64{9, 9, 9, 9}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAccessBench(t, len(test.knows))
			b.front.Faults().Replace(fault.Faults{Refuse: true})
			for n, r := range b.relays {
				r.away, r.knows = true, test.knows[n]
			}
			b.access.Configured(7)
			b.access.Confirm(0)
			b.now += proofAge
			_, err := b.access.Follow(context.Background(), "t", 1, 0)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, b.access.Silence() == 0, qt.Equals, test.contact, qt.Commentf("%v", b.access.Silence()))
		})
	}
}

// TestRelayAfterLoss guards against a host that tells others that it has no contact with the store because of a call that
// failed long ago: told by a holder, it makes no calls of its own that would show it otherwise. Others would take its word
// as a sign that the store is down for all.
func TestRelayAfterLoss(t *testing.T) {
	store, address := startStore(t)
	store.Put("t", "k", []byte("v"))
	h := New(config.Entry{Name: "self", Domain: "near", Store: address}, hclog.NewNullLogger())
	for name, test := range map[string]struct {
		since time.Duration // since the last call
		down  bool
		away  bool
	}{
		"long ago":       {2 * probePeriod, false, false},
		"just now":       {0, false, true},
		"long ago, down": {2 * probePeriod, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			store.Faults().Replace(fault.Faults{Refuse: test.down})
			h.store.away, h.store.probed = true, h.Now()-test.since
			read := h.readFor(t.Context(), &peer.ReadRequest{Header: &peer.Header{From: "other"}, Table: "t", Whole: true})
			qt.Check(t, read.GetAway(), qt.Equals, test.away)
			qt.Check(t, h.store.Away(), qt.Equals, test.away)
			h.store.away, h.store.probed = true, h.Now()-test.since
			written, err := h.writeFor(t.Context(), peer.RequestOf(table.Txn{Writes: []table.Write{{Key: "t/k", Value: []byte("v")}}}))
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, written.GetAway(), qt.Equals, test.away)
		})
	}
}

// TestAccessLargeFleet guards against a large fleet that stops serving keyed requests during a long outage of the store,
// because no host asks a majority in one round, and against an answer that counts for longer than it is true.
func TestAccessLargeFleet(t *testing.T) {
	for name, test := range map[string]struct {
		relays, away int
		contact      bool
	}{
		"store down":                {35, 35, true},
		"store down, some dead":     {35, 20, true},
		"store down, half are dead": {35, 17, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAccessBench(t, test.relays)
			b.front.Faults().Replace(fault.Faults{Refuse: true})
			for n, r := range b.relays {
				if r.away = n < test.away; !r.away {
					b.targets[n].Address = "127.0.0.1:1"
				}
			}
			b.access.Confirm(0)
			for range 30 {
				b.now += feedPauseLimit
				_, err := b.access.Follow(context.Background(), "t", 1, 0)
				qt.Assert(t, err, qt.IsNotNil)
			}
			qt.Check(t, b.access.Silence() <= trust, qt.Equals, test.contact, qt.Commentf("%v", b.access.Silence()))
			for n := range b.targets {
				b.targets[n].Address = "127.0.0.1:1"
			}
			before := b.access.Silence()
			for range 30 {
				b.now += feedPauseLimit
				_, err := b.access.Follow(context.Background(), "t", 1, 0)
				qt.Assert(t, err, qt.IsNotNil)
			}
			qt.Check(t, b.access.Silence() >= before+20*feedPauseLimit, qt.IsTrue, qt.Commentf("%v after %v", b.access.Silence(), before))
		})
	}
}

// TestAccessAfterReset guards against waiting for other hosts when only a connection was reset: the next call to the
// store is direct.
func TestAccessAfterReset(t *testing.T) {
	b := newAccessBench(t, 1)
	b.front.Put("t", "k", []byte("v"))
	b.targets[0].Address = "127.0.0.1:1"
	b.front.Faults().Replace(fault.Faults{Down: true})
	_, err := b.access.ReadAll(context.Background(), "t")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, b.access.Away(), qt.IsTrue)
	b.front.Faults().Replace(fault.Faults{})
	b.now += 100 * time.Millisecond
	_, err = b.access.ReadAll(context.Background(), "t")
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, b.access.Away(), qt.IsFalse)
}

// TestAccessProbes guards against calls to a store that is down at the pace of the feeds: every call is paid for.
func TestAccessProbes(t *testing.T) {
	b := newAccessBench(t, 0)
	b.front.Faults().Replace(fault.Faults{Refuse: true})
	direct := 0
	b.access.count = func(way string, _ error) {
		if way == "direct" {
			direct++
		}
	}
	for range 100 {
		_, _ = b.access.ReadAll(context.Background(), "t")
		b.now += 50 * time.Millisecond
	}
	qt.Check(t, direct <= 2+int(5*time.Second/probePeriod), qt.IsTrue, qt.Commentf("%d calls in five seconds", direct))
}

// TestAccessCommit guards against a write that is refused although another host can make it, and against saying that
// a write was not made when that isn't known.
func TestAccessCommit(t *testing.T) {
	txn := table.Txn{Compares: []table.Compare{{Key: "t/k"}}, Writes: []table.Write{{Key: "t/k", Value: []byte("v")}}}
	for name, test := range map[string]struct {
		faults fault.Faults
		away   bool
		want   error
	}{
		"direct":                          {fault.Faults{}, true, nil},
		"through another host":            {fault.Faults{Refuse: true}, false, nil},
		"refused, nobody has contact":     {fault.Faults{Refuse: true}, true, table.ErrNotSent},
		"answer lost, nobody has contact": {fault.Faults{LoseReply: 1}, true, table.ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAccessBench(t, 1)
			b.relays[0].away = test.away
			b.front.Faults().Replace(test.faults)
			result, err := b.access.Commit(context.Background(), txn)
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, result.Committed, qt.IsTrue)
				return
			}
			qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
