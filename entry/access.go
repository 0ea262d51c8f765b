package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

const (
	// probePeriod is the time between two calls to a store that did not answer; every call is paid for, refused
	// ones too.
	probePeriod = 700 * time.Millisecond
	// commitTimeout bounds a write, so that a holder can renew its lease through another host in time.
	commitTimeout = 600 * time.Millisecond
	// relayWait bounds the wait of a call for changes that goes through another host. The store may turn that host
	// away meanwhile, or serve this one again.
	relayWait = 700 * time.Millisecond
	// relayPeers is how many hosts are asked in one round at least, and relayShare the part of them in a large fleet: a
	// majority is asked in eight rounds, which are at most 0.8 s apart, before its oldest answer is older than trust.
	relayPeers = 7
	relayShare = 1.0 / 16
)

// access is the host's way to the store: directly, or through another host while the store turns this one away.
type access struct {
	store *platform.Store
	peers func() (*peer.Client, []peer.Target) // other hosts, in a fixed order
	self  peer.Sender
	now   func() time.Duration
	count func(way string, err error) // of calls
	trust time.Duration               // age of the proof from which on keys are not relied on

	mu     sync.Mutex
	away   bool          // the last direct call failed
	probed time.Duration // last direct call while away
	first  int           // host that is asked first
	heard  time.Duration // until when the configuration is known to be current
	clock  storeClock
	agreed agreement
	config int64         // revision of the newest configuration that was read
	shown  time.Duration // store's clock when that was last shown to be the newest; 0 when it never was
	fed    time.Duration // the same by the host's clock, as holders of leases told
}

// Away reports whether the store does not answer this host.
func (a *access) Away() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.away
}

// Confirm takes the store's clock at an answer that showed the configuration, after the configuration is in force; 0
// when the clock isn't known. An answer may have been on its way for long while a link was silent, so that the time of
// its arrival says nothing. Answers of other tables say nothing either.
func (a *access) Confirm(clock time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if clock == 0 {
		a.heard = now
		return
	}
	a.clock.take(now, clock)
	a.shown = clock
	at, _ := a.clock.local(clock)
	a.heard = max(a.heard, at)
}

// Current returns the revision of the newest configuration that was read, 0 when there is none, and the store's clock when
// that was shown to be the newest; 0 when it never was.
func (a *access) Current() (int64, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config, a.shown
}

// Told takes the same from the holder of a lease and reports whether there is a newer configuration to be read. The date
// counts as a proof like an answer of the store, however it came.
func (a *access) Told(revision int64, clock time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > a.config {
		return true
	}
	at, known := a.clock.local(clock)
	if known && revision == a.config {
		at = min(at, a.now())
		a.heard, a.fed = max(a.heard, at), max(a.fed, at)
	}
	return false
}

// Relies returns for how long the host may rely on what holders told of the configuration, for a life from its date.
func (a *access) Relies(life time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fed == 0 {
		return 0
	}
	return max(a.fed+life-a.now(), 0)
}

// Local returns the host's time of a time on the store's clock, and false while that is not known.
func (a *access) Local(clock time.Duration) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.local(clock)
}

// Silence returns how long the host has had no proof that its configuration is current: neither from the store, through
// whichever host, nor from a majority of hosts without contact to it. What it knows of keys and routes may be outdated
// by as much.
func (a *access) Silence() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now() - a.heard
}

// Configured takes the revision of a configuration that was read, after it is in force.
func (a *access) Configured(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.config = max(a.config, revision)
}

// direct reports whether the store may be called now: always after a call that was answered, and after one that was not
// once in probePeriod. A host that makes no calls of its own must not pass on what an old call showed.
func (a *access) direct() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.away {
		return true
	}
	if a.now()-a.probed < probePeriod {
		return false
	}
	a.probed = a.now()
	return true
}

// note takes the result of a direct call.
func (a *access) note(err error) {
	a.count("direct", err)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil || errors.Is(err, table.ErrCompacted) {
		a.away = false
		return
	}
	if !a.away {
		a.away, a.probed = true, a.now()-probePeriod // a connection may have been reset only: the next call is direct
	}
}

// ReadAll returns all rows of a table. The error is table.ErrUnavailable.
func (a *access) ReadAll(ctx context.Context, name string) (table.Snapshot, error) {
	err := error(table.ErrUnavailable)
	if a.direct() {
		var snapshot table.Snapshot
		snapshot, err = a.store.ReadAll(ctx, name)
		if a.note(err); err == nil {
			return snapshot, nil
		}
	}
	return a.relayRead(ctx, &peer.ReadRequest{Table: name, Whole: true}, err)
}

// Follow returns the rows that were changed after a revision. Errors are table.ErrCompacted and table.ErrUnavailable.
func (a *access) Follow(ctx context.Context, name string, after int64, wait time.Duration) (table.Snapshot, error) {
	err := error(table.ErrUnavailable)
	if a.direct() {
		var snapshot table.Snapshot
		snapshot, err = a.store.Follow(ctx, name, after, wait)
		if a.note(err); err == nil || errors.Is(err, table.ErrCompacted) {
			return snapshot, err
		}
	}
	return a.relayRead(ctx, &peer.ReadRequest{Table: name, After: after, Wait: int64(min(wait, relayWait))}, err)
}

// Commit applies a transaction. Errors are table.ErrNotSent and table.ErrUnknown.
func (a *access) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	err := error(table.ErrNotSent)
	if a.direct() {
		var result table.Result
		short, cancel := context.WithTimeout(ctx, commitTimeout)
		result, err = a.store.Commit(short, txn)
		cancel()
		if a.note(err); err == nil {
			return result, nil
		}
	}
	return a.relayCommit(ctx, txn, err)
}

