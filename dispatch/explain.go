package dispatch

import (
	"fmt"
	"time"

	"magnoliahoist/intake"
)

// explain returns what a refusal was decided from, for the log.
func (s *State) explain(now time.Duration, r *request, reason Reason) string {
	switch reason {
	case RateLimited:
		return s.explainAllowance(now, r)
	case NoModel, NoEndpoint, Overloaded:
		return s.explainEndpoints(now, r)
	default:
		return ""
	}
}

func (s *State) explainAllowance(now time.Duration, r *request) string {
	a := s.accounts[r.account]
	if a == nil {
		return ""
	}
	dry := max(a.borrow.dry-now, 0)
	return fmt.Sprintf("cost %d, missing %d, part %.2f of %.0f/s, debt %d, lenders %d, asked %d, none asked for %v",
		r.cost, a.ledger.Missing(now, r.cost), a.fraction, a.spec.Rate, a.debt, len(a.lenders), a.borrow.asked, dry)
}

// explainEndpoints counts the endpoints of the request's pool by why they were not chosen.
func (s *State) explainEndpoints(now time.Duration, r *request) string {
	var leaving, tried, without, ejected, late int
	g, isGeneration := r.arrive.Request.Work.(intake.Generation)
	for _, n := range r.pool.ordered {
		switch {
		case n.Leaving:
			leaving++
		case r.tried(n.ID):
			tried++
		case isGeneration && !n.holds(now, g.Model):
			without++
		case now < n.until:
			ejected++
		default:
			late++
		}
	}
	return fmt.Sprintf("endpoints %d, leaving %d, tried %d, without the model %d, ejected %d, full or too late %d, adapters orderable %t",
		len(r.pool.ordered), leaving, tried, without, ejected, late, r.pool.orderable)
}
