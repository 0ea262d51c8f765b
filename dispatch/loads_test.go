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

// hostReports holds the last report of each host. Summing them anew is the baseline against which LoadReports is checked.
type hostReports map[string]hostReport

// hostReport is the last report of a host.
type hostReport struct {
	at    time.Duration
	loads []dispatch.Load
}

// sumOfOthers returns the sum of the reports of all hosts but one that are not older than two seconds.
func (reports hostReports) sumOfOthers(now time.Duration, except string) []dispatch.Load {
	sums := map[string]dispatch.Load{}
	for host, report := range reports {
		if host == except || now-report.at > 2*time.Second {
			continue
		}
		for _, l := range report.loads {
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

// TestLoadsOfOthers guards against counting a load twice, counting it in the response to its own host, or keeping it after its
// host has stopped reporting.
func TestLoadsOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads, baseline, now := dispatch.NewLoadReports(), hostReports{}, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
			var report []dispatch.Load
			for n := range rapid.IntRange(0, 3).Draw(t, "endpoints") {
				report = append(report, dispatch.Load{
					Endpoint: fmt.Sprint("e", n),
					Running:  rapid.IntRange(0, 5).Draw(t, "running"),
					Backlog:  dispatch.Backlog{int64(rapid.IntRange(0, 5).Draw(t, "pending"))},
				})
			}
			got := loads.Exchange(now, host, report)
			if want := baseline.sumOfOthers(now, host); !slices.EqualFunc(got, want, func(a, b dispatch.Load) bool {
				return a.Endpoint == b.Endpoint && a.Running == b.Running && a.Backlog == b.Backlog
			}) {
				t.Fatalf("host %s gets %v, want %v", host, got, want)
			}
			baseline[host] = hostReport{now, report}
		}
	})
}

// fleetReports returns the reports of 28 hosts for 145 endpoints, the users' largest pool.
func fleetReports() map[string][]dispatch.Load {
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

// BenchmarkLoads compares LoadReports, which keeps the sum, with the baseline, which sums anew for each host. One iteration is a
// report from each of 28 hosts.
func BenchmarkLoads(b *testing.B) {
	hosts := fleetReports()
	b.Run("kept", func(b *testing.B) {
		loads := dispatch.NewLoadReports()
		for range b.N {
			for host, report := range hosts {
				loads.Exchange(time.Second, host, report)
			}
		}
	})
	b.Run("baseline", func(b *testing.B) {
		baseline := hostReports{}
		for range b.N {
			for host, report := range hosts {
				baseline[host] = hostReport{time.Second, report}
				baseline.sumOfOthers(time.Second, host)
			}
		}
	})
}

// TestLoadSumOmitsUsedAdapters guards against passing on used adapters, which count only in a host's own report.
func TestLoadSumOmitsUsedAdapters(t *testing.T) {
	loads := dispatch.NewLoadReports()
	loads.Exchange(0, "a", []dispatch.Load{{Endpoint: "e", Running: 1, UsedAdapters: []dispatch.Adapter{{Model: "m", Adapter: "a1"}}}})
	got := loads.Exchange(0, "b", nil)
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].UsedAdapters, qt.HasLen, 0)
}