// relayRead asks other hosts in turn until one has an answer of the store. Without one, the error is that given.
func (a *access) relayRead(ctx context.Context, request *peer.ReadRequest, failed error) (table.Snapshot, error) {
	var snapshot table.Snapshot
	var compacted error
	done := a.round(func(client *peer.Client, to peer.Target) standing {
		answer, err := client.Read(ctx, to, a.self, request)
		switch {
		case err != nil:
			return unknown
		case answer.GetAway():
			a.agreed.know(answer.GetRevision())
			return away
		case answer.GetCompacted():
			compacted = errors.Annotate(table.ErrCompacted, "entry: unable to follow a table through another host")
		}
		snapshot = table.Snapshot{Rows: peer.TableRows(answer.GetRows()), Revision: answer.GetRevision(), Clock: time.Duration(answer.GetClock())}
		return served
	})
	a.count("relayed", notDone(done))
	if !done {
		return table.Snapshot{}, failed
	}
	return snapshot, compacted
}

// relayCommit has another host write a transaction. Writes are conditional, or put what is the same however often it
// is put, so that one whose result is unknown may be tried through the next host.
func (a *access) relayCommit(ctx context.Context, txn table.Txn, failed error) (table.Result, error) {
	var result table.Result
	done := a.round(func(client *peer.Client, to peer.Target) standing {
		answer, err := client.Write(ctx, to, a.self, peer.RequestOf(txn))
		switch {
		case err != nil:
			return unknown
		case answer.GetAway():
			return away
		}
		result = table.Result{Committed: answer.GetCommitted(), Revision: answer.GetRevision()}
		return served
	})
	a.count("relayed", notDone(done))
	if !done {
		return table.Result{}, failed
	}
	return result, nil
}

// notDone returns an error for a round in which no host had contact.
func notDone(done bool) error {
	if done {
		return nil
	}
	return table.ErrUnavailable
}

// standing is how another host stands to the store.
type standing int

// Standings of a host that was asked.
const (
	unknown standing = iota // it did not answer
	served                  // the store answers it
	away                    // it has no contact either
)

// round asks other hosts until one is served; the next round goes on with those that were not asked.
func (a *access) round(ask func(client *peer.Client, to peer.Target) standing) bool {
	client, targets := a.peers()
	if client == nil {
		return false
	}
	a.mu.Lock()
	first := a.first
	a.mu.Unlock()
	count := min(len(targets), max(relayPeers, int(relayShare*float64(len(targets)))))
	for n := range count {
		at := (first + n) % len(targets)
		began := a.now()
		got := ask(client, targets[at])
		a.agreed.take(targets[at].ID, got, began)
		if got == served {
			a.setFirst(at)
			return true
		}
	}
	a.setFirst(first + count)
	a.prolong(targets)
	return false
}

func (a *access) setFirst(at int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.first = at
}

// prolong takes the word of a majority without contact: nothing can have been changed as far as can be known. A host
// that was without proof for longer than it relies on one may have missed changes, and so may all that agree with it. One
// that lacks a change that another host knows has missed it.
func (a *access) prolong(others []peer.Target) {
	now := a.now()
	at, agreed := a.agreed.date(now, others)
	known := a.agreed.known()
	a.mu.Lock()
	defer a.mu.Unlock()
	if agreed && now-a.heard <= a.trust && known <= a.config {
		a.heard = max(a.heard, at)
	}
}

// targets returns the client for other hosts and their addresses in the order of their names.
func (h *Host) targets() (*peer.Client, []peer.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []peer.Target
	for _, name := range slices.Sorted(maps.Keys(h.fleet.members)) {
		if m := h.fleet.members[name]; m.ID != h.fleet.self.ID {
			list = append(list, peer.Target{ID: m.ID, Address: m.Address})
		}
	}
	return h.fleet.client, list
}

// readFor makes a reading call to the store for a host that the store turns away.
func (h *Host) readFor(ctx context.Context, r *peer.ReadRequest) *peer.ReadResponse {
	revision, _ := h.store.Current()
	without := &peer.ReadResponse{Away: true, Revision: revision}
	if !h.store.direct() {
		return without
	}
	var snapshot table.Snapshot
	var err error
	if r.GetWhole() {
		snapshot, err = h.store.store.ReadAll(ctx, r.GetTable())
	} else {
		snapshot, err = h.store.store.Follow(ctx, r.GetTable(), r.GetAfter(), min(time.Duration(r.GetWait()), relayWait))
	}
	h.store.note(err)
	switch {
	case errors.Is(err, table.ErrCompacted):
		return &peer.ReadResponse{Compacted: true}
	case err != nil:
		h.log.Info("entry: unable to read for another host", "host", r.GetHeader().GetFrom(), "table", r.GetTable(), "error", err)
		return without
	}
	return &peer.ReadResponse{Rows: peer.RowsOf(snapshot.Rows), Revision: snapshot.Revision, Clock: int64(snapshot.Clock)}
}

// writeFor makes a write for a host that the store turns away.
func (h *Host) writeFor(ctx context.Context, r *peer.WriteRequest) (*peer.WriteResponse, error) {
	if !h.store.direct() {
		return &peer.WriteResponse{Away: true}, nil
	}
	result, err := h.store.store.Commit(ctx, peer.TxnOf(r))
	h.store.note(err)
	if errors.Is(err, table.ErrNotSent) {
		return &peer.WriteResponse{Away: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peer.WriteResponse{Committed: result.Committed, Revision: result.Revision}, nil
}
