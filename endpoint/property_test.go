package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPropertyPickIsAllowed guards, over random changes of the view, against the choice of an endpoint that is leaving, excluded,
// at capacity, ejected while a healthy one is left, or without the model, and against no choice while an allowed endpoint is left.
func TestPropertyPickIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(Settings{Seed: 1})
		now := time.Duration(0)
		running := make(map[int]int)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			e := fmt.Sprint("e", rapid.IntRange(0, maxCandidates-1).Draw(t, "endpoint"))
			m := fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "model"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				var list []Endpoint
				for n := range maxCandidates {
					if rapid.IntRange(0, 4).Draw(t, "absent") > 0 {
						list = append(list, Endpoint{Name: fmt.Sprint("e", n), Domain: fmt.Sprint("d", n%3), Pool: "p", Slots: 2})
					}
				}
				v.SetEndpoints(now, list)
			case 1, 2:
				resident := []ResidentModel{{Model: m, Version: "1"}}
				if rapid.Bool().Draw(t, "two") {
					resident = append(resident, ResidentModel{Model: "m0", Version: "2", Adapters: []string{"a"}})
				}
				v.SetResidentModels(e, resident)
			case 3:
				v.SetLeaving(e, rapid.Bool().Draw(t, "leaving"))
			case 4:
				taken := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond
				v.SetReport(now, e, Report{Running: rapid.IntRange(0, 4).Draw(t, "running"), TakenAt: taken})
			case 5:
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			case 6, 7:
				for i := range v.entries {
					for running[i] > 0 {
						v.FinishAttempt(now, i, 10, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
						running[i]--
					}
				}
			default:
				w := Requirements{Model: m, Domain: "d1", Adapter: "a", Version: "1", Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))}
				if rapid.Bool().Draw(t, "exclude") {
					w.Exclude = []int{0}
				}
				i, ok := v.Pick(now, w)
				checkChoice(t, v, now, w, i, ok)
				if ok {
					v.StartAttempt(now, i, 10)
					running[i]++
				}
			}
			for i := range v.entries {
				if v.entries[i].ownCalls != running[i] {
					t.Fatalf("endpoint %d has %d calls in flight, the view counts %d", i, running[i], v.entries[i].ownCalls)
				}
			}
		}
	})
}

// checkChoice compares a choice with the endpoints that a search through all of them allows.
func checkChoice(t *rapid.T, v *View, now time.Duration, w Requirements, chosen int, ok bool) {
	allowed := make(map[int]bool)
	for _, ejected := range []bool{false, true} {
		live := 0
		for i := range v.entries {
			e := &v.entries[i]
			holds := slices.ContainsFunc(e.resident, func(h ResidentModel) bool { return h.Model == w.Model })
			if e.removed || e.leaving || !holds || e.ejected != ejected {
				continue
			}
			live++
			if !slices.Contains(w.Exclude, i) && !v.atCapacity(now, e) {
				allowed[i] = true
			}
		}
		if live > 0 {
			break
		}
	}
	if !ok && len(allowed) > 0 {
		t.Fatalf("no endpoint chosen, although %v are allowed", allowed)
	}
	if !ok || allowed[chosen] {
		return
	}
	if e := &v.entries[chosen]; !e.ejected || e.probing || now < e.ejectedUntil || e.leaving || e.removed || v.atCapacity(now, e) || slices.Contains(w.Exclude, chosen) {
		t.Fatalf("endpoint %d chosen, allowed are only %v and ejected ones due for a probe", chosen, allowed)
	}
}
