package dispatch

import (
	"fmt"
	"time"

	"magnoliahoist/intake"
)

// explain returns the figures that a refusal was decided from, for the log; empty for reasons that need none.
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

// explainAllowance describes the state of the request's account.
func (s *State) explainAllowance(now time.Duration, r *request) string {
	a := s.accounts[r.account]
	if a == nil {
		return ""
	}
	pause := max(a.borrowing.pausedUntil-now, 0)
	return fmt.Sprintf("cost %d, missing %d, part %.2f of %.0f/s, to be %.2f, bucket %.0f, could wait %v, lenders %d, asked %d, none asked for %v from cost %d",
		r.cost, a.ledger.Shortfall(now, r.cost), a.fraction, a.spec.Rate, max(a.gain.fraction, a.fraction), a.ledger.Level(now), r.tokenWait(now),
		len(a.lenders), a.borrowing.lendersAsked, pause, a.borrowing.pausedCost)
}

// explainEndpoints counts the endpoints of the request's pool by the reason why they were not chosen.
func (s *State) explainEndpoints(now time.Duration, r *request) string {
	var leaving, evacuated, tried, otherVersion, withoutModel, ejected, cold, fullOrLate int
	g, isGeneration := r.arrival.Request.Work.(intake.Generation)
	for _, ep := range r.pool.endpoints {
		switch {
		case ep.Leaving:
			leaving++
		case ep.Evacuated:
			evacuated++
		case r.tried(ep.ID):
			tried++
		case !r.fits(ep):
			otherVersion++
		case isGeneration && !ep.servesModel(now, g.Model):
			withoutModel++
		case now < ep.ejectedUntil:
			ejected++
		case s.heldBack(now, ep):
			cold++
		default:
			fullOrLate++
		}
	}
	return fmt.Sprintf("endpoints %d, leaving %d, evacuated %d, tried %d, of another version %d, without the model %d, ejected %d, cold %d, full or too late %d, adapters orderable %t",
		len(r.pool.endpoints), leaving, evacuated, tried, otherVersion, withoutModel, ejected, cold, fullOrLate, r.pool.canOrderAdapters)
}
