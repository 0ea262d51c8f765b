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

// checks is the number of histories of a property test. With 100, trials with wrong
// weights or with tags left over from an earlier busy period still passed.
const checks = "2000"

// Fixes and prints the seed and the number of histories, which flags may override.
func init() {
	for name, value := range map[string]string{"seed": "20262", "checks": checks, "nofailfile": "true"} {
		fmt.Println("rapid", name, value, flag.Set("rapid."+name, value))
	}
}

func always(Item) bool { return true }

// Guards against an order inside an account other than priority, deadline, arrival,
// and against expired items being served, lost or returned twice.
func TestOrderInsideAccount(t *testing.T) {
	q := New()
	for _, i := range []Item{{ID: 1}, {ID: 2, Deadline: 9}, {ID: 3, Priority: 1}, {ID: 4, Deadline: 8}, {ID: 5}, {ID: 6, Priority: 2, Deadline: 3}, {ID: 7, Deadline: 4}} {
		q.Push(i)
		q.Push(i)
	}
	qt.Assert(t, q.Remove(7), qt.IsTrue)
	qt.Assert(t, q.Remove(7), qt.IsFalse)
	for _, want := range []uint64{3, 4, 2, 1, 5} {
		i, ok := q.Next(3, always)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, i.ID, qt.Equals, want)
	}
	qt.Assert(t, q.Expire(3), qt.HasLen, 1)
	qt.Assert(t, q.Expire(3), qt.HasLen, 0)
	qt.Assert(t, q.Len(), qt.Equals, 0)
}

// Guards against a head that waits for one model holding up the account's other models, and against
// asking about so many models that the cost grows with them.
func TestNextPassesClassesThatAreNotReady(t *testing.T) {
	q := New()
	for n := range uint64(20) {
		q.Push(Item{ID: n, Account: "a", Class: fmt.Sprint(n % 10), Weight: 1, Tokens: 1})
	}
	i, ok := q.Next(0, func(i Item) bool { return i.Class == "1" })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, i.ID, qt.Equals, uint64(1))
	asked := 0
	_, ok = q.Next(0, func(Item) bool { asked++; return false })
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, asked, qt.Equals, maxClasses)
	for _, want := range []uint64{0, 2, 3} {
		i, _ = q.Next(0, always)
		qt.Assert(t, i.ID, qt.Equals, want)
	}
}

// Guards against an account that saves up service while its head is not ready.
func TestSkippedAccountDoesNotSaveUp(t *testing.T) {
	q := New()
	for n := range uint64(200) {
		q.Push(Item{ID: n, Account: fmt.Sprint(n % 2), Weight: 1, Tokens: 1})
	}
	for range 50 {
		q.Next(0, func(i Item) bool { return i.Account == "1" })
	}
	for range 20 {
		q.Next(0, always)
	}
	qt.Assert(t, math.Abs(float64(q.Backlog("0")-90)) <= 1, qt.IsTrue)
}

// Guards against an account at five times its weight delaying the others: their
// waits stay within one item of each account, while its own queue grows.
func TestPropertyGreedyAccountDelaysOnlyItself(t *testing.T) {
	const accounts, size, rounds = 5, 10, 400
	q, waits, id := New(), [accounts]int{}, uint64(0)
	pushed := map[uint64]int{}
	for served := range rounds * accounts {
		if served%accounts == 0 {
			for a := range accounts {
				for n := 0; n == 0 || a == 0 && n < 5; n++ {
					id++
					pushed[id] = served
					q.Push(Item{ID: id, Account: fmt.Sprint(a), Weight: 100, Tokens: size})
				}
			}
		}
		i, _ := q.Next(0, always)
		a := int(i.Account[0] - '0')
		waits[a] = max(waits[a], served-pushed[i.ID])
	}
	for a := 1; a < accounts; a++ {
		qt.Assert(t, waits[a] <= accounts, qt.IsTrue, qt.Commentf("account %d waited %d items", a, waits[a]))
	}
	qt.Assert(t, waits[0] > rounds, qt.IsTrue)
}

