package bench

import (
	"time"

	"magnoliahoist/state"
)

// Variant is the policy or a baseline that differs from it by settings or by how effects are answered.
type Variant struct {
	Name    string
	NoLoans bool // lenders lend nothing
	Static  bool // placement does not follow demand or losses after the warm-up
	change  func(*state.Settings)
}

func (v Variant) settings(s state.Settings) state.Settings {
	if v.change != nil {
		v.change(&s)
	}
	return s
}

// tiny stands for 0, which the settings replace by their default.
const tiny = 1e-9

// leastOutstanding routes by the host's own calls in flight only.
func leastOutstanding(s *state.Settings) {
	s.View.AffinityGain, s.View.TokenWeight, s.View.MissCost = tiny, tiny, tiny
	s.View.ReportLife = time.Nanosecond
	s.View.Distance = func(a, b string) float64 { return 0 }
}

func firstCome(s *state.Settings) { s.FirstCome = true }

func noBudget(s *state.Settings) { s.View.RetryShare, s.View.RetryFloor = 1e9, 1e9 }

func noEjection(s *state.Settings) { s.View.EjectAfter = 1 << 30 }

// Variants returns the policy followed by its baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "policy"},
		{Name: "least outstanding", change: leastOutstanding},
		{Name: "first come", change: firstCome},
		{Name: "fixed split", NoLoans: true},
		{Name: "static placement", Static: true},
		{Name: "no retry budget", change: noBudget},
		{Name: "no ejection", change: noEjection},
		{Name: "plain", NoLoans: true, Static: true, change: func(s *state.Settings) {
			leastOutstanding(s)
			firstCome(s)
			noBudget(s)
			noEjection(s)
		}},
	}
}
