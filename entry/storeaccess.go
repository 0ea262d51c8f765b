package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

const (
	// commitTimeout bounds a direct write, so that a lease holder still has time to renew its lease through another
	// host.
	commitTimeout = 600 * time.Millisecond
	// maxThrottledTries is how often a call is made that the store refuses because of its rate; throttledPause is the mean
	// pause in between. All tries together fit into commitTimeout.
	maxThrottledTries = 4
	throttledPause    = 120 * time.Millisecond
	// maxRelayWait bounds how long a relayed call for changes may wait at the store. In the meantime the store may stop
	// responding to the relaying host or respond to this host again.
	maxRelayWait = 700 * time.Millisecond
)

// storeAccess calls the store directly, or through another host while the store does not respond to this one. It also
// tracks until when the configuration was confirmed to be current. It is safe for concurrent use.
type storeAccess struct {
	store      *platform.Store
	otherHosts func() (*peer.Client, []peer.Target) // client and the other hosts, in a fixed order
	self       peer.Sender
	now        func() time.Duration
	countCall  func(call storeCall, err error) // counts a call and its result
	onRestored func(before, era int64)         // called when the store has come back from a backup
	maxSilence time.Duration                   // setting "trust": without confirmation for longer, API keys are no longer accepted

	mu sync.Mutex
	contactState
	regained        chan struct{} // closed when the store responds again after a failed call; nil if nobody waits for it
	relays          relayRecords
	lastOutage      time.Duration // how long the store was unreachable the last time
	currentAt       time.Duration // latest time at which the configuration was confirmed to be current
	clock           storeClock
	outage          outageReports
	era             int64         // newest era of the store in a response; 0 if there was none
	restored        chan struct{} // closed when the era rises; nil if nobody waits for it
	operatorReads   operatorReads
	configRevision  int64         // revision of the newest change of the operator table that was read
	configClock     time.Duration // the store's clock at the latest confirmation that configRevision is the newest; 0 before the first
	holderCurrentAt time.Duration // latest time, by the host's clock, at which a lease holder confirmed the configuration
}

// storeCall describes a call to the store for the metrics.
type storeCall struct {
	way   string // "direct", "relayed" by another host, or "proxied" for another host
	kind  string // "read", "follow" or "write"
	table string
}

// readCall describes a read on behalf of or through another host.
func readCall(way string, request *peer.ReadRequest) storeCall {
	if request.GetWhole() {
		return storeCall{way, "read", request.GetTable()}
	}
	return storeCall{way, "follow", request.GetTable()}
}

// writeCall describes a transaction, by the table of its first row.
func writeCall(way string, txn table.Txn) storeCall {
	name, _, _ := strings.Cut(txn.Writes[0].Key, "/")
	return storeCall{way, "write", name}
}

// Unreachable reports whether the last direct call to the store failed.
func (a *storeAccess) Unreachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreachable
}

// ConfirmConfig records that the configuration in force was current at the given time on the store's clock. Call it once the
// configuration that the response contained is in force. A clock of 0 means that the store's clock is unknown; the time
// of the call then counts. The arrival time of a response proves nothing, because a stalled link can delay it for long,
// and responses about other tables prove nothing about the configuration.
func (a *storeAccess) ConfirmConfig(clock time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if clock == 0 {
		a.currentAt = now
		return
	}
	a.clock.observe(now, clock)
	a.configClock = clock
	at, _ := a.clock.localTime(clock)
	a.currentAt = max(a.currentAt, at)
}

// ConfigState returns the revision of the newest configuration that was read, or 0 if there is none, and the store's clock
// when that revision was last confirmed to be the newest, or 0 if it never was.
func (a *storeAccess) ConfigState() (int64, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.configRevision, a.configClock
}

// ConfirmFromHolder records the revision and confirmation time that a lease holder reports for its configuration, and reports
// whether that revision is newer than what was read here. If no change is missing here, the time counts as a confirmation,
// like a response of the store, however long the report took to arrive.
func (a *storeAccess) ConfirmFromHolder(revision int64, clock time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > max(a.operatorReads.complete, a.configRevision) {
		return true
	}
	at, known := a.clock.localTime(clock)
	if known && revision >= a.configRevision {
		a.learnBound(revision, clock)
		at = min(at, a.now())
		a.currentAt, a.holderCurrentAt = max(a.currentAt, at), max(a.holderCurrentAt, at)
	}
	return false
}