// Guards against unfair shares, idling with a ready item, and lost items: between two
// accounts that wait throughout an interval, service by weight differs by at most
// one largest item of each.
func TestPropertyFairAndWorkConserving(t *testing.T) {
	const maxTokens = 20
	rapid.Check(t, func(t *rapid.T) {
		q, waiting := New(), map[uint64]Item{}
		n := rapid.IntRange(2, 6).Draw(t, "accounts")
		weights := make([]float64, n)
		for a := range weights {
			weights[a] = float64(rapid.IntRange(1, 9).Draw(t, "weight"))
		}
		light := rapid.Bool().Draw(t, "light") // empties often
		gap := make([][2]float64, n*n)         // extremes of the difference since both wait
		diff := make([]float64, n*n)
		for step := range uint64(rapid.IntRange(1, 300).Draw(t, "steps")) {
			a := rapid.IntRange(0, n-1).Draw(t, "account")
			kind := rapid.IntRange(0, 4).Draw(t, "step")
			if light && kind == 2 {
				kind = 3
			}
			switch kind {
			case 0, 1, 2:
				i := Item{step, fmt.Sprint(a), fmt.Sprint(step % 3), weights[a], rapid.Int64Range(1, maxTokens).Draw(t, "tokens"), rapid.IntRange(0, 2).Draw(t, "priority"), 0}
				q.Push(i)
				waiting[step] = i
			case 3:
				blocked := rapid.SampledFrom([]string{"", "", fmt.Sprint(a)}).Draw(t, "blocked")
				i, ok := q.Next(time.Second, func(i Item) bool { return i.Account != blocked })
				if idle := q.Len() > 0 && q.Backlog(blocked) < total(waiting); !ok && idle {
					t.Fatalf("idle with %d items", q.Len())
				}
				if _, waits := waiting[i.ID]; ok && !waits {
					t.Fatalf("item %d does not wait", i.ID)
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
						p := x*n + y
						diff[p] += served
						if blocked != "" {
							diff[p], gap[p] = 0, [2]float64{}
						}
						gap[p] = [2]float64{min(gap[p][0], diff[p]), max(gap[p][1], diff[p])}
						if gap[p][1]-gap[p][0] > maxTokens/weights[x]+maxTokens/weights[y]+1e-9 {
							t.Fatalf("accounts %d and %d differ by %v", x, y, gap[p])
						}
					}
				}
			case 4:
				id := rapid.Uint64Range(0, step).Draw(t, "id")
				_, waits := waiting[id]
				if q.Remove(id) != waits {
					t.Fatalf("remove of item %d", id)
				}
				delete(waiting, id)
			}
			for p := range diff {
				if q.Backlog(fmt.Sprint(p/n)) == 0 || q.Backlog(fmt.Sprint(p%n)) == 0 {
					diff[p], gap[p] = 0, [2]float64{}
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d items wait, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// total returns the tokens of all items.
func total(items map[uint64]Item) (sum int64) {
	for _, i := range items {
		sum += i.Tokens
	}
	return sum
}

// BenchmarkNext measures a push and a next with every account waiting.
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
				q.Next(0, always)
			}
		})
	}
}

// BenchmarkNextModels measures a push and a next with every model waiting for one account. With busy,
// only the last model asked about is ready.
func BenchmarkNextModels(b *testing.B) {
	for _, models := range []int{20, 870} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("models=%d/busy=%v", models, busy), func(b *testing.B) {
				q, names, asked := New(), make([]string, models), 0
				for m := range names {
					names[m] = fmt.Sprint("model-", m)
					q.Push(Item{ID: uint64(m), Account: "a", Class: names[m], Weight: 1, Tokens: 100})
				}
				ready := func(Item) bool { asked++; return !busy || asked%maxClasses == 0 }
				b.ReportAllocs()
				for i := range b.N {
					q.Push(Item{ID: uint64(models + i), Account: "a", Class: names[i%models], Weight: 1, Tokens: 100})
					q.Next(0, ready)
				}
			})
		}
	}
}
