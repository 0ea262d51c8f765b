// Package endpoint holds a host's view of endpoints and chooses one for each attempt.
package endpoint

import "time"

// Settings are the constants of a view; zero fields take their defaults.
type Settings struct {
	Seed          uint64                    // seed of the sampling generator
	Distance      func(a, b string) float64 // cost between failure domains, in loads of a full endpoint
	Overcommit    float64                   // in-flight calls per slot above which callers queue
	SlotTokens    int64                     // tokens in flight that count as a full slot
	TokenWeight   float64                   // weight of tokens against calls in the load
	AffinityGain  float64                   // score gained by the endpoint of the prefix
	AffinityBound float64                   // highest load of the prefix's endpoint relative to the mean
	AffinitySlack float64                   // load that the prefix's endpoint may have above the bound
	MissCost      float64                   // cost of an adapter or version that is not resident
	ReportLife    time.Duration             // age at which a report no longer counts
	EjectAfter    int                       // consecutive failures that eject
	EjectHold     time.Duration             // first hold time; it doubles with every failed probe
	EjectMax      time.Duration             // longest hold time
	RetryShare    float64                   // retries per started call
	RetryFloor    float64                   // retries allowed within the window without any call
	RetryWindow   time.Duration             // time constant of the decaying counts
}

// WithDefaults returns the settings with every zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	if s.Distance == nil {
		s.Distance = unequal
	}
	fill(&s.Overcommit, 1)
	fill(&s.SlotTokens, 1024)
	fill(&s.TokenWeight, 0.5)
	fill(&s.AffinityGain, 0.1)
	fill(&s.AffinityBound, 1.25)
	fill(&s.AffinitySlack, 0.2)
	fill(&s.MissCost, 0.5)
	fill(&s.ReportLife, 3*time.Second) // the freshness window; reports arrive once a second
	fill(&s.EjectAfter, 5)
	fill(&s.EjectHold, time.Second)
	fill(&s.EjectMax, time.Minute)
	fill(&s.RetryShare, 0.1)
	fill(&s.RetryFloor, 2)
	fill(&s.RetryWindow, 10*time.Second)
	return s
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func unequal(a, b string) float64 {
	if a == b {
		return 0
	}
	return 0.1
}
