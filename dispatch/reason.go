package dispatch

//go:generate go tool stringer -type=Reason,Ran,Outcome -linecomment -output=reason_string.go

// Reason says why a request was refused.
type Reason int

// Reasons of refusals.
const (
	NotReady       Reason = iota // not ready
	UnknownRoute                 // unknown route
	UnknownKey                   // unknown key
	RateLimited                  // rate limited
	NoEndpoint                   // no endpoint
	NoModel                      // no endpoint with the model
	Overloaded                   // overloaded
	TimedOut                     // timed out
	Rejected                     // rejected by the endpoint
	AttemptFailed                // attempt failed
	CutOff                       // host is cut off
	Quarantined                  // part of the prompt crashes engines
	Stopping                     // host is stopping
	NoVersion                    // no endpoint of the stream's software version
	UnknownVersion               // software version of the stream is unknown
)

// Ran says whether a refused request was executed.
type Ran int

// Whether a request was executed. RanNo guarantees that no endpoint has executed it.
const (
	RanNo      Ran = iota // no
	RanUnknown            // unknown
)

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Done             Outcome = iota // done
	Failure                         // the endpoint answered with a failure
	Refused                         // refused as not run
	Misdirected                     // another process answers, or the model is absent; not run
	NotSent                         // nothing was sent
	ResponseLost                    // sent without a usable answer
	ResponseTimedOut                // no answer in time
	Cancelled                       // the caller left or its time was over
	Withdrawn                       // not sent, because it was no longer allowed
	NoRoom                          // the host had no memory for the answer
)
