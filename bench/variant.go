package bench

import (
	"time"

	"magnoliahoist/state"
)

// Variant is the policy, or a baseline that differs from it in settings or in how effects are carried out.
type Variant struct {
	Name    string
	NoLoans bool // lenders lend nothing
	Static  bool // placement does not follow demand or losses after the warm-up
	change  func(*state.Settings)
}

// settings returns the host settings with the variant's change.
func (v Variant) settings(s state.Settings) state.Settings {
	if v.change != nil {
		v.change(&s)
	}
	return s
}

// effectivelyZero is used in place of 0, which the settings replace by their default.
const effectivelyZero = 1e-9

// leastOutstanding chooses endpoints only by the host's own attempts in flight.
func leastOutstanding(s *state.Settings) {
	s.View.AffinityGain, s.View.TokenWeight, s.View.MissCost = effectivelyZero, effectivelyZero, effectivelyZero
	s.View.ReportLife = time.Nanosecond
	s.View.Distance = func(a, b string) float64 { return 0 }
}

// firstInFirstOut serves waiting requests in order of arrival.
func firstInFirstOut(s *state.Settings) { s.FirstCome = true }

// noRetryBudget removes the bound on retries.
func noRetryBudget(s *state.Settings) { s.View.RetryShare, s.View.RetryFloor = 1e9, 1e9 }

// noEjection never ejects endpoints.
func noEjection(s *state.Settings) { s.View.EjectAfter = 1 << 30 }

// Variants returns the policy followed by its baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "policy"},
		{Name: "least outstanding", change: leastOutstanding},
		{Name: "first come", change: firstInFirstOut},
		{Name: "fixed split", NoLoans: true},
		{Name: "static placement", Static: true},
		{Name: "no retry budget", change: noRetryBudget},
		{Name: "no ejection", change: noEjection},
		{Name: "plain", NoLoans: true, Static: true, change: func(s *state.Settings) {
			leastOutstanding(s)
			firstInFirstOut(s)
			noRetryBudget(s)
			noEjection(s)
		}},
	}
}
