package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/dispatch"
)

// tellings is what hosts have told, kept whole; the sum over it is the baseline of Loads.
type tellings map[string]telling

type telling struct {
	at    time.Duration
	loads []dispatch.Load
}

func (t tellings) others(now time.Duration, except string) []dispatch.Load {
	sums := map[string]dispatch.Load{}
	for host, told := range t {
		if host == except || now-told.at > 2*time.Second {
			continue
		}
		for _, l := range told.loads {
			sum := sums[l.Endpoint]
			sum.Endpoint = l.Endpoint
			sum.Running += l.Running
			for level, tokens := range l.Backlog {
				sum.Backlog[level] += tokens
			}
			sums[l.Endpoint] = sum
		}
	}
	list := []dispatch.Load{}
	for _, l := range sums {
		if l.Running != 0 || l.Backlog != (dispatch.Backlog{}) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b dispatch.Load) int { return map[bool]int{true: -1, false: 1}[a.Endpoint < b.Endpoint] })
	return list
}

// TestLoadsOfOthers guards against load that is counted twice, counted for its own host, or kept after its host is
// silent.
func TestLoadsOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads, baseline, now := dispatch.NewLoads(), tellings{}, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "turns") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
			var told []dispatch.Load
			for n := range rapid.IntRange(0, 3).Draw(t, "endpoints") {
				told = append(told, dispatch.Load{
					Endpoint: fmt.Sprint("e", n),
					Running:  rapid.IntRange(0, 5).Draw(t, "running"),
					Backlog:  dispatch.Backlog{int64(rapid.IntRange(0, 5).Draw(t, "unread"))},
				})
			}
			got := loads.Take(now, host, told)
			if want := baseline.others(now, host); !slices.EqualFunc(got, want, func(a, b dispatch.Load) bool {
				return a.Endpoint == b.Endpoint && a.Running == b.Running && a.Backlog == b.Backlog
			}) {
				t.Fatalf("%s gets %v, want %v", host, got, want)
			}
			baseline[host] = telling{now, told}
		}
	})
}

// fleet returns what 28 hosts tell of 145 endpoints, the largest pool of the users.
func fleet() map[string][]dispatch.Load {
	hosts := map[string][]dispatch.Load{}
	for h := range 28 {
		var list []dispatch.Load
		for e := range 145 {
			list = append(list, dispatch.Load{Endpoint: fmt.Sprintf("e%03d", e), Running: 1 + (h+e)%3, Backlog: dispatch.Backlog{int64(e)}})
		}
		hosts[fmt.Sprintf("h%02d", h)] = list
	}
	return hosts
}

// BenchmarkLoads compares the sum that is kept with the baseline that sums anew; one round of 28 hosts each.
func BenchmarkLoads(b *testing.B) {
	hosts := fleet()
	b.Run("kept", func(b *testing.B) {
		loads := dispatch.NewLoads()
		for range b.N {
			for host, told := range hosts {
				loads.Take(time.Second, host, told)
			}
		}
	})
	b.Run("baseline", func(b *testing.B) {
		all := tellings{}
		for range b.N {
			for host, told := range hosts {
				all[host] = telling{time.Second, told}
				all.others(time.Second, host)
			}
		}
	})
}

// TestLoadsMeanNothingElse guards against a sum that hands on what belongs to one host only.
func TestLoadsMeanNothingElse(t *testing.T) {
	loads := dispatch.NewLoads()
	loads.Take(0, "a", []dispatch.Load{{Endpoint: "e", Running: 1, Used: []dispatch.Adapter{{Model: "m", Adapter: "a1"}}}})
	got := loads.Take(0, "b", nil)
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].Used, qt.HasLen, 0)
}
