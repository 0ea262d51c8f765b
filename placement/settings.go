// Package placement decides which endpoints of a pool hold which models and adapters, and accounts for the memory of each
// endpoint.
package placement

import "time"

// Settings configure a manager. Fields that are zero take their defaults.
type Settings struct {
	DefaultReplicas     int           // replicas of a model whose table entry sets none
	ModelLoadRate       float64       // limit on model loads per second, set by the weight store
	MaxModelLoads       int           // limit on model loads in flight, beyond which the weight store slows them down
	MaxAdapterLoads     int           // limit on adapter loads in flight, beyond which they slow down
	MaxOpenOrders       int           // limit on orders without a result on an endpoint that checks fencing numbers
	LateDuplicateWindow time.Duration // how long after an order a late duplicate may reach an endpoint that ignores fencing numbers
	ReportLag           time.Duration // how much older than its request the contents of a report may be
	SilenceTimeout      time.Duration // age of the last report from which an endpoint counts as unavailable
	LoadTimeout         time.Duration // age from which a load without a result no longer counts as a replica
	ResendDelay         time.Duration // wait before an order without a result is sent again
	RejectionBackoff    time.Duration // wait before the next order to an endpoint that rejected one
	TokensPerReplica    float64       // tokens per second that a replica serves; 0 leaves replicas as configured
	GrowAbove           float64       // fraction of TokensPerReplica above which replicas are added
	ShrinkBelow         float64       // fraction of TokensPerReplica below which a replica is removed
	ShrinkAfter         time.Duration // how long demand must stay below that fraction for each replica removed
}

// WithDefaults returns the settings with every zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.DefaultReplicas, 2)
	setDefault(&s.ModelLoadRate, 1.5)
	setDefault(&s.MaxModelLoads, 10)
	setDefault(&s.MaxAdapterLoads, 90)
	setDefault(&s.MaxOpenOrders, 4)
	setDefault(&s.LateDuplicateWindow, 60*time.Second)
	setDefault(&s.ReportLag, 10*time.Second)
	setDefault(&s.SilenceTimeout, 10*time.Second)
	setDefault(&s.LoadTimeout, time.Minute)
	setDefault(&s.ResendDelay, 5*time.Second)
	setDefault(&s.RejectionBackoff, time.Second)
	setDefault(&s.GrowAbove, 0.8)
	setDefault(&s.ShrinkBelow, 0.5) // less than GrowAbove, so that an added replica isn't removed at the same demand
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
