package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

// proxyLimit bounds a call to the store on behalf of another host, in addition to its wait there. The call goes on when
// the other host has given it up, because its result shows whether the store responds to this host.
const proxyLimit = 2 * time.Second

// knownTables are the tables of the store that hosts use. Calls for others are refused: a faulty host could make up names without end,
// which the metrics would keep, and the store's refusal would count as a loss of contact.
var knownTables = map[string]bool{platform.OperatorTable: true, platform.EndpointTable: true, fleetTable: true, leaseTable: true, streamTable: true}

// errUnknownTable is the response to a call for a table that is not known.
var errUnknownTable = twirp.InvalidArgumentError("table", "is not known")

// errRevisionsWithEras is the response to a host of an earlier version, which would take a revision with an era for a version of the
// store and wait until the store reaches it.
var errRevisionsWithEras = twirp.NewError(twirp.FailedPrecondition, "entry: revisions contain the era of the store")

// readForHost reads from the store on behalf of a host without contact with it.
func (h *Host) readForHost(ctx context.Context, r *peer.ReadRequest) (*peer.ReadResponse, error) {
	if !knownTables[r.GetTable()] {
		return nil, errUnknownTable
	}
	if !r.GetEras() {
		return nil, errRevisionsWithEras
	}
	revision, _ := h.store.ConfigState()
	noContactResponse := &peer.ReadResponse{Away: true, Revision: revision}
	wait := min(max(time.Duration(r.GetWait()), 0), maxRelayWait)
	if h.store.Unreachable() {
		wait = 0 // the call is a probe: one that waits could hang on a connection that broke with the store
	}
	if !h.store.allowDirect() {
		return noContactResponse, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+proxyLimit)
	defer cancel()
	var snapshot table.Snapshot
	var err error
	startedAt := h.Now()
	if r.GetWhole() {
		snapshot, err = h.store.store.ReadAll(ctx, r.GetTable())
	} else {
		snapshot, err = h.store.store.Follow(ctx, r.GetTable(), r.GetAfter(), wait)
	}
	h.store.countCall(readCall("proxied", r), err)
	h.store.recordCall(startedAt, err)
	snapshot, err = h.store.checkSnapshot(snapshot, err)
	switch {
	case errors.Is(err, table.ErrCompacted):
		return &peer.ReadResponse{Compacted: true}, nil
	case err != nil:
		h.log.Info("entry: unable to read from the store for another host", "host", r.GetHeader().GetFrom(), "table", r.GetTable(), "error", err)
		return noContactResponse, nil
	}
	return &peer.ReadResponse{Rows: peer.RowMessages(snapshot.Rows), Revision: snapshot.Revision, Clock: int64(snapshot.Clock)}, nil
}

// writeForHost commits a transaction on behalf of a host without contact with the store.
func (h *Host) writeForHost(ctx context.Context, r *peer.WriteRequest) (*peer.WriteResponse, error) {
	txn := peer.TxnFromRequest(r)
	if len(txn.Writes) == 0 {
		return nil, twirp.RequiredArgumentError("writes")
	}
	if !knownTables[writeCall("proxied", txn).table] {
		return nil, errUnknownTable
	}
	if h.store.isOutdated(txn) {
		return &peer.WriteResponse{Revision: table.RevisionAt(h.store.Era(), 0)}, nil
	}
	if !h.store.allowDirect() {
		return &peer.WriteResponse{Away: true}, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proxyLimit)
	defer cancel()
	result, err := h.commitForHost(ctx, txn)
	if errors.Is(err, table.ErrNotApplied) {
		return &peer.WriteResponse{Away: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peer.WriteResponse{Committed: result.Committed, Revision: result.Revision}, nil
}

// commitForHost commits a transaction of another host. Those of journals are merged.
func (h *Host) commitForHost(ctx context.Context, txn table.Txn) (table.Result, error) {
	if isJournal(txn) {
		return h.collecting.merged.Commit(ctx, txn)
	}
	startedAt := h.Now()
	result, err := h.store.store.Commit(ctx, txn)
	h.store.countCall(writeCall("proxied", txn), err)
	h.store.noteEra(result.Revision)
	h.store.recordCall(startedAt, err)
	return result, err
}
