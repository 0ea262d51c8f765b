package state_test

import (
	"fmt"
	"testing"
	"time"

	"magnoliahoist/account"
	"magnoliahoist/lease"
	"magnoliahoist/replica"
	"magnoliahoist/state"
	"magnoliahoist/table"

	qt "github.com/frankban/quicktest"
)

// advance lets time pass, tick by tick.
func (h *simulatedHost) advance(length time.Duration) {
	for end := h.now + length; h.now < end; {
		h.step()
	}
}

// applyRow writes one row and applies it as read from the table service.
func (h *simulatedHost) applyRow(key string, value []byte) {
	after := h.revision
	h.revision++
	h.apply(state.RowsReceived{Source: replica.FromTable{}, StartedAt: h.now, After: after, Rows: table.Snapshot{
		Rows: []table.Row{{Key: key, Value: value, Revision: h.revision}}, Revision: h.revision}})
}

// requestLoan returns how many tokens the host lends when another host asks for a loan; -1 without a GrantLoan effect.
func (h *simulatedHost) requestLoan(loan string, tokens int64) int64 {
	for _, effect := range h.Apply(h.now, state.LoanRequested{Account: "account-00000", Loan: loan, Borrower: "other", Tokens: tokens}) {
		if grant, isGrant := effect.(state.GrantLoan); isGrant {
			return grant.Tokens
		}
	}
	return -1
}

// TestPartsFollowRows guards against a part that keeps its old value after the account's or share's row has changed, and
// against one that is lost when only the revision of the table rises.
func TestPartsFollowRows(t *testing.T) {
	c := qt.New(t)
	h := newSimulatedHost(rowCounts{members: 1, accounts: 1, pools: 1})
	c.Assert(h.requestLoan("before", 100), qt.Equals, int64(100))
	for range 5 {
		h.revision++ // by writes to rows outside the shared state
		h.advance(time.Second)
	}
	c.Assert(h.requestLoan("same", 100), qt.Equals, int64(100))
	h.applyRow(replica.KeyForAccount("account-00000"), replica.EncodeAccount(account.Account{Name: "account-00000", Rate: 1, Burst: 10}))
	c.Assert(h.requestLoan("lower", 100) <= 10, qt.IsTrue)
	h.applyRow(replica.KeyForAccount("account-00000"), replica.EncodeAccount(account.Account{Name: "account-00000", Rate: 1e6, Burst: 1e6}))
	h.advance(time.Second)
	c.Assert(h.requestLoan("higher", 1000), qt.Equals, int64(1000))
	h.applyRow(replica.KeyForShare("account-00000"), replica.EncodeShare(replica.Share{Parts: []replica.Part{{Host: "other", Fraction: 1}}, ReplacedRevision: 1}))
	c.Assert(h.requestLoan("gone", 100), qt.Equals, int64(0))
	back := lease.AssignParts([]replica.Member{{ID: "host-00000"}}, "account-00000", 1)
	h.applyRow(replica.KeyForShare("account-00000"), replica.EncodeShare(replica.Share{Parts: back, ReplacedRevision: h.revision}))
	c.Assert(h.requestLoan("early", 100), qt.Equals, int64(0))
	h.advance(4 * time.Second)
	c.Assert(h.requestLoan("late", 100), qt.Equals, int64(100))
}

// TestTakeoverAfterMemberLoss guards against a host that plans no takeover after a member falls silent, is replaced or is removed,
// because it skips planning since nothing was due before.
func TestTakeoverAfterMemberLoss(t *testing.T) {
	for name, event := range map[string]state.Event{
		"silent":   state.MemberSilent{Member: "host-00001"},
		"replaced": state.MemberReplaced{Member: "host-00001"},
		"removed": state.RowsReceived{Source: replica.FromTable{}, Rows: table.Snapshot{Revision: 1 << 20,
			Rows: []table.Row{{Key: replica.KeyForMember("host-00001"), Value: replica.EncodeTombstone(), Revision: 1 << 20}}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newSimulatedHost(rowCounts{members: 2, accounts: 20, pools: 20})
			h.advance(5 * time.Second)
			c.Assert(h.effectCounts["state.Commit"], qt.Equals, 0)
			h.apply(event)
			h.revision = max(h.revision, h.Replica().View().Revision())
			h.advance(lease.SilenceTimeout + 7*time.Second)
			c.Assert(h.effectCounts["state.Commit"] > 0, qt.IsTrue)
		})
	}
}

// TestMajorityKeepsHostFresh guards against a host that is not fresh although a majority of its group, itself included, responds, and
// against one that a minority keeps fresh.
func TestMajorityKeepsHostFresh(t *testing.T) {
	for name, test := range map[string]struct {
		members, silent int
		fresh           bool
	}{
		"small":           {5, 2, true},
		"small minority":  {5, 3, false},
		"large":           {133, 0, true},
		"large few":       {133, 20, true},
		"large majority":  {133, 66, true},
		"large minority":  {133, 67, false},
		"medium majority": {20, 9, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newSimulatedHost(rowCounts{members: test.members, accounts: 1, pools: 1})
			h.tableDown = true
			h.advance(5 * time.Second)
			c.Assert(h.Replica().Fresh(h.now), qt.IsTrue)
			h.silentMembers = map[string]bool{}
			for i := range test.silent {
				h.silentMembers[fmt.Sprintf("host-%05d", i+1)] = true
			}
			h.advance(5 * time.Second)
			for range 500 {
				h.step()
				c.Assert(h.Replica().Fresh(h.now), qt.Equals, test.fresh)
			}
			h.silentMembers = nil
			h.advance(3 * time.Second)
			c.Assert(h.Replica().Fresh(h.now), qt.IsTrue)
		})
	}
}

// TestEveryCommitIsAnnounced guards against a commit that is never announced because another announcement was sent less than announceInterval before.
func TestEveryCommitIsAnnounced(t *testing.T) {
	c := qt.New(t)
	h := newSimulatedHost(rowCounts{members: 30, accounts: 1, pools: 1})
	for last := int64(1 << 20); last < 1<<20+3; last++ {
		h.apply(state.CommitFinished{Key: "row", Result: table.Result{Committed: true, Revision: last}})
		announcedTo := map[string]bool{}
		for end := h.now + time.Second; h.now < end; h.now += tickInterval {
			for _, effect := range h.Apply(h.now, state.Tick{}) {
				if e, announce := effect.(state.Announce); announce && e.Revision == last {
					announcedTo[e.Member] = true
				}
			}
		}
		c.Assert(len(announcedTo), qt.Equals, 29)
	}
}
