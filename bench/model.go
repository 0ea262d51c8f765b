package bench

import "time"

// Constants of the stand-in endpoint. They resemble a small model with continuous batching: the step
// of a full batch of 16 calls of four models exceeds tokenGap while a prompt is read, one of 12 calls does not.
const (
	stepBase      = 6 * time.Millisecond    // of a step of the batch
	stepModel     = 2500 * time.Microsecond // for each model with a call in the batch
	stepCall      = time.Millisecond        // for each call in the batch
	promptToken   = 50 * time.Microsecond   // for each prompt token that is read
	promptChunk   = 128                     // prompt tokens read in one step
	cacheTokens   = 6000                    // tokens of prefixes that an endpoint keeps
	adapterWait   = 100 * time.Millisecond  // before a call whose adapter is not resident starts
	modelLoad     = 8 * time.Second         // a model from the weight store, below its concurrency
	adapterLoad   = 12 * time.Millisecond   // an adapter, below its knee
	unload        = 50 * time.Millisecond
	failureDelay  = time.Millisecond // until a lost endpoint's connection is refused
	reportPeriod  = time.Second      // between load reports
	reportLag     = 300 * time.Millisecond
	tickPeriod    = 10 * time.Millisecond // as in package host
	tableDelay    = 5 * time.Millisecond  // of an exchange with the table service
	window        = 3 * time.Second
	poll          = time.Second
	firstToken    = 1900 * time.Millisecond // design page, 1.2
	tokenGap      = 36 * time.Millisecond   // design page, 1.2
	warm          = time.Minute             // buckets fill and models load before the first request
	tail          = 20 * time.Second        // running requests end after the last arrival
	faultAt       = warm + 20*time.Second
	faultFor      = time.Minute
	tableOutage   = 10 * time.Minute
	replicaTokens = 500.0 // tokens a second that placement expects of a replica
	demandWindow  = 10 * time.Second
)

// Constants of the callers.
const (
	prefixes     = 6 // prompts' beginnings in use for each route
	prefixLength = 200
	promptRest   = 50
	answerLeast  = 50
	answerMost   = 250 // below the limit of 256 that callers set
	answerLimit  = 256
	meanCost     = prefixLength + promptRest + (answerLeast+answerMost)/2
	busyFactor   = 2.0  // demand within a burst, in rates of the account
	idleFactor   = 0.25 // demand between bursts
	burstLength  = 5 * time.Second
	pauseLength  = 20 * time.Second
	steadyFactor = 0.9
	floodFactor  = 5.0
	sticky       = 0.7 // part of an account's calls that reach one host
)
