package call

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/table"
)

// checks is the number of runs of a property test.
const checks = "20000"

// Sets and prints the seed and the number of runs, which flags on the command line may override.
func init() {
	for name, value := range map[string]string{"seed": "20263", "checks": checks, "nofailfile": "true"} {
		fmt.Println("rapid", name, value, flag.Set("rapid."+name, value))
	}
}

// noWaitClock is a clock whose Wait returns at once.
type noWaitClock struct{}

func (noWaitClock) Wait(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// faultSequence returns the faults of the list one after the other, and then noFault.
func faultSequence(list ...fault) func(bool) fault {
	return func(bool) fault {
		if len(list) == 0 {
			return noFault
		}
		f := list[0]
		list = list[1:]
		return f
	}
}

// Guards against a wrong decision after faults of the writes of the intent and the void record.
func TestBeginUnderFaults(t *testing.T) {
	down := make([]fault, 100)
	for i := range down {
		down[i] = notSent
	}
	tests := map[string]struct {
		faults []fault
		want   string
		after  string // decision on a second call when the late writes have taken effect
	}{
		"no fault":               {nil, "Proceed", "Busy"},
		"service down":           {down, "Refused", "Proceed"},
		"reply lost":             {[]fault{replyLost}, "Proceed", "Busy"},
		"late intent":            {[]fault{late}, "Refused", "Proceed"},
		"late intent and void":   {[]fault{late, noFault, late}, "Refused", "Proceed"},
		"reply of void lost":     {[]fault{late, noFault, replyLost}, "Refused", "Proceed"},
		"read fails once":        {[]fault{replyLost, notSent}, "Proceed", "Busy"},
		"down after late intent": {append([]fault{late}, down...), "Unrecorded", "Busy"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemoryTable()
			c := New(m, "host", noWaitClock{})
			m.chooseFault = faultSequence(test.faults...)
			d, err := c.Begin(context.Background(), "a", "k", Digest{})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, fmt.Sprintf("%T", d), qt.Equals, "call."+test.want)
			for m.chooseFault = nil; len(m.lateTxns) > 0; {
				m.applyLate(0)
			}
			d, _ = c.Begin(context.Background(), "a", "k", Digest{})
			qt.Assert(t, fmt.Sprintf("%T", d), qt.Equals, "call."+test.after)
		})
	}
}

// Guards against a second call under a key that gets anything but the recorded result of the first.
func TestRepeatAfterEachEnd(t *testing.T) {
	ctx, outcome := context.Background(), Outcome{Status: 200, Body: []byte("stamped")}
	tests := map[string]struct {
		end     func(*Calls, Attempt) error
		request Digest
		want    string
	}{
		"finished":                {func(c *Calls, a Attempt) error { return c.Finish(ctx, a, outcome) }, Digest{}, fmt.Sprintf("%T%v", Replay{}, Replay{outcome})},
		"finished, other request": {func(c *Calls, a Attempt) error { return c.Finish(ctx, a, outcome) }, Digest{1}, "call.Mismatch{}"},
		"lost":                    {func(c *Calls, a Attempt) error { return c.FinishUnknown(ctx, a) }, Digest{}, "call.Unknown{<nil>}"},
		"running":                 {func(*Calls, Attempt) error { return nil }, Digest{}, "call.Unknown{context canceled}"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemoryTable()
			c := New(m, "host", noWaitClock{})
			d, _ := c.Begin(ctx, "a", "k", Digest{})
			m.chooseFault = faultSequence(replyLost, notSent)
			qt.Assert(t, test.end(c, d.(Proceed).Attempt), qt.IsNil)
			m.chooseFault = nil
			ended, cancel := context.WithCancel(ctx)
			cancel()
			d, _ = New(m, "other", noWaitClock{}).Await(ended, "a", "k", test.request)
			qt.Assert(t, fmt.Sprintf("%T%v", d, d), qt.Equals, test.want)
		})
	}
	c := New(newMemoryTable(), "host", noWaitClock{})
	qt.Assert(t, c.Finish(ctx, Attempt{}, Outcome{Body: make([]byte, MaxBodyBytes+1)}), qt.Equals, ErrTooLarge)
}

// maxJoined is the largest number of transactions that one commit joins.
const maxJoined = 64

// batchedTable reads directly and joins several transactions in one commit, as hosts do.
type batchedTable struct {
	*memoryTable
	batcher *table.Batcher
}

func (t batchedTable) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	return t.batcher.Commit(ctx, txn)
}

// Guards against a call that is sent twice when several hosts begin calls under the same keys at the same time. Each host
// joins its writes, which meet faults.
func TestPropertyOneSendOfManyHosts(t *testing.T) {
	const hosts, keys, seed = 8, 32, 20264
	for name, faults := range map[string]int{"no fault": 0, "faults": 4} {
		t.Run(name, func(t *testing.T) {
			t.Log("seed", seed)
			m, draw, commits := newMemoryTable(), rand.New(rand.NewPCG(seed, 0)), 0
			m.chooseFault = func(write bool) fault {
				if write {
					commits++
				}
				if len(m.lateTxns) > 0 && draw.IntN(2) == 0 {
					m.applyLate(0)
				}
				return fault(max(0, draw.IntN(12)-11+faults))
			}
			var sends [keys]atomic.Int64
			var group sync.WaitGroup
			for n := range hosts {
				b := table.NewBatcher(m, maxJoined, 0)
				c := New(batchedTable{m, b}, fmt.Sprint(n), noWaitClock{})
				defer func() { b.Stop(); <-b.Done() }()
				for key := range keys {
					group.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
						defer cancel()
						d, _ := c.Begin(ctx, "a", fmt.Sprint(key), Digest{})
						if p, ok := d.(Proceed); ok {
							sends[key].Add(1)
							if err := c.Finish(ctx, p.Attempt, Outcome{Status: 200}); err != nil {
								t.Error(err)
							}
						}
					})
				}
			}
			group.Wait()
			for key := range sends {
				qt.Assert(t, sends[key].Load() <= 1, qt.IsTrue)
				qt.Assert(t, faults > 0 || sends[key].Load() == 1, qt.IsTrue)
			}
			t.Log(commits, "transactions for", hosts*keys, "calls")
		})
	}
}

