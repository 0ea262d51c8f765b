package entry

import (
	"context"

	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
)

// borrow asks another host for tokens. If the lender does not respond, the borrower counts the loan as not made, and the
// lender, if the call reached it, as made, so that no token is used twice.
func (h *Host) borrow(ctx context.Context, e dispatch.RequestLoan) {
	received := dispatch.LoanReceived{Account: e.Account, Loan: e.Loan, Lender: e.Lender.ID, RequestedAt: e.RequestedAt, Probe: e.Probe}
	if client := h.peerClient(); client != nil {
		request := &peer.BorrowRequest{Account: e.Account, Loan: e.Loan, Tokens: e.Tokens, Least: e.LargestShortfall, MaxWaitUs: e.MaxWait.Microseconds(), Refused: e.Refused, Probe: e.Probe}
		response, err := client.BorrowFor(ctx, peer.Target{ID: e.Lender.ID, Address: e.Lender.Address}, h.sender(), request)
		if err != nil {
			h.log.Info("entry: unable to borrow", "account", e.Account, "lender", e.Lender.ID, "error", err)
		} else {
			received.Tokens, received.Responded = lentTokens(e, response.GetTokens()), true
			received.Knows, received.LoansEnd = response.GetKnows(), reportedMicroseconds(response.GetLoansEndUs())
			received.RetryAfter = reportedMicroseconds(response.GetRetryUs())
			received.Wait = reportedMicroseconds(response.GetWaitUs())
		}
	}
	h.Apply(received)
}

// lentTokens returns the tokens of a lender's response. No lender lends more than it was asked for, so a larger number is none that the
// lender has taken from its own tokens.
func lentTokens(e dispatch.RequestLoan, tokens int64) int64 {
	if tokens < 0 || tokens > max(e.Tokens, e.LargestShortfall) {
		return 0
	}
	return tokens
}

// repay returns the unused part of a loan. If the repayment is lost, the lender does not get these tokens back either.
func (h *Host) repay(ctx context.Context, e dispatch.RepayLoan) {
	client, to, known := h.peerByID(e.Lender)
	if !known {
		return
	}
	if _, err := client.RepayAndEnd(ctx, to, h.sender(), e.Account, e.Loan, e.Unused, e.Ended); err != nil {
		h.log.Info("entry: unable to repay a loan", "account", e.Account, "lender", e.Lender, "error", err)
	}
}

// peerByID returns the client for other hosts and the address of one of them; false if the host or the secret is unknown.
func (h *Host) peerByID(id string) (*peer.Client, peer.Target, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	to, known := h.memberByID(id)
	return h.fleet.client, to, known && h.fleet.client != nil
}
