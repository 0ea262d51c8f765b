package queue

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// rapidChecks is the number of random cases of a property test. With 100, the tests still passed with wrong weights or
// with start tags left over from an earlier busy period.
const rapidChecks = "2000"

// Fixes and prints the seed and the number of random cases; flags may override them.
func init() {
	for name, value := range map[string]string{"seed": "20262", "checks": rapidChecks, "nofailfile": "true"} {
		fmt.Println("rapid", name, value, flag.Set("rapid."+name, value))
	}
}

func alwaysReady(Item) bool { return true }

// Guards against an order within an account other than by priority, deadline and arrival, and against expired items
// that are served, lost or returned twice.
func TestOrderInsideAccount(t *testing.T) {
	q := New()
	for _, i := range []Item{{ID: 1}, {ID: 2, Deadline: 9}, {ID: 3, Priority: 1}, {ID: 4, Deadline: 8}, {ID: 5}, {ID: 6, Priority: 2, Deadline: 3}, {ID: 7, Deadline: 4}} {
		q.Push(i)
		q.Push(i)
	}
	qt.Assert(t, q.Remove(7), qt.IsTrue)
	qt.Assert(t, q.Remove(7), qt.IsFalse)
	for _, want := range []uint64{3, 4, 2, 1, 5} {
		i, ok := q.Next(3, alwaysReady)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, i.ID, qt.Equals, want)
	}
	qt.Assert(t, q.Expire(3), qt.HasLen, 1)
	qt.Assert(t, q.Expire(3), qt.HasLen, 0)
	qt.Assert(t, q.Len(), qt.Equals, 0)
}

// Guards against the head of one class blocking the other classes of its account while its model is not ready, and
// against calling ready so often that the cost grows with the number of models.
func TestNextPassesClassesThatAreNotReady(t *testing.T) {
	q := New()
	for n := range uint64(20) {
		q.Push(Item{ID: n, Account: "a", Class: fmt.Sprint(n % 10), Weight: 1, Tokens: 1})
	}
	i, ok := q.Next(0, func(i Item) bool { return i.Class == "1" })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, i.ID, qt.Equals, uint64(1))
	calls := 0
	_, ok = q.Next(0, func(Item) bool { calls++; return false })
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, calls, qt.Equals, maxReadyCalls)
	for _, want := range []uint64{0, 2, 3} {
		i, _ = q.Next(0, alwaysReady)
		qt.Assert(t, i.ID, qt.Equals, want)
	}
}

// Guards against an account that gains credit while its head is not ready, and is then served ahead of the others.
func TestSkippedAccountGainsNoCredit(t *testing.T) {
	q := New()
	for n := range uint64(200) {
		q.Push(Item{ID: n, Account: fmt.Sprint(n % 2), Weight: 1, Tokens: 1})
	}
	for range 50 {
		q.Next(0, func(i Item) bool { return i.Account == "1" })
	}
	for range 20 {
		q.Next(0, alwaysReady)
	}
	qt.Assert(t, math.Abs(float64(q.Backlog("0")-90)) <= 1, qt.IsTrue)
}

// Guards against an account that sends five times its fair share and delays the others: an item of another account waits
// for at most one item of each account, while the queue of the greedy account grows.
func TestPropertyGreedyAccountDelaysOnlyItself(t *testing.T) {
	const accounts, size, rounds = 5, 10, 400
	q, waits, id := New(), [accounts]int{}, uint64(0)
	servedAtPush := map[uint64]int{}
	for served := range rounds * accounts {
		if served%accounts == 0 {
			for a := range accounts {
				for n := 0; n == 0 || a == 0 && n < 5; n++ {
					id++
					servedAtPush[id] = served
					q.Push(Item{ID: id, Account: fmt.Sprint(a), Weight: 100, Tokens: size})
				}
			}
		}
		i, _ := q.Next(0, alwaysReady)
		a := int(i.Account[0] - '0')
		waits[a] = max(waits[a], served-servedAtPush[i.ID])
	}
	for a := 1; a < accounts; a++ {
		qt.Assert(t, waits[a] <= accounts, qt.IsTrue, qt.Commentf("account %d waited %d items", a, waits[a]))
	}
	qt.Assert(t, waits[0] > rounds, qt.IsTrue)
}

