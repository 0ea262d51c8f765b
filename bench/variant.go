package bench

import (
	"time"

	"magnoliahoist/state"
)

// Variant is the policy, or a baseline that differs from it in settings or in how effects are carried out.
type Variant struct {
	Name            string
	NoLoans         bool // lenders lend nothing
	StaticPlacement bool // placement does not follow demand or losses after the warm-up
	change          func(*state.Settings)
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
	s.EndpointView.AffinityBonus, s.EndpointView.TokenWeight, s.EndpointView.MissCost = effectivelyZero, effectivelyZero, effectivelyZero
	s.EndpointView.ReportMaxAge = time.Nanosecond
	s.EndpointView.DomainCost = func(a, b string) float64 { return 0 }
}

// firstInFirstOut serves waiting requests in order of arrival.
func firstInFirstOut(s *state.Settings) { s.FirstInFirstOut = true }

// noRetryBudget removes the bound on retries.
func noRetryBudget(s *state.Settings) {
	s.EndpointView.RetryShare, s.EndpointView.RetryFloor = 1e9, 1e9
}

// noEjection never ejects endpoints.
func noEjection(s *state.Settings) { s.EndpointView.EjectAfterFailures = 1 << 30 }

// Variants returns the policy followed by its baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "policy"},
		{Name: "least outstanding", change: leastOutstanding},
		{Name: "first come", change: firstInFirstOut},
		{Name: "fixed split", NoLoans: true},
		{Name: "static placement", StaticPlacement: true},
		{Name: "no retry budget", change: noRetryBudget},
		{Name: "no ejection", change: noEjection},
		{Name: "plain", NoLoans: true, StaticPlacement: true, change: func(s *state.Settings) {
			leastOutstanding(s)
			firstInFirstOut(s)
			noRetryBudget(s)
			noEjection(s)
		}},
	}
}
