package host

import (
	"context"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// peerTimeout bounds one exchange with another host.
const peerTimeout = 500 * time.Millisecond

// noContact is the time of the last contact with the table service before the first one.
const noContact = int64(-1)

// readTable learns of changes from the table service.
func (h *Host) readTable(ctx context.Context, e state.ReadTable) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	started := h.Now()
	snapshot, err := h.table.Read(ctx, replica.Prefix, e.After)
	if err != nil {
		h.log.Debug("host: unable to read the table service", "error", err)
		return err
	}
	h.contact.Store(int64(started))
	h.learned(state.Learned{Source: replica.FromTable{}, Started: started, After: e.After, Rows: snapshot})
	return nil
}

// learned applies rows of the shared state and records the changes.
func (h *Host) learned(e state.Learned) {
	before := h.View()
	h.Apply(e)
	if len(e.Rows.Rows) > 0 {
		h.recordApplied(before, h.View(), e.Rows.Rows)
	}
}

// syncMember learns of changes from another host.
func (h *Host) syncMember(ctx context.Context, e state.SyncMember) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	started := h.Now()
	answer, err := h.peers.Sync(ctx, target(e.Member, e.Address), h.sender(), e.After)
	h.sawMember(e.Member, err)
	if err != nil {
		return
	}
	h.observe(answer.GetReply().GetStamp())
	h.learned(state.Learned{Source: answer.Source(), Started: started, After: e.After, Rows: answer.Snapshot(), Settled: answer.GetSettled()})
}

// borrow asks another host for tokens.
func (h *Host) borrow(ctx context.Context, e state.Borrow) {
	lent := state.Lent{Account: e.Account, Loan: e.Loan, Lender: e.Lender, Asked: e.Asked}
	answer, err := h.peers.Borrow(ctx, target(e.Lender, e.Address), h.sender(), e.Account, e.Loan, e.Tokens)
	h.sawMember(e.Lender, err)
	if err == nil {
		h.observe(answer.GetReply().GetStamp())
		lent.Tokens = answer.GetTokens()
	}
	if lent.Tokens > 0 {
		h.record(timeline.Event{Kind: timeline.Borrowed, Account: e.Account, Note: "loan " + e.Loan + " from " + e.Lender})
	}
	h.Apply(lent)
}

// repay returns unused tokens. A repayment that is lost counts as spent.
func (h *Host) repay(ctx context.Context, e state.Repay) {
	if _, err := h.peers.Repay(ctx, target(e.Lender, e.Address), h.sender(), e.Account, e.Loan, e.Unused); err != nil {
		h.log.Debug("host: unable to repay loan", "loan", e.Loan, "error", err)
	}
}