// Guards against unfair shares, against returning no item while one is ready, and against lost items. Between two accounts
// that both have waiting items throughout an interval, the tokens served divided by weight may differ by at most one
// largest item of each account.
func TestPropertyFairAndWorkConserving(t *testing.T) {
	const maxTokens = 20
	rapid.Check(t, func(t *rapid.T) {
		q, waiting := New(), map[uint64]Item{}
		n := rapid.IntRange(2, 6).Draw(t, "accounts")
		weights := make([]float64, n)
		for a := range weights {
			weights[a] = float64(rapid.IntRange(1, 9).Draw(t, "weight"))
		}
		lightLoad := rapid.Bool().Draw(t, "light") // the queue empties often
		extremes := make([][2]float64, n*n)        // lowest and highest diff of each pair since both accounts wait
		diff := make([]float64, n*n)
		for step := range uint64(rapid.IntRange(1, 300).Draw(t, "steps")) {
			a := rapid.IntRange(0, n-1).Draw(t, "account")
			action := rapid.IntRange(0, 4).Draw(t, "step")
			if lightLoad && action == 2 {
				action = 3
			}
			switch action {
			case 0, 1, 2:
				i := Item{step, fmt.Sprint(a), fmt.Sprint(step % 3), weights[a], rapid.Int64Range(1, maxTokens).Draw(t, "tokens"), rapid.IntRange(0, 2).Draw(t, "priority"), 0}
				q.Push(i)
				waiting[step] = i
			case 3:
				blocked := rapid.SampledFrom([]string{"", "", fmt.Sprint(a)}).Draw(t, "blocked")
				i, ok := q.Next(time.Second, func(i Item) bool { return i.Account != blocked })
				if idle := q.Len() > 0 && q.Backlog(blocked) < totalTokens(waiting); !ok && idle {
					t.Fatalf("Next returned no item although one of %d waiting items is ready", q.Len())
				}
				if _, waits := waiting[i.ID]; ok && !waits {
					t.Fatalf("Next returned item %d, which does not wait", i.ID)
				}
				if ok {
					delete(waiting, i.ID)
				}
				for x := range n {
					for y := range n {
						served := 0.0
						if fmt.Sprint(x) == i.Account && ok {
							served += float64(i.Tokens) / weights[x]
						}
						if fmt.Sprint(y) == i.Account && ok {
							served -= float64(i.Tokens) / weights[y]
						}
						pair := x*n + y
						diff[pair] += served
						if blocked != "" {
							diff[pair], extremes[pair] = 0, [2]float64{}
						}
						extremes[pair] = [2]float64{min(extremes[pair][0], diff[pair]), max(extremes[pair][1], diff[pair])}
						if extremes[pair][1]-extremes[pair][0] > maxTokens/weights[x]+maxTokens/weights[y]+1e-9 {
							t.Fatalf("the service of accounts %d and %d differs by %v", x, y, extremes[pair])
						}
					}
				}
			case 4:
				id := rapid.Uint64Range(0, step).Draw(t, "id")
				_, waits := waiting[id]
				if q.Remove(id) != waits {
					t.Fatalf("Remove(%d) did not report %v", id, waits)
				}
				delete(waiting, id)
			}
			for pair := range diff {
				if q.Backlog(fmt.Sprint(pair/n)) == 0 || q.Backlog(fmt.Sprint(pair%n)) == 0 {
					diff[pair], extremes[pair] = 0, [2]float64{}
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d items wait, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// totalTokens returns the sum of the tokens of all items.
func totalTokens(items map[uint64]Item) (sum int64) {
	for _, i := range items {
		sum += i.Tokens
	}
	return sum
}

// BenchmarkNext measures a Push and a Next while every account has a waiting item.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{5, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, names := New(), make([]string, n)
			for a := range names {
				names[a] = fmt.Sprint("account-", a)
				q.Push(Item{ID: uint64(a), Account: names[a], Weight: float64(1 + a), Tokens: 100})
			}
			b.ReportAllocs()
			for i := range b.N {
				q.Push(Item{ID: uint64(n + i), Account: names[i%n], Weight: float64(1 + i%n), Tokens: int64(50 + i%97)})
				q.Next(0, alwaysReady)
			}
		})
	}
}

// BenchmarkNextModels measures a Push and a Next while one account has a waiting item for every model. With busy=true, only
// the last model for which Next calls ready is ready.
func BenchmarkNextModels(b *testing.B) {
	for _, models := range []int{20, 870} {
		for _, manyNotReady := range []bool{false, true} {
			b.Run(fmt.Sprintf("models=%d/busy=%v", models, manyNotReady), func(b *testing.B) {
				q, names, calls := New(), make([]string, models), 0
				for m := range names {
					names[m] = fmt.Sprint("model-", m)
					q.Push(Item{ID: uint64(m), Account: "a", Class: names[m], Weight: 1, Tokens: 100})
				}
				ready := func(Item) bool { calls++; return !manyNotReady || calls%maxReadyCalls == 0 }
				b.ReportAllocs()
				for i := range b.N {
					q.Push(Item{ID: uint64(models + i), Account: "a", Class: names[i%models], Weight: 1, Tokens: 100})
					q.Next(0, ready)
				}
			})
		}
	}
}
