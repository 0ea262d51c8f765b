package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/soak"
)

// TestPlanLeaves guards against plans in which no endpoint leaves while a host that tells the others may be without the
// store, and nothing else excuses hosts that learn of it late.
func TestPlanLeaves(t *testing.T) {
	calm := 0
	for seed := range uint64(200) {
		leaves, silent, others := 0, 0, 0
		for _, s := range soak.NewPlan(seed, usualSizes, playLength) {
			switch a := s.Act.(type) {
			case soak.LeaveEndpoint:
				leaves++
				qt.Check(t, s.For > drain, qt.IsTrue)
				qt.Check(t, a.Endpoint >= usualSizes.Engines && a.Endpoint < usualSizes.Endpoints, qt.IsTrue)
			case soak.Disturb:
				if a.Link == soak.StoreLink && a.Trouble == soak.Silent && s.For > 3*time.Second {
					silent++
				} else {
					others++
				}
			case soak.Withdraw:
			default:
				others++
			}
		}
		if leaves > 0 && silent > 0 && others == 0 {
			calm++
		}
	}
	qt.Check(t, calm >= 10, qt.IsTrue, qt.Commentf("%d of 200 plans", calm))
}

// TestPlanOfRegressions guards against a change of the plans that turns a seed which failed once into a play without the
// fault that it failed under.
func TestPlanOfRegressions(t *testing.T) {
	for cause, seed := range regressions {
		found := false
		for _, s := range soak.NewPlan(seed, usualSizes, playLength) {
			switch s.Act.(type) {
			case soak.Isolate, soak.LeaveEndpoint:
				found = true
			}
		}
		qt.Check(t, found, qt.IsTrue, qt.Commentf("%s, seed %d", cause, seed))
	}
}
