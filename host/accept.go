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
	// acceptTimeout is how long an operator's call waits for acceptance before it is answered as pending.
	acceptTimeout = 5 * time.Second
	acceptPoll    = 20 * time.Millisecond
	announceAgain = 500 * time.Millisecond
)

// await learns of a committed revision, announces it and waits until it is accepted.
func (h *Host) await(ctx context.Context, revision int64) operator.Change {
	if revision == 0 {
		return operator.Change{}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if err := h.learnUpTo(ctx, revision); err != nil {
		h.log.Warn("host: unable to read own change", "revision", revision, "error", err)
	}
	h.announceAll(revision)
	announced := h.Now()
	for {
		change := h.change(revision)
		if change.Accepted {
			h.recordChange(revision)
			return change
		}
		if h.Now()-announced > announceAgain {
			h.announceAll(revision)
			announced = h.Now()
		}
		select {
		case <-ctx.Done():
			return change
		case <-time.After(acceptPoll):
		}
	}
}

// change says how far a change has come.
func (h *Host) change(revision int64) operator.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := h.state.Replica()
	applied, members := copied.Progress(revision)
	return operator.Change{Revision: revision, Accepted: copied.Accepted(revision), Applied: applied, Members: members}
}

// Change says how far a change has come, and asks the members that have not answered yet.
func (h *Host) Change(ctx context.Context, revision int64) (operator.Change, error) {
	if revision > h.View().Revision() {
		return operator.Change{}, operator.ErrMissing
	}
	change := h.change(revision)
	if !change.Accepted || change.Applied < change.Members {
		h.announceAll(revision)
	}
	return change, nil
}

// announceAll tells every other member of a revision.
func (h *Host) announceAll(revision int64) {
	for _, member := range h.View().Members() {
		if member.ID != h.id {
			h.run(func(ctx context.Context) {
				h.announce(ctx, state.Announce{Member: member.ID, Address: member.Address, Revision: revision})
			})
		}
	}
}

// announce tells a member of a revision and records what it has applied.
func (h *Host) announce(ctx context.Context, e state.Announce) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	answer, err := h.peers.Announce(ctx, target(e.Member, e.Address), h.sender(), e.Revision)
	h.sawMember(e.Member, err)
	if err != nil {
		return
	}
	h.observe(answer.GetReply().GetStamp())
	h.Apply(state.Acked{Member: e.Member, Revision: answer.GetApplied()})
}

// commit carries out a conditional change; when the outcome is unknown, the row shows it later.
func (h *Host) commit(ctx context.Context, e state.Commit) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	result, err := h.table.Commit(ctx, e.Txn)
	if err != nil {
		h.log.Debug("host: unable to commit", "row", e.Key, "error", err)
		return
	}
	if result.Committed {
		h.recordCommit(e.Key, result.Revision)
	}
	if err := h.learn(ctx); err != nil {
		h.log.Debug("host: unable to read own change", "row", e.Key, "error", err)
	}
	h.Apply(state.Committed{Key: e.Key, Result: result})
}

// learn reads the changes from the table service now.
func (h *Host) learn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := h.readTable(ctx, state.ReadTable{After: h.View().Revision()}); err != nil {
		return errors.Annotate(operator.ErrRefused, "host: table service out of reach")
	}
	return nil
}

// learnUpTo reads the changes if the host does not know the revision yet.
func (h *Host) learnUpTo(ctx context.Context, revision int64) error {
	if h.View().Revision() >= revision {
		return nil
	}
	return h.learn(ctx)
}

// row reads one row.
func (h *Host) row(ctx context.Context, key string) (table.Row, bool, error) {
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
