package dispatch

import "time"

const (
	// maxTurn bounds the retry-after of requests that exceed their account's rate.
	maxTurn = 10 * time.Second
	// maxTurnAge is how long hosts rely on what a lender has said about the turns of refused requests. Longer pauses end an overload.
	maxTurnAge = time.Second
	// maxTurnGrowth bounds by how many seconds a second the retry-after is assumed to grow: an account far above its rate.
	maxTurnGrowth = 20
	// minRateRetryAfter is the least retry-after of such a request, for the other requests that wait for the same tokens.
	minRateRetryAfter = 100 * time.Millisecond
)

// turns is what this host knows of the refusals of an account's requests, from which it derives their retry-after.
type turns struct {
	promisedUntil time.Duration // when this host's part will have earned the tokens of all refused requests that it was told of
	refusedUntil  time.Duration // the same for the account, as the last lender has said
	learnedAt     time.Duration // when it said so
	growth        float64       // of refusedUntil, in seconds a second
	unreported    int64         // tokens of refused requests of which no lender was told
}

// promise notes that requests are refused for lack of tokens, and returns when this host's part will have earned these after those
// of earlier refusals; 0 if it holds no part.
func (a *account) promise(now time.Duration, tokens int64) time.Duration {
	rate := a.spec.Rate * a.fraction
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	bucketEarned := now + secondsToDuration(max(-a.ledger.Level(now), 0)/rate)
	until := max(a.turns.promisedUntil, bucketEarned) + secondsToDuration(float64(tokens)/rate)
	a.turns.promisedUntil = min(until, now+maxTurn)
	return a.turns.promisedUntil - now
}

// learn records when the tokens of the refused requests will have been earned.
func (t *turns) learn(now, retryAfter time.Duration) {
	until := now + retryAfter
	if elapsed := now - t.learnedAt; elapsed > maxTurnAge {
		t.growth = 0
	} else if elapsed >= noTokensPause/2 {
		t.growth = (t.growth + min(max((until-t.refusedUntil).Seconds()/elapsed.Seconds(), 0), maxTurnGrowth)) / 2
	}
	t.refusedUntil, t.learnedAt = until, now
}

// next returns the retry-after of a request that is refused without asking a lender. Meanwhile the other hosts refuse requests as well.
func (t *turns) next(now time.Duration) time.Duration {
	elapsed := now - t.learnedAt
	if elapsed > maxTurnAge {
		return 0
	}
	return min(t.refusedUntil+time.Duration(t.growth*float64(elapsed))-now, maxTurn)
}

// refuseForTokens refuses a request that exceeds its account's rate without having asked a lender.
func (s *State) refuseForTokens(now time.Duration, r *request, a *account) {
	a.turns.unreported += r.cost
	a.tokens.Refused += r.cost
	if len(a.lenders) == 0 {
		a.turns.learn(now, a.promise(now, r.cost))
	}
	s.refuse(now, r, RateLimited, max(a.turns.next(now), minRateRetryAfter))
}

// refuseInTurn refuses requests for which no host could lend enough, oldest first. Their retry-afters end with the time that the last
// lender has stated for all of them.
func (s *State) refuseInTurn(now time.Duration, list []*request, a *account) {
	later := int64(0)
	for _, r := range list {
		later += r.cost
	}
	rate := a.spec.Rate / float64(len(a.lenders)+1)
	for _, r := range list {
		later -= r.cost
		a.tokens.Refused += r.cost
		s.refuse(now, r, RateLimited, max(a.turns.refusedUntil-now-secondsToDuration(float64(later)/rate), minRateRetryAfter))
	}
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
