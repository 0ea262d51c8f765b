package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/peer"
	"magnoliahoist/table"
)

const (
	// readLimit bounds a read while the store does not respond directly. It is above the time that a call through a host
	// with contact may take, including its wait at the store.
	readLimit = 1500 * time.Millisecond
	// wholeReadLimit bounds the direct read of a whole table, which may take several calls.
	wholeReadLimit = 4 * time.Second
	// writeLimit bounds a write. A lease holder that renews its lease every 0.8 s still notices within the 1.8 s for
	// which it holds the lease that the renewal failed.
	writeLimit = 1700 * time.Millisecond
)

// tableRead describes a read of a table.
type tableRead struct {
	table string
	whole bool          // all rows, instead of those that changed after a revision
	after int64         // revision
	wait  time.Duration // how long a call for changes may wait at the store
}

// ReadAll returns all rows of a table. The error is table.ErrUnavailable.
func (a *storeAccess) ReadAll(ctx context.Context, name string) (table.Snapshot, error) {
	return a.Read(ctx, tableRead{table: name, whole: true})
}

// Follow returns the rows that changed after a revision. The errors are table.ErrCompacted and table.ErrUnavailable.
func (a *storeAccess) Follow(ctx context.Context, name string, after int64, wait time.Duration) (table.Snapshot, error) {
	return a.Read(ctx, tableRead{table: name, after: after, wait: wait})
}

// Read reads from the store directly and, if it does not respond, directly and through other hosts at the same time. The
// errors are table.ErrCompacted and table.ErrUnavailable.
func (a *storeAccess) Read(ctx context.Context, r tableRead) (table.Snapshot, error) {
	return a.checkSnapshot(a.read(ctx, r))
}

func (a *storeAccess) read(ctx context.Context, r tableRead) (table.Snapshot, error) {
	directErr := error(table.ErrUnavailable)
	if !a.Unreachable() {
		snapshot, err := a.readReachable(ctx, r)
		if err == nil || errors.Is(err, table.ErrCompacted) || ctx.Err() != nil {
			return snapshot, err
		}
		directErr = err
	}
	client, hosts := a.relayRound()
	return a.readAnyWay(ctx, r, readLimit, client, hosts, directErr)
}

// ReadDirectly reads from the store directly within the limit, as often as contactState allows. The errors are
// table.ErrCompacted and table.ErrUnavailable.
func (a *storeAccess) ReadDirectly(ctx context.Context, r tableRead, limit time.Duration) (table.Snapshot, error) {
	return a.checkSnapshot(a.readAnyWay(ctx, r, limit, nil, nil, table.ErrUnavailable))
}

// readReachable makes a direct call, which may wait at the store. It gives the call up when the store responds to another
// call after an outage, or in a later era: this one may hang on a connection that broke with the store.
func (a *storeAccess) readReachable(ctx context.Context, r tableRead) (table.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	eraEnd := a.eraEnd()
	go func() {
		for {
			_, regained := a.contact()
			select {
			case <-ctx.Done():
				return
			case <-eraEnd:
				cancel()
				return
			case <-regained:
			}
			if a.outageWasLong() {
				cancel()
			}
		}
	}()
	return a.readStore(ctx, r)
}

func (a *storeAccess) outageWasLong() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastOutage >= minOutage
}

// readStore makes a direct call and records its result.
func (a *storeAccess) readStore(ctx context.Context, r tableRead) (snapshot table.Snapshot, err error) {
	kind := "follow"
	if r.whole {
		kind = "read"
		bounded, cancel := context.WithTimeout(ctx, wholeReadLimit)
		defer cancel()
		ctx = bounded
	}
	err = a.callDirect(ctx, storeCall{"direct", kind, r.table}, func() (err error) {
		if r.whole {
			snapshot, err = a.store.ReadAll(ctx, r.table)
		} else {
			snapshot, err = a.store.Follow(ctx, r.table, r.after, r.wait)
		}
		return err
	})
	return snapshot, err
}