// HolderValidFor returns how much longer the host may rely on lease holders to report configuration changes. Each report is
// valid for the given duration from its confirmation time.
func (a *storeAccess) HolderValidFor(validity time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holderCurrentAt == 0 {
		return 0
	}
	return max(a.holderCurrentAt+validity-a.now(), 0)
}

// LocalTime converts a time on the store's clock to the host's clock. It returns false while the store's clock is unknown.
func (a *storeAccess) LocalTime(clock time.Duration) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.localTime(clock)
}

// Silence returns the time since the configuration was last confirmed to be current, by the store (directly or through
// another host), by a lease holder, or by a majority of hosts that have no contact with the store. The keys and routes
// known here may be outdated by that much.
func (a *storeAccess) Silence() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now() - a.currentAt
}

// SetConfigRevision records the revision of a configuration that was read. Call it once that configuration is in force.
func (a *storeAccess) SetConfigRevision(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configRevision = max(a.configRevision, revision)
}

// allowDirect reports whether the store may be called directly now, and records the time of a call that is made although
// the last one failed. Relaying for other hosts uses it too, because a host that makes no calls of its own must not report
// the result of an old call.
func (a *storeAccess) allowDirect() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if !a.mayCall(now) {
		return false
	}
	if a.unreachable {
		a.lastProbe = now
	}
	return true
}

// contact returns the state of the direct contact with the store, and a channel that is closed when the store responds
// again after a failed call.
func (a *storeAccess) contact() (contactState, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.regained == nil {
		a.regained = make(chan struct{})
	}
	return a.contactState, a.regained
}

// recordCall records the result of a direct call that began at startedAt.
func (a *storeAccess) recordCall(startedAt time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil && !errors.Is(err, table.ErrCompacted) {
		a.fail(startedAt, a.now())
		return
	}
	outage := a.succeed(a.now())
	if outage == 0 {
		return
	}
	a.lastOutage = outage
	if a.regained != nil {
		close(a.regained)
		a.regained = nil
	}
}

// callDirect calls the store directly and records the result. A call that the store refuses because of its rate is made
// again a few times, after random pauses: hundreds of hosts that start or recover together exceed the rate for a moment, and
// if they took the store for unreachable, each would call it through several others as well. A call that this host
// cancels says nothing about the store.
func (a *storeAccess) callDirect(ctx context.Context, description storeCall, call func() error) error {
	tries := maxThrottledTries
	if a.Unreachable() {
		tries = 1 // the store may refuse this host alone
	}
	for try := 1; ; try++ {
		startedAt := a.now()
		err := call()
		a.countCall(description, err)
		if ctx.Err() == context.Canceled && err != nil {
			return err
		}
		if try == tries || !errors.Is(err, table.ErrThrottled) {
			a.recordCall(startedAt, err)
			return err
		}
		timer := time.NewTimer(throttledPause/2 + rand.N(throttledPause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			a.recordCall(startedAt, err)
			return err
		}
	}
}

// confirmByMajority counts the configuration as current if a majority of hosts has no contact with the store: as far as
// can be known, nothing can have changed. It does not do so if this host's last confirmation is older than maxSilence,
// because this host and all hosts of the majority may have missed changes, or if another host knows a newer revision.
func (a *storeAccess) confirmByMajority(others []peer.Target) {
	now := a.now()
	noContactAt, majority := a.outage.majorityTime(now, others)
	newest := a.outage.newestRevision()
	a.mu.Lock()
	defer a.mu.Unlock()
	if majority && now-a.currentAt <= a.maxSilence && newest <= a.configRevision {
		a.currentAt = max(a.currentAt, noContactAt)
	}
}

// otherHosts returns the client for other hosts and their addresses in the order of their names. The client is nil
// until the fleet's secret is known.
func (h *Host) otherHosts() (*peer.Client, []peer.Target) {
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
