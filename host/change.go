package host

import (
	"context"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/operator"
	"magnoliahoist/state"
	"magnoliahoist/table"
)

const (
	// acceptTimeout is how long an operator's call waits for its change to be accepted. After that, the response says
	// that the change is not accepted yet.
	acceptTimeout = 5 * time.Second
	// acceptPollInterval is how often awaitAccepted checks whether the change is accepted.
	acceptPollInterval = 20 * time.Millisecond
	// reannounceInterval is how often awaitAccepted announces the change again.
	reannounceInterval = 500 * time.Millisecond
)

// awaitAccepted reads a committed change, announces it to the other members and waits until it is accepted or
// acceptTimeout has passed. A revision of 0 stands for no change.
func (h *Host) awaitAccepted(ctx context.Context, revision int64) operator.Change {
	if revision == 0 {
		return operator.Change{}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if err := h.readChangesUpTo(ctx, revision); err != nil {
		h.log.Warn("host: unable to read the committed change", "revision", revision, "error", err)
	}
	h.announceAll(revision)
	announcedAt := h.Now()
	for {
		change := h.changeProgress(revision)
		if change.Accepted {
			h.recordAccepted(revision)
			return change
		}
		if h.Now()-announcedAt > reannounceInterval {
			h.announceAll(revision)
			announcedAt = h.Now()
		}
		select {
		case <-ctx.Done():
			return change
		case <-time.After(acceptPollInterval):
		}
	}
}

// changeProgress returns whether a change is accepted and how many members have applied it.
func (h *Host) changeProgress(revision int64) operator.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	localReplica := h.state.Replica()
	applied, members := localReplica.CountApplied(revision)
	return operator.Change{Revision: revision, Accepted: localReplica.Accepted(revision), Applied: applied, Members: members}
}

// Change returns whether a change is accepted and how many members have applied it. If some have not, it announces
// the change to all members again. The error is operator.ErrNotFound for a revision that this host has not applied.
func (h *Host) Change(ctx context.Context, revision int64) (operator.Change, error) {
	if revision > h.View().Revision() {
		return operator.Change{}, operator.ErrNotFound
	}
	change := h.changeProgress(revision)
	if !change.Accepted || change.Applied < change.Members {
		h.announceAll(revision)
	}
	return change, nil
}

// announceAll announces a revision to every other member.
func (h *Host) announceAll(revision int64) {
	for _, member := range h.View().Members() {
		if member.ID != h.id {
			h.spawn(func(ctx context.Context) {
				h.announce(ctx, state.Announce{Member: member.ID, Address: member.Address, Revision: revision})
			})
		}
	}
}

// announce tells a member that the shared state has reached a revision, and records which revision the member has applied.
func (h *Host) announce(ctx context.Context, e state.Announce) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	response, err := h.peers.Announce(ctx, peerTarget(e.Member, e.Address), h.peerSender(), e.Revision)
	h.recordMemberCall(e.Member, err)
	if err != nil {
		return
	}
	h.advanceClock(response.GetReply().GetStamp())
	h.Apply(state.RevisionApplied{Member: e.Member, Revision: response.GetApplied()})
}

// commit writes a conditional change of the shared state and reports the result to the state machine. If the result is
// unknown it reports nothing: a later read of the row shows whether the change took effect.
func (h *Host) commit(ctx context.Context, e state.Commit) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	result, err := h.table.Commit(ctx, e.Txn)
	if err != nil {
		h.log.Debug("host: unable to commit a change of the shared state", "row", e.Key, "error", err)
		return
	}
	if result.Committed {
		h.recordCommit(e.Key, result.Revision)
	}
	if err := h.readChanges(ctx); err != nil {
		h.log.Debug("host: unable to read the committed change", "row", e.Key, "error", err)
	}
	h.Apply(state.CommitFinished{Key: e.Key, Result: result})
}

// readChanges reads the new changes from the table service immediately, without waiting for the next poll. The
// error wraps operator.ErrRefused.
func (h *Host) readChanges(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := h.readTable(ctx, state.ReadTable{After: h.View().Revision()}); err != nil {
		return errors.Annotate(operator.ErrRefused, "host: unable to reach the table service")
	}
	return nil
}

// readChangesUpTo reads the changes from the table service if the host has not applied the revision yet.
func (h *Host) readChangesUpTo(ctx context.Context, revision int64) error {
	if h.View().Revision() >= revision {
		return nil
	}
	return h.readChanges(ctx)
}

// readRow reads one row from the table service. It returns false if the row does not exist.
func (h *Host) readRow(ctx context.Context, key string) (table.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	snapshot, err := h.table.Read(ctx, key, 0)
	if err != nil {
		return table.Row{}, false, err
	}
	for _, row := range snapshot.Rows {
		if row.Key == key {
			return row, true, nil
		}
	}
	return table.Row{}, false, nil
}