// runningMachine is a state machine that the property test runs, with its next step.
type runningMachine struct {
	machine stateMachine
	step    step
	attempt Attempt
}

// Guards against a call that is sent twice, a replay of another outcome, and a refused call that was sent. The test runs
// any interleaving of machines, which may stop between any two steps, with writes that take effect late.
func TestPropertyAtMostOnce(t *testing.T) {
	ctx, row := context.Background(), rowKey("a", "k")
	rapid.Check(t, func(t *rapid.T) {
		m, sent, refused, unrecorded, rowMayBlock := newMemoryTable(), "", map[string]bool{}, map[string]bool{}, false
		c := New(m, "host", noWaitClock{})
		m.chooseFault = func(bool) fault { return fault(rapid.IntRange(0, int(faultCount)+3).Draw(t, "fate")) % faultCount }
		var running []*runningMachine
		begin := func() *runningMachine {
			b := c.newBeginMachine("a", "k", Digest{})
			return &runningMachine{b, b.start(), b.attempt}
		}
		end := func(p *runningMachine) *runningMachine { // does what the decision allows and returns the machine that follows, if any
			switch d := p.step.(decidedStep).decision.(type) {
			case Proceed:
				endState := rapid.SampledFrom([]State{Done, Done, OutcomeUnknown, Void, Intent}).Draw(t, "end")
				if endState != Void {
					if sent != "" {
						t.Fatalf("attempt %s sent after attempt %s", d.Attempt.ID, sent)
					}
					sent = d.Attempt.ID
				}
				if refused[d.Attempt.ID] || unrecorded[d.Attempt.ID] {
					t.Fatalf("attempt %s sent after its refusal", d.Attempt.ID)
				}
				if endState == Intent { // the host stops after it has sent the call
					return nil
				}
				closing := d.Attempt.newCloseMachine(endState, &Outcome{Object: d.Attempt.ID})
				return &runningMachine{closing, closing.start(), d.Attempt}
			case Replay:
				if d.Outcome.Object != sent {
					t.Fatalf("outcome of attempt %s replayed, want that of the sent attempt %s", d.Outcome.Object, sent)
				}
			case Refused:
				refused[p.attempt.ID] = true
			case Unrecorded:
				unrecorded[p.attempt.ID] = true
				if rapid.Bool().Draw(t, "dies") {
					rowMayBlock = true
					return nil
				}
				clearing := &clearMachine{attempt: d.Attempt, expectedRevision: d.Attempt.revision}
				return &runningMachine{clearing, clearing.start(), d.Attempt}
			case Unknown:
				rowMayBlock = true
			}
			return nil
		}
		step := func(p *runningMachine) *runningMachine {
			switch s := p.step.(type) {
			case commitStep:
				p.step = p.machine.onCommit(m.Commit(ctx, s.txn))
			case readStep:
				p.step = p.machine.onRead(c.readRow(ctx, row))
			case decidedStep:
				return end(p)
			case closedStep:
				if s.err != nil {
					t.Fatalf("attempt %s not closed: %v", p.attempt.ID, s.err)
				}
				return nil
			}
			return p
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			kind := rapid.IntRange(0, 9).Draw(t, "kind")
			switch {
			case kind == 0 || len(running) == 0:
				running = append(running, begin())
			case kind == 1 && len(m.lateTxns) > 0:
				m.applyLate(rapid.IntRange(0, len(m.lateTxns)-1).Draw(t, "late"))
			default:
				index := rapid.IntRange(0, len(running)-1).Draw(t, "process")
				if running[index] = step(running[index]); running[index] == nil {
					running = append(running[:index], running[index+1:]...)
				}
			}
		}
		for m.chooseFault = nil; len(m.lateTxns) > 0; {
			m.applyLate(0)
		}
		for _, p := range running {
			for n := 0; p != nil && n < 50; n++ {
				p = step(p)
			}
		}
		found, err := decode(m.rows[row].Value)
		if err == nil && found.State == Intent && refused[found.Attempt] {
			t.Fatalf("the intent of attempt %s was written after its refusal", found.Attempt)
		}
		if err == nil && sent != "" && found.State == Void {
			t.Fatalf("the row is void after attempt %s was sent", sent)
		}
		last := begin()
		for n := 0; last != nil && n < 50; n++ {
			if d, ok := last.step.(decidedStep); ok && sent == "" && !rowMayBlock {
				if _, proceeds := d.decision.(Proceed); !proceeds {
					t.Fatalf("decision on an unused key is %T, want Proceed", d.decision)
				}
			}
			last = step(last)
		}
	})
}
