package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/catalog"
	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
)

// limited returns a host of two whose account has 1,000 tokens a second and a burst of 1,000, half of it here.
func limited(t *testing.T) *bench {
	b := newBench(t)
	d := document(2)
	d.Accounts[0].Rate, d.Accounts[0].Burst = 1000, 1000
	b.apply(dispatch.Configured{Catalog: catalog.New(d)})
	b.apply(dispatch.Joined{Members: []dispatch.Member{{Name: "self", ID: "1"}, {Name: "peer", ID: "peer", Address: "10.0.1.1:80"}}})
	b.now += 10 * time.Second
	return b
}

// TestAllowanceShare guards against a host that serves more than its part of an allowance.
func TestAllowanceShare(t *testing.T) {
	b := limited(t)
	served := 0
	for range 10 {
		_, effects := b.arrive("/stamp/1", intake.Call{})
		if send, sent := sendOf(effects); sent {
			served++
			b.finish(send.Number, dispatch.Done)
		}
	}
	qt.Check(t, served, qt.Equals, 2) // 200 tokens each of a burst of 500
}

// TestAllowanceLoan guards against refusing a request while another host has tokens to lend.
func TestAllowanceLoan(t *testing.T) {
	b := limited(t)
	for range 2 {
		b.arrive("/stamp/1", intake.Call{})
	}
	number, effects := b.arrive("/stamp/1", intake.Call{})
	borrow, is := effects[0].(dispatch.Borrow)
	qt.Assert(t, is, qt.IsTrue)
	qt.Check(t, borrow.Lender.ID, qt.Equals, "peer")
	effects = b.apply(dispatch.Lent{Account: "yards", Loan: borrow.Loan, Lender: "peer", Tokens: borrow.Tokens, Asked: borrow.Asked, Answered: true})
	send, sent := sendOf(effects)
	qt.Assert(t, sent, qt.IsTrue)
	qt.Check(t, send.Number, qt.Equals, number)
}

// TestAllowanceDry guards against holding a request back when no host has tokens, and against asking anew for each.
func TestAllowanceDry(t *testing.T) {
	b := limited(t)
	for range 2 {
		b.arrive("/stamp/1", intake.Call{})
	}
	_, effects := b.arrive("/stamp/1", intake.Call{})
	borrow := effects[0].(dispatch.Borrow)
	refuse, refused := refusalOf(b.apply(dispatch.Lent{Account: "yards", Loan: borrow.Loan, Lender: "peer", Asked: borrow.Asked, Answered: true}))
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Reason, qt.Equals, dispatch.RateLimited)
	qt.Check(t, refuse.Retry > 0, qt.IsTrue)
	_, effects = b.arrive("/stamp/1", intake.Call{})
	_, refused = refusalOf(effects)
	qt.Check(t, refused, qt.IsTrue)
}

// TestAllowanceBehindLarge guards against refusing a small request for which there are tokens, because a larger one
// waits before it for more than any host can lend.
func TestAllowanceBehindLarge(t *testing.T) {
	b := limited(t)
	b.arrive("/stamp/1", intake.Call{})
	b.arrive("/stamp/1", intake.Call{})
	large, effects := b.arrive("/draft/1", intake.Generation{Model: "m", Prompt: 2900, Output: 100})
	borrow := effects[0].(dispatch.Borrow)
	small, _ := b.arrive("/stamp/1", intake.Call{})
	effects = b.apply(dispatch.Lent{Account: "yards", Loan: borrow.Loan, Lender: "peer", Tokens: 250, Asked: borrow.Asked, Answered: true})
	refuse, refused := refusalOf(effects)
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Number, qt.Equals, large)
	send, sent := sendOf(effects)
	qt.Assert(t, sent, qt.IsTrue)
	qt.Check(t, send.Number, qt.Equals, small)
}

