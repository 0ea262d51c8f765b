package bench

import (
	"cmp"
	"slices"

	"magnoliahoist/state"
)

// Result is the measures of one run.
type Result struct {
	Attained float64 // requests attained, for each accelerator and minute
	Share    float64 // part of the requests that were attained
	Moves    float64 // model loads after the warm-up
	Worst    float64 // served part of the entitlement of the worst-served account
	Jain     float64 // index over the accounts' served parts
	Wrong    float64 // refusals beyond those of one bucket with the account's whole rate, part of the requests
	Failed   float64 // requests lost without a complete answer, part of the requests
	Excess   float64 // tokens above the limit
	Over     bool    // memory of an endpoint was overcommitted
	Reasons  map[state.Reason]int
}

func (r *run) result(arrivals []arrival) Result {
	total := max(float64(r.total), 1)
	out := Result{
		Attained: float64(r.attained) / float64(len(r.engines)) / r.input.Length.Minutes(),
		Share:    float64(r.attained) / total,
		Moves:    float64(r.moves),
		Failed:   float64(r.failed) / total,
		Reasons:  map[state.Reason]int{},
	}
	var shares []float64
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for n, a := range r.Routes.Accounts {
		m := r.meters[a.Name]
		refused, entitled := r.reference(n, arrivals)
		shares = append(shares, share(m.served, entitled))
		out.Wrong += float64(max(m.refused-refused, 0)) / total
		out.Excess = max(out.Excess, m.excess())
		for reason, n := range m.reasons {
			out.Reasons[reason] += n
		}
	}
	out.Worst, out.Jain = slices.Min(shares), jain(shares)
	for _, e := range r.engines {
		out.Over = out.Over || e.over
	}
	return out
}

// share returns the served part of what an account was entitled to.
func share(served, entitled int64) float64 {
	if entitled <= 0 {
		return 1
	}
	return min(float64(served)/float64(entitled), 1)
}

// jain returns Jain's fairness index: 1 when all are equal, 1/n when one has all.
func jain(list []float64) float64 {
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
