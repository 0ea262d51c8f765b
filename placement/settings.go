// Package placement decides which endpoints of a pool hold which models and adapters, and accounts for the memory of each
// endpoint.
package placement

import "time"

// Settings configure a manager. Fields that are zero take their defaults.
type Settings struct {
	Replicas      int           // replicas of a model whose table entry sets none
	WeightRate    float64       // limit on model loads per second, set by the weight store
	WeightFull    int           // limit on model loads in flight, beyond which the weight store slows them down
	AdapterKnee   int           // limit on adapter loads in flight, beyond which they slow down
	Outstanding   int           // limit on orders without a result on an endpoint that checks fencing numbers
	Settle        time.Duration // how long after an order a late duplicate may reach an endpoint that ignores fencing numbers
	Lag           time.Duration // how much older than its request the contents of a report may be
	Silence       time.Duration // age of the last report from which an endpoint counts as unavailable
	LoadLimit     time.Duration // age from which a load without a result no longer counts as a replica
	Resend        time.Duration // wait before an order without a result is sent again
	Backoff       time.Duration // wait before the next order to an endpoint that rejected one
	ReplicaTokens float64       // tokens per second that a replica serves; 0 leaves replicas as configured
	Grow          float64       // fraction of TokensPerReplica above which replicas are added
	Shrink        float64       // fraction of TokensPerReplica below which a replica is removed
	ShrinkAfter   time.Duration // how long demand must stay below that fraction for each replica removed
}

// WithDefaults returns the settings with every zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Replicas, 2)
	setDefault(&s.WeightRate, 1.5)
	setDefault(&s.WeightFull, 10)
	setDefault(&s.AdapterKnee, 90)
	setDefault(&s.Outstanding, 4)
	setDefault(&s.Settle, 60*time.Second)
	setDefault(&s.Lag, 10*time.Second)
	setDefault(&s.Silence, 10*time.Second)
	setDefault(&s.LoadLimit, time.Minute)
	setDefault(&s.Resend, 5*time.Second)
	setDefault(&s.Backoff, time.Second)
	setDefault(&s.Grow, 0.8)
	setDefault(&s.Shrink, 0.5) // less than GrowAbove, so that an added replica isn't removed at the same demand
	setDefault(&s.ShrinkAfter, 2*time.Minute)
	return s
}

// setDefault sets a zero field to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
