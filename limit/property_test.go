package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// used is a take, dated at the take, less what was returned of it.
type used struct {
	at     time.Duration
	tokens int64
	ledger int
	r      Receipt
	open   bool
}

// fleet is several ledgers that share one allowance over a network that loses,
// delays and doubles messages.
type fleet struct {
	now     time.Duration
	rate    float64
	burst   int64
	ledgers []*Ledger
	parts   []int64 // tenths of the allowance
	moves   []move
	takes   []used
	network []func()
	asked   int
}

// move is a part of the allowance on its way to a ledger.
type move struct {
	at    time.Duration
	to    int
	parts int64
}

const (
	wholeParts  = 10
	moveTime    = 3030 * time.Millisecond // window of 3 s with its allowance for drift
	minInterval = 10 * time.Millisecond
)

func (f *fleet) share(i int) {
	part := float64(f.parts[i]) / wholeParts
	f.ledgers[i].SetShare(f.now, f.rate*part, int64(float64(f.burst)*part))
}

func (f *fleet) advance(d time.Duration) {
	f.now += d
	var rest []move
	for _, m := range f.moves {
		if m.at > f.now {
			rest = append(rest, m)
			continue
		}
		f.parts[m.to] += m.parts
		f.share(m.to)
	}
	f.moves = rest
}

// ask sends a request for a loan; the request and its answer are deliveries.
func (f *fleet) ask(to, from int, tokens int64) {
	f.asked++
	id, asked := fmt.Sprint(f.asked), f.now
	f.network = append(f.network, func() {
		got := f.ledgers[from].Lend(f.now, id, fmt.Sprint(to), tokens)
		f.network = append(f.network, func() {
			f.ledgers[to].Borrow(f.now, Loan{ID: id, Lender: fmt.Sprint(from), Tokens: got, Asked: asked})
		})
	})
}

func (f *fleet) repay(list []Repayment) {
	for _, r := range list {
		var lender int
		fmt.Sscan(r.Lender, &lender)
		f.network = append(f.network, func() { f.ledgers[lender].Repay(f.now, r.ID, r.Unused) })
	}
}

// check compares every interval between two takes with the allowance.
func (f *fleet) check(t *rapid.T) {
	const rounding = 1e-6 // tokens, for sums of floating-point refills
	for i := range f.takes {
		sum := int64(0)
		for j := i; j < len(f.takes); j++ {
			sum += f.takes[j].tokens
			limit := float64(f.burst) + f.rate*(f.takes[j].at-f.takes[i].at).Seconds()
			if float64(sum) > limit+rounding {
				t.Fatalf("%d tokens used from %v to %v, at most %v allowed", sum, f.takes[i].at, f.takes[j].at, limit)
			}
		}
	}
}

// Guards against more use than burst + rate·t over all hosts (invariant I6), whatever
// happens to loans, shares and returns.
func TestPropertyUseStaysWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{rate: float64(rapid.IntRange(1, 40).Draw(t, "rate")), burst: int64(10 * rapid.IntRange(1, 5).Draw(t, "burst"))}
		hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
		f.parts = make([]int64, hosts)
		for range wholeParts {
			f.parts[rapid.IntRange(0, hosts-1).Draw(t, "holder")]++
		}
		for i := range hosts {
			f.ledgers = append(f.ledgers, NewLedger(0))
			f.share(i)
		}
		f.advance(time.Minute)
		host := func() int { return rapid.IntRange(0, hosts-1).Draw(t, "host") }
		tokens := func() int64 { return rapid.Int64Range(1, f.burst).Draw(t, "tokens") }
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				f.advance(minInterval * time.Duration(rapid.IntRange(1, 250).Draw(t, "hundredths")))
			case 2, 3, 4: // take all that is there, or some
				i, want := host(), tokens()
				if have := 1000 - f.ledgers[i].Missing(f.now, 1000); rapid.Bool().Draw(t, "all") {
					want = have
				}
				if r, ok := f.ledgers[i].Take(f.now, want); ok {
					f.takes = append(f.takes, used{f.now, want, i, r, true})
					f.repay(slices.Clone(f.ledgers[i].Spent()))
				}
			case 5:
				if len(f.takes) == 0 {
					continue
				}
				u := &f.takes[rapid.IntRange(0, len(f.takes)-1).Draw(t, "take")]
				if u.open {
					u.open = false
					unused := rapid.Int64Range(0, u.tokens).Draw(t, "unused")
					u.tokens -= unused
					f.repay(f.ledgers[u.ledger].Return(f.now, u.r, unused))
				}
			case 6:
				f.ask(host(), host(), tokens())
			case 7, 8: // deliver, double or lose a message
				if len(f.network) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(f.network)-1).Draw(t, "message")
				deliver := f.network[n]
				fate := rapid.IntRange(0, 5).Draw(t, "fate")
				if fate != 0 {
					f.network = append(f.network[:n:n], f.network[n+1:]...)
				}
				if fate != 1 {
					deliver()
				}
			case 9:
				from, to := host(), host()
				if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
					f.repay(f.ledgers[from].Release(f.now))
					continue
				}
				if rapid.Bool().Draw(t, "sweep") || f.parts[from] == 0 {
					f.repay(f.ledgers[from].Sweep(f.now))
					if rapid.Bool().Draw(t, "release") {
						f.repay(f.ledgers[from].Release(f.now))
					}
					continue
				}
				parts := rapid.Int64Range(1, f.parts[from]).Draw(t, "parts")
				f.parts[from] -= parts
				f.share(from)
				f.moves = append(f.moves, move{f.now + moveTime, to, parts})
			}
		}
		f.check(t)
	})
}