// readResult is the result of one call of a read.
type readResult struct {
	direct   bool
	snapshot table.Snapshot
	err      error // nil and table.ErrCompacted are responses of the store
}

// readAnyWay carries out a readPlan: the first response of the store wins, and relayed calls in progress are cancelled.
// If there is none within the limit, it returns directErr. A direct call in progress is left to end by itself: it is
// paid for, and its response may be the first sign that the store responds again.
func (a *storeAccess) readAnyWay(ctx context.Context, r tableRead, limit time.Duration, client *peer.Client, hosts []relayHost, directErr error) (table.Snapshot, error) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	results := make(chan readResult, maxReadProbes+len(hosts))
	plan := readPlan{hosts: hosts, wait: min(r.wait, maxRelayWait)}
	description := storeCall{"relayed", "follow", r.table}
	if r.whole {
		description.kind = "read"
	}
	for {
		contact, regained := a.contact()
		now := a.now()
		step := plan.next(now, contact)
		switch {
		case step.done:
			return a.readFailed(description, client, directErr)
		case step.probe:
			if a.allowDirect() {
				plan.probeStarted(now)
				go a.probe(ctx, r, results)
			}
			continue
		case step.ask:
			host, wait := plan.askStarted(now)
			go a.readThrough(limited, client, host, r, wait, results)
			continue
		}
		var wake <-chan time.Time
		if step.wake > 0 {
			timer := time.NewTimer(step.wake - now)
			defer timer.Stop()
			wake = timer.C
		}
		select {
		case <-limited.Done():
			if ctx.Err() == context.Canceled {
				return table.Snapshot{}, directErr // the host stops
			}
			return a.readFailed(description, client, directErr)
		case <-regained:
		case <-wake:
		case result := <-results:
			if result.err == nil || errors.Is(result.err, table.ErrCompacted) {
				if !result.direct {
					a.countCall(description, nil)
				}
				return result.snapshot, result.err
			}
			if result.direct {
				plan.probeEnded()
				directErr = result.err
			} else {
				plan.askEnded()
			}
		}
	}
}

// readFailed ends a read to which no response of the store came, neither directly nor through another host.
func (a *storeAccess) readFailed(description storeCall, client *peer.Client, directErr error) (table.Snapshot, error) {
	if client != nil {
		a.countCall(description, table.ErrUnavailable)
		_, others := a.otherHosts()
		a.confirmByMajority(others)
	}
	return table.Snapshot{}, directErr
}

// probe makes a direct call that does not wait at the store, and sends the result.
func (a *storeAccess) probe(ctx context.Context, r tableRead, results chan<- readResult) {
	r.wait = 0
	snapshot, err := a.readStore(ctx, r)
	results <- readResult{true, snapshot, err}
}

// readThrough reads through another host and sends the result.
func (a *storeAccess) readThrough(ctx context.Context, client *peer.Client, host relayHost, r tableRead, wait time.Duration, results chan<- readResult) {
	result := readResult{err: table.ErrUnavailable}
	a.askHost(ctx, host, func() storeContact {
		request := &peer.ReadRequest{Table: r.table, Whole: r.whole, After: r.after, Wait: int64(wait), Eras: true}
		response, err := client.Read(ctx, host.Target, a.self, request)
		switch {
		case err != nil:
			return contactUnknown
		case response.GetAway():
			a.outage.addRevision(response.GetRevision())
			return noContact
		case response.GetCompacted():
			result.err = errors.Annotate(table.ErrCompacted, "entry: unable to follow a table through another host")
		default:
			result.err = nil
		}
		result.snapshot = table.Snapshot{Rows: peer.RowsFromMessages(response.GetRows()), Revision: response.GetRevision(), Clock: time.Duration(response.GetClock())}
		return hasContact
	})
	results <- result
}

