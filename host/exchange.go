package host

import (
	"context"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// peerTimeout is the timeout of a call to another host.
const peerTimeout = 500 * time.Millisecond

// noContact is the value of Host.lastContact before the first contact with the table service.
const noContact = int64(-1)

// readTable reads the changes after a revision from the table service and applies them.
func (h *Host) readTable(ctx context.Context, e state.ReadTable) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	startedAt := h.Now()
	snapshot, err := h.table.Read(ctx, replica.Prefix, e.After)
	if err != nil {
		h.log.Debug("host: unable to read the table service", "error", err)
		return err
	}
	h.lastContact.Store(int64(startedAt))
	h.applyRows(state.RowsReceived{Source: replica.FromTable{}, StartedAt: startedAt, After: e.After, Rows: snapshot})
	return nil
}

// applyRows passes rows of the shared state to the state machine and records the new changes in the timeline.
func (h *Host) applyRows(e state.RowsReceived) {
	before := h.View()
	h.Apply(e)
	if len(e.Rows.Rows) > 0 {
		h.recordApplied(before, h.View(), e.Rows.Rows)
	}
}

// syncMember reads the changes after a revision from another host and applies them.
func (h *Host) syncMember(ctx context.Context, e state.SyncMember) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	startedAt := h.Now()
	response, err := h.peers.Sync(ctx, peerTarget(e.Member, e.Address), h.peerSender(), e.After)
	h.recordMemberCall(e.Member, err)
	if err != nil {
		return
	}
	h.advanceClock(response.GetReply().GetStamp())
	h.applyRows(state.RowsReceived{Source: response.Source(), StartedAt: startedAt, After: e.After, Rows: response.Snapshot(), Settled: response.GetSettled()})
}

// requestLoan asks another host for tokens and reports its response to the state machine; a failed call counts as 0 tokens.
func (h *Host) requestLoan(ctx context.Context, e state.RequestLoan) {
	received := state.LoanReceived{Account: e.Account, Loan: e.Loan, Lender: e.Lender, RequestedAt: e.RequestedAt}
	response, err := h.peers.Borrow(ctx, peerTarget(e.Lender, e.Address), h.peerSender(), e.Account, e.Loan, e.Tokens)
	h.recordMemberCall(e.Lender, err)
	if err == nil {
		h.advanceClock(response.GetReply().GetStamp())
		received.Tokens = response.GetTokens()
	}
	if received.Tokens > 0 {
		h.record(timeline.Event{Kind: timeline.Borrowed, Account: e.Account, Note: "loan " + e.Loan + " from " + e.Lender})
	}
	h.Apply(received)
}

// repayLoan returns a loan's unused tokens to the lender. If the repayment is lost, they count as spent.
func (h *Host) repayLoan(ctx context.Context, e state.RepayLoan) {
	if _, err := h.peers.Repay(ctx, peerTarget(e.Lender, e.Address), h.peerSender(), e.Account, e.Loan, e.Unused); err != nil {
		h.log.Debug("host: unable to repay a loan", "loan", e.Loan, "error", err)
	}
}