// TestAllowanceReturn guards against tokens that are lost with requests that did not run.
func TestAllowanceReturn(t *testing.T) {
	b := limited(t)
	for range 10 {
		number, effects := b.arrive("/draft/1", intake.Generation{Model: "m", Prompt: 300, Output: 100})
		_, sent := sendOf(effects)
		qt.Assert(t, sent, qt.IsTrue)
		b.finish(number, dispatch.Refused)
	}
}

// TestAllowanceLend guards against lending what this host does not have.
func TestAllowanceLend(t *testing.T) {
	b := limited(t)
	effects := b.apply(dispatch.Asks{Account: "yards", Loan: "peer-1", Borrower: "peer", Tokens: 10_000})
	lend := effects[0].(dispatch.Lend)
	qt.Check(t, lend.Tokens, qt.Equals, int64(500))
	effects = b.apply(dispatch.Asks{Account: "yards", Loan: "peer-2", Borrower: "peer", Tokens: 10_000})
	qt.Check(t, effects[0].(dispatch.Lend).Tokens, qt.Equals, int64(0))
	b.now += 10 * time.Second
	effects = b.apply(dispatch.Asks{Account: "yards", Loan: "peer-3", Borrower: "peer", Tokens: 3_000, Least: 2_000})
	qt.Check(t, effects[0].(dispatch.Lend).Tokens, qt.Equals, int64(2_000), qt.Commentf("a request that is larger than the bucket"))
	b.now += 2 * time.Second
	effects = b.apply(dispatch.Asks{Account: "yards", Loan: "peer-4", Borrower: "peer", Tokens: 100})
	qt.Check(t, effects[0].(dispatch.Lend).Tokens, qt.Equals, int64(0), qt.Commentf("the debt is not paid yet"))
}

// TestAllowanceBeforeMembership guards against a host that spends before it knows its part.
func TestAllowanceBeforeMembership(t *testing.T) {
	b := limited(t)
	b.apply(dispatch.Joined{})
	qt.Check(t, b.state.Ready(), qt.IsFalse, qt.Commentf("it would refuse requests within their rate"))
	_, effects := b.arrive("/stamp/1", intake.Call{})
	refuse, refused := refusalOf(effects)
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Reason, qt.Equals, dispatch.RateLimited)
}

// TestAllowanceLargeRequest guards against requests that are larger than the bucket and would never be served, and
// against serving more than the rate because of them.
func TestAllowanceLargeRequest(t *testing.T) {
	b := limited(t)
	served := int64(0)
	const cost, rate, burst = 3000, 500, 500 // of this host
	from := b.now
	for b.now < from+60*time.Second {
		number, effects := b.arrive("/draft/1", intake.Generation{Model: "m", Prompt: cost - 100, Output: 100})
		for _, e := range effects {
			if borrow, is := e.(dispatch.Borrow); is {
				effects = b.apply(dispatch.Lent{Account: "yards", Loan: borrow.Loan, Lender: "peer", Asked: borrow.Asked, Answered: true})
			}
		}
		if _, sent := sendOf(effects); sent {
			served += cost
			b.finish(number, dispatch.Done)
		}
		b.now += 100 * time.Millisecond
	}
	qt.Check(t, served > 0.8*60*rate, qt.IsTrue, qt.Commentf("%d", served))
	qt.Check(t, served <= 60*rate+burst+cost, qt.IsTrue, qt.Commentf("%d", served))
}

// TestAllowanceSilentLender guards against waiting for a lender that does not answer at each request.
func TestAllowanceSilentLender(t *testing.T) {
	b := limited(t)
	for range 2 {
		b.arrive("/stamp/1", intake.Call{})
	}
	_, effects := b.arrive("/stamp/1", intake.Call{})
	borrow := effects[0].(dispatch.Borrow)
	b.apply(dispatch.Lent{Account: "yards", Loan: borrow.Loan, Lender: "peer", Asked: borrow.Asked})
	b.now += 110 * time.Millisecond // above the time in which nobody is asked
	_, effects = b.arrive("/stamp/1", intake.Call{})
	_, refused := refusalOf(effects)
	qt.Check(t, refused, qt.IsTrue, qt.Commentf("%v", effects))
}