// Commit applies a transaction. The errors are table.ErrNotApplied and table.ErrOutcomeUnknown.
func (a *storeAccess) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	err := error(table.ErrNotApplied)
	if a.isOutdated(txn) {
		return table.Result{}, errors.Annotate(err, "entry: conditions are from before the store was restored")
	}
	if a.allowDirect() {
		var result table.Result
		if result, err = a.commitDirect(ctx, txn); err == nil {
			return result, nil
		}
	}
	return a.relayCommit(ctx, txn, err)
}

func (a *storeAccess) commitDirect(ctx context.Context, txn table.Txn) (result table.Result, err error) {
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err = a.callDirect(bounded, writeCall("direct", txn), func() (err error) {
		result, err = a.store.Commit(bounded, txn)
		return err
	})
	a.noteEra(result.Revision)
	return result, err
}

// relayCommit commits a transaction through another host, and directly once the store responds to this host again. Every
// write is either conditional or idempotent, so a write with an unknown result may be retried through the next host, but
// hosts are asked one at a time: of two calls at once, the second could report that the write did not take effect. For the
// same reason, a condition that does not hold after a try without a result leaves the outcome unknown. If no host relays
// the write, relayCommit returns directErr, or table.ErrOutcomeUnknown if a host did not respond.
func (a *storeAccess) relayCommit(ctx context.Context, txn table.Txn, directErr error) (table.Result, error) {
	client, hosts := a.relayRound()
	for _, host := range hosts {
		if ctx.Err() != nil {
			break
		}
		if a.isOutdated(txn) {
			return table.Result{}, directErr
		}
		if !a.Unreachable() {
			result, err := a.commitDirect(ctx, txn)
			if err == nil {
				return settled(result, directErr)
			}
			directErr = moreUncertain(directErr, err)
		}
		var result table.Result
		relayed := a.askHost(ctx, host, func() storeContact {
			response, err := client.Write(ctx, host.Target, a.self, peer.NewWriteRequest(txn))
			switch {
			case err != nil:
				directErr = moreUncertain(directErr, errors.WithType(errors.Annotate(err, "entry: unable to write through another host"), table.ErrOutcomeUnknown))
				return contactUnknown
			case response.GetAway():
				return noContact
			}
			result = table.Result{Committed: response.GetCommitted(), Revision: response.GetRevision()}
			a.noteEra(result.Revision)
			return hasContact
		})
		if relayed {
			a.countCall(writeCall("relayed", txn), nil)
			return settled(result, directErr)
		}
	}
	if client != nil {
		a.countCall(writeCall("relayed", txn), table.ErrUnavailable)
		_, others := a.otherHosts()
		a.confirmByMajority(others)
	}
	return table.Result{}, directErr
}

// settled returns the result of a write whose earlier tries ended with err. If a try may have taken effect, a condition
// that does not hold now may have held then.
func settled(result table.Result, err error) (table.Result, error) {
	if !result.Committed && errors.Is(err, table.ErrOutcomeUnknown) {
		return table.Result{}, err
	}
	return result, nil
}

// moreUncertain returns the error of two tries of a write: the later one, unless only the earlier one may have taken effect.
func moreUncertain(earlier, later error) error {
	if errors.Is(earlier, table.ErrOutcomeUnknown) {
		return earlier
	}
	return later
}

// relayRound returns the client for other hosts and the hosts to ask, in order; nil if the client is not known yet.
func (a *storeAccess) relayRound() (*peer.Client, []relayHost) {
	client, others := a.otherHosts()
	if client == nil {
		return nil, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.relays == nil {
		a.relays = relayRecords{}
	}
	return client, a.relays.round(others)
}

// askHost asks a host and records the result, unless the call was cancelled before the host had the time to respond. It
// reports whether the store responded to the host.
func (a *storeAccess) askHost(ctx context.Context, host relayHost, call func() storeContact) bool {
	startedAt := a.now()
	a.mu.Lock()
	a.relays.ask(host.ID, startedAt)
	a.mu.Unlock()
	contact := call()
	if contact == contactUnknown && ctx.Err() != nil {
		return false
	}
	a.outage.record(host.ID, contact, startedAt)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relays.answer(host.ID, contact)
	return contact == hasContact
}
