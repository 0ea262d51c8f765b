// Package placement decides which endpoint of a pool holds which models and keeps the ledger of their memory.
package placement

import "time"

// Settings are the constants of a manager; zero fields take their defaults.
type Settings struct {
	Replicas      int           // replicas of a model that names none
	WeightRate    float64       // model loads per second that the weight store serves
	WeightFull    int           // model loads at once at full speed
	AdapterKnee   int           // adapter loads in flight beyond which they slow down
	Outstanding   int           // orders without a result on an endpoint that checks fencing numbers
	Settle        time.Duration // how long a late duplicate may arrive on an endpoint that ignores numbers
	Lag           time.Duration // how much older than its request a report may be
	Silence       time.Duration // age of the last report at which an endpoint counts as unreachable
	LoadLimit     time.Duration // age at which an unanswered load no longer counts as a coming replica
	Resend        time.Duration // wait before an order without a result is sent again
	Backoff       time.Duration // wait after a rejected order
	ReplicaTokens float64       // tokens per second that a replica serves; 0 leaves replicas as configured
	Grow          float64       // part of the capacity above which replicas are added
	Shrink        float64       // part of the capacity below which a replica is removed
	ShrinkAfter   time.Duration // how long demand must stay low for each replica removed
}

// WithDefaults returns the settings with every zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	fill(&s.Replicas, 2)
	fill(&s.WeightRate, 1.5)
	fill(&s.WeightFull, 10)
	fill(&s.AdapterKnee, 90)
	fill(&s.Outstanding, 4)
	fill(&s.Settle, 60*time.Second)
	fill(&s.Lag, 10*time.Second)
	fill(&s.Silence, 10*time.Second)
	fill(&s.LoadLimit, time.Minute)
	fill(&s.Resend, 5*time.Second)
	fill(&s.Backoff, time.Second)
	fill(&s.Grow, 0.8)
	fill(&s.Shrink, 0.5) // below Grow, so that a replica added is not removed at the same demand
	fill(&s.ShrinkAfter, 2*time.Minute)
	return s
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
