package bench

import (
	"cmp"
	"slices"

	"magnoliahoist/state"
)

// Result holds the measures of one run. A request is attained if its response is complete, its first token came within timeToFirstTokenGoal, and no gap
// between tokens exceeded interTokenGoal.
type Result struct {
	AttainedPerMinute   float64              // attained requests per accelerator (endpoint) and minute
	AttainedFraction    float64              // attained requests as a fraction of all requests
	ModelLoads          float64              // model loads after the warm-up
	WorstServedFraction float64              // fraction of its entitlement that the worst-served account got, see referenceOutcome
	JainIndex           float64              // Jain's fairness index over the accounts' served fractions
	WrongfulFraction    float64              // refusals beyond those of a single bucket with the account's whole rate, as a fraction of all requests
	FailedFraction      float64              // requests lost or aborted without a complete response, as a fraction of all requests
	ExcessTokens        float64              // maximum over the accounts of tokens used above the rate limit
	Overcommitted       bool                 // the models of an endpoint exceeded its memory at some time
	RefusalsByReason    map[state.Reason]int // over all accounts
}

// measures returns the result of the run. It sorts the arrivals by time.
func (r *run) measures(arrivals []arrival) Result {
	total := max(float64(r.total), 1)
	out := Result{
		AttainedPerMinute: float64(r.attained) / float64(len(r.engines)) / r.input.Length.Minutes(),
		AttainedFraction:  float64(r.attained) / total,
		ModelLoads:        float64(r.modelLoads),
		FailedFraction:    float64(r.failed) / total,
		RefusalsByReason:  map[state.Reason]int{},
	}
	var servedFractions []float64
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for n, a := range r.Routes.Accounts {
		m := r.meters[a.Name]
		refused, entitled := r.referenceOutcome(n, arrivals)
		servedFractions = append(servedFractions, servedFraction(m.servedTokens, entitled))
		out.WrongfulFraction += float64(max(m.refusals-refused, 0)) / total
		out.ExcessTokens = max(out.ExcessTokens, m.excessTokens())
		for reason, n := range m.refusalsByReason {
			out.RefusalsByReason[reason] += n
		}
	}
	out.WorstServedFraction, out.JainIndex = slices.Min(servedFractions), jainIndex(servedFractions)
	for _, e := range r.engines {
		out.Overcommitted = out.Overcommitted || e.overcommitted
	}
	return out
}

// servedFraction returns which fraction of its entitlement an account got, at most 1. It is 1 for an account that was entitled to nothing.
func servedFraction(served, entitled int64) float64 {
	if entitled <= 0 {
		return 1
	}
	return min(float64(served)/float64(entitled), 1)
}

// jainIndex returns Jain's fairness index: 1 when all values are equal, 1/n when one value is all of the sum, and 1 when all are 0.
func jainIndex(list []float64) float64 {
	var sum, squares float64
	for _, x := range list {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(list)) * squares)
}
