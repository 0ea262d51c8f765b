package lease_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/lease"
)

// candidates returns equally strong hosts.
func candidates(names []string) []lease.Candidate {
	var list []lease.Candidate
	for _, name := range names {
		list = append(list, lease.Candidate{Host: name, Power: 1})
	}
	return list
}

func hostNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("host-", i)
	}
	return names
}

// TestSuccessionStages guards against many hosts that acquire a free lease at the same moment, and against a long wait when
// most hosts are down.
func TestSuccessionStages(t *testing.T) {
	for name, test := range map[string]struct{ hosts, lastStage int }{
		"5 hosts":   {5, 2},
		"118 hosts": {118, 6},
		"400 hosts": {400, 8},
	} {
		t.Run(name, func(t *testing.T) {
			s := lease.NewSuccession("pool", candidates(hostNames(test.hosts)))
			perStage := map[int]int{}
			for _, host := range hostNames(test.hosts) {
				perStage[s.Stage(host)]++
			}
			qt.Check(t, perStage[0], qt.Equals, 1)
			for stage := 1; stage < test.lastStage; stage++ {
				qt.Check(t, perStage[stage], qt.Equals, 1<<stage)
			}
			qt.Check(t, perStage, qt.HasLen, test.lastStage+1)
			qt.Check(t, s.Stage(s.First(1)[0]), qt.Equals, 0)
			qt.Check(t, s.Stage("unknown") > test.lastStage, qt.IsTrue)
		})
	}
}

// TestSuccessionAgrees guards against hosts that rank the same hosts differently because they list them in another order, and
// against one host that comes first for every lease.
func TestSuccessionAgrees(t *testing.T) {
	names := hostNames(30)
	reversed := make([]string, 0, len(names))
	for i := range names {
		reversed = append(reversed, names[len(names)-1-i])
	}
	first := map[string]bool{}
	for i := range 20 {
		pool := fmt.Sprint("pool-", i)
		a, b := lease.NewSuccession(pool, candidates(names)).First(3), lease.NewSuccession(pool, candidates(reversed)).First(3)
		qt.Assert(t, a, qt.DeepEquals, b)
		first[a[0]] = true
	}
	qt.Check(t, len(first) > 5, qt.IsTrue)
}

// TestSuccessionPower guards against a weak host that holds a lease while strong ones could: answering hundreds of hosts five
// times a second fills a link of 25 Mbit/s.
func TestSuccessionPower(t *testing.T) {
	list := candidates(hostNames(118))
	for i := range list {
		list[i].Power = 0.48 * 25
		if i%7 == 0 {
			list[i].Power = 0.8 * 200
		}
	}
	first := lease.NewSuccession("pool", list).First(17)
	for _, c := range list {
		if c.Power > 100 {
			qt.Check(t, slices.Contains(first, c.Host), qt.IsTrue, qt.Commentf("%s", c.Host))
		}
	}
}

// TestFreeLeaseHerd guards against hundreds of hosts that all write the row of a lease that they find free: at a start, after
// a release and after the holder's end. Each host reads the row every 0.25 s; a write takes effect before the next reads.
func TestFreeLeaseHerd(t *testing.T) {
	settings := renewalSettings
	settings.StageDelay = 300 * time.Millisecond
	for name, test := range map[string]struct {
		row       lease.Record
		revision  int64
		down      int           // of the first hosts in the order
		maxWrites int           // until the lease is acquired
		maxDelay  time.Duration // after the first host could have acquired it
	}{
		"no row":                 {lease.Record{}, 0, 0, 1, 500 * time.Millisecond},
		"released":               {lease.Record{Holder: "gone", FencingNumber: 3, Released: true}, 9, 0, 1, 500 * time.Millisecond},
		"holder gone":            {lease.Record{Holder: "gone", FencingNumber: 3}, 9, 0, 1, 500 * time.Millisecond},
		"first ten down as well": {lease.Record{Holder: "gone", FencingNumber: 3}, 9, 10, 8, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			names := hostNames(300)
			order := lease.NewSuccession("pool", candidates(names))
			up := names
			for _, host := range order.First(test.down) {
				up = removeName(up, host)
			}
			leases := map[string]*lease.RenewedLease{}
			for _, host := range up {
				leases[host] = lease.NewRenewedLease(settings, host)
				leases[host].SetStage(order.Stage(host))
			}
			earliest := settings.HandoverGap
			switch {
			case test.revision == 0:
				earliest = 0
			case !test.row.Released:
				earliest += settings.HoldDuration
			}
			writes, acquiredAt := 0, time.Duration(-1)
			for now := time.Duration(0); acquiredAt < 0 && now < time.Minute; now += 50 * time.Millisecond {
				for _, host := range up {
					if now%(250*time.Millisecond) == 0 {
						leases[host].Observe(lease.Read{Started: now, Ended: now, Revision: test.revision}, test.row, test.revision)
					}
					if action, _, _ := leases[host].NextWrite(now); action == lease.Acquire {
						writes++
						acquiredAt = now
					}
				}
			}
			qt.Check(t, writes >= 1 && writes <= test.maxWrites, qt.IsTrue, qt.Commentf("%d writes", writes))
			qt.Check(t, acquiredAt >= earliest && acquiredAt-earliest <= test.maxDelay, qt.IsTrue, qt.Commentf("acquired at %v, possible from %v", acquiredAt, earliest))
		})
	}
}

func removeName(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}
