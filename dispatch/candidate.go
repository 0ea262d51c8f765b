package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// sampleSize is how many random candidates are compared for a request. Hosts learn of each other's requests a few tenths of a
// second late. If each of them chose the best of all engines, all would choose the same one until the next report, and its
// queue would grow by hundreds of milliseconds ("power of two choices").
const sampleSize = 2

// candidate is an endpoint that can serve a request.
type candidate struct {
	choice choice
	score  time.Duration // estimated wait and what else counts for or against the endpoint
	rank   uint64        // random for each request
}

// pickCandidate returns the candidate with the lowest score among sampleSize random ones and the one that holds most of the
// prompt. Candidates at which the request would be late count only if there are no others. Without candidates the choice has no
// endpoint.
func pickCandidate(candidates []candidate) choice {
	inTime := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.choice.level == lateLevel })
	if len(inTime) == 0 {
		inTime = candidates
	}
	if len(inTime) == 0 {
		return choice{}
	}
	cached := slices.MinFunc(inTime, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.choice.uncached, b.choice.uncached), cmp.Compare(a.score, b.score))
	})
	slices.SortFunc(inTime, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	best := slices.MinFunc(inTime[:min(sampleSize, len(inTime))], func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	if cached.choice.uncached < best.choice.uncached && cached.score < best.score {
		return cached.choice
	}
	return best.choice
}
