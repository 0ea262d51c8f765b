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

// pass lets time pass.
func (f *fleet) pass(length time.Duration) {
	for end := f.now + length; f.now < end; {
		f.step()
	}
}

// learn applies one row from the table service.
func (f *fleet) learn(key string, value []byte) {
	after := f.revision
	f.revision++
	f.take(state.Learned{Source: replica.FromTable{}, Started: f.now, After: after, Rows: table.Snapshot{
		Rows: []table.Row{{Key: key, Value: value, Revision: f.revision}}, Revision: f.revision}})
}

// lendable returns the tokens that the host lends of what another asks for.
func (f *fleet) lendable(loan string, tokens int64) int64 {
	for _, effect := range f.Apply(f.now, state.Asks{Account: "account-00000", Loan: loan, Borrower: "other", Tokens: tokens}) {
		if lend, answer := effect.(state.Lend); answer {
			return lend.Tokens
		}
	}
	return -1
}

// TestSharesFollow guards against a share that stays as it was after the rows have changed, and
// against one that is lost while only the revision of the table rises.
func TestSharesFollow(t *testing.T) {
	c := qt.New(t)
	f := newFleet(sizes{members: 1, accounts: 1, pools: 1})
	c.Assert(f.lendable("before", 100), qt.Equals, int64(100))
	for range 5 {
		f.revision++ // by rows that are not replicated
		f.pass(time.Second)
	}
	c.Assert(f.lendable("same", 100), qt.Equals, int64(100))
	f.learn(replica.KeyForAccount("account-00000"), replica.EncodeAccount(account.Account{Name: "account-00000", Rate: 1, Burst: 10}))
	c.Assert(f.lendable("lower", 100) <= 10, qt.IsTrue)
	f.learn(replica.KeyForAccount("account-00000"), replica.EncodeAccount(account.Account{Name: "account-00000", Rate: 1e6, Burst: 1e6}))
	f.pass(time.Second)
	c.Assert(f.lendable("higher", 1000), qt.Equals, int64(1000))
	f.learn(replica.KeyForShare("account-00000"), replica.EncodeShare(replica.Share{Parts: []replica.Part{{Host: "other", Part: 1}}, After: 1}))
	c.Assert(f.lendable("gone", 100), qt.Equals, int64(0))
	back := lease.Assign([]replica.Member{{ID: "host-00000"}}, "account-00000", 1)
	f.learn(replica.KeyForShare("account-00000"), replica.EncodeShare(replica.Share{Parts: back, After: f.revision}))
	c.Assert(f.lendable("early", 100), qt.Equals, int64(0))
	f.pass(4 * time.Second)
	c.Assert(f.lendable("late", 100), qt.Equals, int64(100))
}

// TestTakeoverFollows guards against a takeover that is not looked for because nothing was due before.
func TestTakeoverFollows(t *testing.T) {
	for name, event := range map[string]state.Event{
		"silent":   state.Missed{Member: "host-00001"},
		"replaced": state.Replaced{Member: "host-00001"},
		"removed": state.Learned{Source: replica.FromTable{}, Rows: table.Snapshot{Revision: 1 << 20,
			Rows: []table.Row{{Key: replica.KeyForMember("host-00001"), Value: replica.EncodeGone(), Revision: 1 << 20}}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(sizes{members: 2, accounts: 20, pools: 20})
			f.pass(5 * time.Second)
			c.Assert(f.effects["state.Commit"], qt.Equals, 0)
			f.take(event)
			f.revision = max(f.revision, f.Replica().View().Revision())
			f.pass(lease.Silence + 7*time.Second)
			c.Assert(f.effects["state.Commit"] > 0, qt.IsTrue)
		})
	}
}

// TestWitnesses guards against a host of a large group that is not kept fresh by the members that
// answer, however few more than a majority they are, and against one that a minority keeps fresh.
func TestWitnesses(t *testing.T) {
	for name, test := range map[string]struct {
		members, dead int
		fresh         bool
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
			f := newFleet(sizes{members: test.members, accounts: 1, pools: 1})
			f.tableDown = true
			f.pass(5 * time.Second)
			c.Assert(f.Replica().Fresh(f.now), qt.IsTrue)
			f.dead = map[string]bool{}
			for i := range test.dead {
				f.dead[fmt.Sprintf("host-%05d", i+1)] = true
			}
			f.pass(5 * time.Second)
			for range 500 {
				f.step()
				c.Assert(f.Replica().Fresh(f.now), qt.Equals, test.fresh)
			}
			f.dead = nil
			f.pass(3 * time.Second)
			c.Assert(f.Replica().Fresh(f.now), qt.IsTrue)
		})
	}
}

// TestAnnounced guards against a change that is not announced because another one just was.
func TestAnnounced(t *testing.T) {
	c := qt.New(t)
	f := newFleet(sizes{members: 30, accounts: 1, pools: 1})
	for last := int64(1 << 20); last < 1<<20+3; last++ {
		f.take(state.Committed{Key: "row", Result: table.Result{Committed: true, Revision: last}})
		told := map[string]bool{}
		for end := f.now + time.Second; f.now < end; f.now += tick {
			for _, effect := range f.Apply(f.now, state.Tick{}) {
				if e, announce := effect.(state.Announce); announce && e.Revision == last {
					told[e.Member] = true
				}
			}
		}
		c.Assert(len(told), qt.Equals, 29)
	}
}
