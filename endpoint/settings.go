// Package endpoint holds a host's view of the endpoints and chooses one for each attempt.
package endpoint

import "time"

// Settings are the parameters of a view. Zero fields take their defaults.
type Settings struct {
	Seed               uint64                    // seed of the sampling generator
	DomainCost         func(a, b string) float64 // score added for a call between two failure domains; 1 is the utilization of a full endpoint
	Overcommit         float64                   // calls in flight per slot above which requests queue on the host
	TokensPerSlot      int64                     // tokens in flight that count as one full slot
	TokenWeight        float64                   // weight of tokens relative to calls in the utilization
	AffinityBonus      float64                   // score subtracted for the endpoint that the prefix prefers
	AffinityMaxRatio   float64                   // highest utilization of the preferred endpoint, relative to the mean of the candidates
	AffinitySlack      float64                   // utilization that the preferred endpoint may have above AffinityMaxRatio times the mean
	MissCost           float64                   // score added for an endpoint that does not hold the adapter or version
	ReportMaxAge       time.Duration             // age at which a load report no longer counts
	EjectAfterFailures int                       // consecutive failures after which an endpoint is ejected
	BaseEjectionTime   time.Duration             // length of the first ejection; it doubles with every failed probe
	MaxEjectionTime    time.Duration
	RetryShare         float64       // retries allowed per first attempt
	RetryFloor         float64       // retries allowed within the window in addition, even without first attempts
	RetryWindow        time.Duration // time constant of the decaying counts of the retry budget
}

// WithDefaults returns the settings with every zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	if s.DomainCost == nil {
		s.DomainCost = defaultDomainCost
	}
	setDefault(&s.Overcommit, 1)
	setDefault(&s.TokensPerSlot, 1024)
	setDefault(&s.TokenWeight, 0.5)
	setDefault(&s.AffinityBonus, 0.1)
	setDefault(&s.AffinityMaxRatio, 1.25)
	setDefault(&s.AffinitySlack, 0.2)
	setDefault(&s.MissCost, 0.5)
	setDefault(&s.ReportMaxAge, 3*time.Second) // the freshness window; reports arrive once a second
	setDefault(&s.EjectAfterFailures, 5)
	setDefault(&s.BaseEjectionTime, time.Second)
	setDefault(&s.MaxEjectionTime, time.Minute)
	setDefault(&s.RetryShare, 0.1)
	setDefault(&s.RetryFloor, 2)
	setDefault(&s.RetryWindow, 10*time.Second)
	return s
}

// setDefault sets a zero field to the value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// defaultDomainCost is 0 within a failure domain and 0.1 between two.
func defaultDomainCost(a, b string) float64 {
	if a == b {
		return 0
	}
	return 0.1
}
