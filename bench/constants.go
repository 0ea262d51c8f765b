package bench

import "time"

// Constants of the modelled endpoints, of the hosts and of a run. The endpoints resemble a small model with continuous batching: a step of a
// full batch of 16 attempts for four models exceeds interTokenGoal while a prompt is prefilled, a step of 12 attempts does not.
const (
	stepBaseTime           = 6 * time.Millisecond    // of each step of the batch
	stepTimePerModel       = 2500 * time.Microsecond // added for each model with an attempt in the batch
	stepTimePerAttempt     = time.Millisecond        // added for each attempt in the batch
	stepTimePerPromptToken = 50 * time.Microsecond   // added for each prompt token that is prefilled
	promptChunkTokens      = 128                     // prompt tokens prefilled in one step
	prefixCacheTokens      = 6000                    // capacity of an endpoint's prefix cache, in tokens
	missingAdapterDelay    = 100 * time.Millisecond  // before an attempt whose adapter is not resident starts
	modelLoadTime          = 8 * time.Second         // for a model from the weight store, within its concurrency limit
	adapterLoadTime        = 12 * time.Millisecond   // for an adapter, within the concurrency limit of adapter loads
	unloadTime             = 50 * time.Millisecond
	connectionRefusedDelay = time.Millisecond // until a connection to an endpoint that is down is refused
	reportPeriod           = time.Second      // between load reports, and between placement passes
	reportLag              = 300 * time.Millisecond
	tickPeriod             = 10 * time.Millisecond // as in package host
	tableDelay             = 5 * time.Millisecond  // of a request to the table service
	freshnessWindow        = 3 * time.Second
	tablePollInterval      = time.Second
	timeToFirstTokenGoal   = 1900 * time.Millisecond // design page, 1.2
	interTokenGoal         = 36 * time.Millisecond   // design page, 1.2
	warmUp                 = time.Minute             // before the first request: buckets fill and models load
	coolDown               = 20 * time.Second        // after the last arrival: active requests finish
	faultStart             = warmUp + 20*time.Second
	faultDuration          = time.Minute
	tableOutage            = 10 * time.Minute
	tokensPerReplica       = 500.0 // tokens per second that placement expects of a replica
	demandWindow           = 10 * time.Second
)

// Constants of the callers.
const (
	prefixesPerRoute    = 6 // different prompt prefixes for each route
	prefixTokens        = 200
	suffixTokens        = 50
	minOutputTokens     = 50
	maxOutputTokens     = 250 // below callerMaxTokens, so that the limit of 256 that callers set cuts off no response
	callerMaxTokens     = 256
	meanRequestTokens   = prefixTokens + suffixTokens + (minOutputTokens+maxOutputTokens)/2
	burstFactor         = 2.0  // demand within a burst, as a multiple of the account's rate
	idleFactor          = 0.25 // demand between bursts, as a multiple of the account's rate
	burstLength         = 5 * time.Second
	idleLength          = 20 * time.Second
	steadyFactor        = 0.9 // demand when Input.Shift is set, as a multiple of the account's rate
	floodFactor         = 5.0 // demand of the first account when Input.Flood is set, as a multiple of its rate
	homeHostProbability = 0.7 // probability that a request goes to its account's home host
)
