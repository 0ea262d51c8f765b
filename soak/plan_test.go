package soak_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/soak"
)

// TestPlanLeaves guards against seeds that no longer cover this case: an endpoint leaves while a host has no contact with the store, and no
// other fault excuses hosts that learn of the leaving late.
func TestPlanLeaves(t *testing.T) {
	leavesOnly := 0
	for seed := range uint64(200) {
		leaves, silent, otherFaults := 0, 0, 0
		for _, s := range soak.NewPlan(seed, usualSizes, planLength) {
			switch a := s.Act.(type) {
			case soak.LeaveEndpoint:
				leaves++
				qt.Check(t, s.For > drainPeriod, qt.IsTrue)
				qt.Check(t, a.Endpoint >= usualSizes.Engines && a.Endpoint < usualSizes.Endpoints, qt.IsTrue)
			case soak.Disturb:
				if a.Link == soak.StoreLink && a.Trouble == soak.Silent && s.For > 3*time.Second {
					silent++
				} else {
					otherFaults++
				}
			case soak.Withdraw:
			default:
				otherFaults++
			}
		}
		if leaves > 0 && silent > 0 && otherFaults == 0 {
			leavesOnly++
		}
	}
	qt.Check(t, leavesOnly >= 10, qt.IsTrue, qt.Commentf("%d of 200 plans have only leaving endpoints and hosts without the store, expected at least 10", leavesOnly))
}

// TestPlanOfRegressions guards against a change of NewPlan after which a regression seed draws a plan without the fault under which that
// seed failed.
func TestPlanOfRegressions(t *testing.T) {
	for cause, seed := range regressionSeeds {
		found := false
		for _, s := range soak.NewPlan(seed, usualSizes, planLength) {
			switch s.Act.(type) {
			case soak.Isolate, soak.LeaveEndpoint, soak.RestoreStore:
				found = true
			}
		}
		qt.Check(t, found, qt.IsTrue, qt.Commentf("%s, seed %d: the plan has no Isolate, LeaveEndpoint or RestoreStore step", cause, seed))
	}
}

// TestReleasePlan guards against seeds that no longer cover releases beside each kind of fault of a host, and beside the end of all hosts.
func TestReleasePlan(t *testing.T) {
	kinds, allKilled := map[string]int{}, 0
	for seed := range uint64(100) {
		killedAt := map[time.Duration]int{}
		for _, s := range soak.NewReleasePlan(seed, usualSizes, planLength) {
			kinds[fmt.Sprintf("%T", s.Act)]++
			if _, kills := s.Act.(soak.KillHost); kills {
				killedAt[s.At]++
			}
		}
		for _, count := range killedAt {
			if count == usualSizes.Hosts {
				allKilled++
			}
		}
	}
	for _, kind := range []string{"soak.Release", "soak.KillHost", "soak.StopHost", "soak.PauseHost", "soak.Disturb"} {
		qt.Check(t, kinds[kind] >= 50, qt.IsTrue, qt.Commentf("%s: %d", kind, kinds[kind]))
	}
	qt.Check(t, allKilled >= 20, qt.IsTrue, qt.Commentf("%d", allKilled))
}
