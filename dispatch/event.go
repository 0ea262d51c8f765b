// Package dispatch is the state machine of a host whose endpoints register themselves. It admits and queues requests, chooses
// their endpoints and retries them. Events go in through State.Apply, which returns effects: what the host has to do. The
// package performs no I/O and has no clock.
package dispatch

import (
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/intake"
	"magnoliahoist/origin"
	"magnoliahoist/quarantine"
	"magnoliahoist/speed"
)

// Event is something that has happened and that the state machine has to handle.
type Event interface{ isEvent() }

// RequestArrived says that a caller's request has been read.
type RequestArrived struct {
	Number  uint64 // unique within the process
	Request *intake.Request
	CutOff  bool // the host has not reached the store for so long that keys may have been withdrawn meanwhile
	Origin  Origin
}

// Origin says what is known of the version that began the stream that a request takes up.
type Origin struct {
	Known   bool
	Version origin.Version // if it is known
	// Bases has the base version of each pool, at which a stream without a record began; nil if the records could not be read.
	Bases map[string]string
	// Recalled says, if the records could not be read, that no other versions can have come into service than those known to this host.
	Recalled bool
}

// VersionsRecalled says which software versions were in service before this process started.
type VersionsRecalled struct{ Sightings []origin.Sighting }

// BasesPreferred gives the software versions by pool at which streams begin without a record. While it names any, records can't be written,
// and new streams that may be resumed go to these versions where possible.
type BasesPreferred struct{ Software map[string]string }

// ResponseStarted says that an endpoint has begun to respond to the running attempt of a request.
type ResponseStarted struct{ Number uint64 }

// AttemptFinished says that the running attempt of a request has ended.
type AttemptFinished struct {
	Number          uint64 // of the request
	Outcome         Outcome
	ResponseStarted bool          // part of the response was passed on to the caller, so that there is no retry
	RetryAfter      time.Duration // retry-after stated by the endpoint; 0 for none
	TimeToFirstByte time.Duration // from sending the attempt to the first byte of the response; 0 without a response
	EndpointCrashed bool          // the endpoint has ended: it closed the connection and refuses new ones
}

// RequestAbandoned says that the caller of a request has disconnected.
type RequestAbandoned struct{ Number uint64 }

// HostStopping says that the host has begun to stop and ends its requests at a time. Those that may take longer and that no endpoint has
// received are refused from now on.
type HostStopping struct{ EndsAt time.Duration }

// RequestStopped says that a request is ended because the host stops.
type RequestStopped struct{ Number uint64 }

// RequestTimedOut says that a request has reached its deadline.
type RequestTimedOut struct{ Number uint64 }

// Tick says that time has passed. It lets loans and queued requests expire.
type Tick struct{}

// ConfigurationChanged says that a version of the configuration was received.
type ConfigurationChanged struct{ Catalog *catalog.Catalog }

// EndpointsChanged gives the list of all endpoints. It replaces the previous list.
type EndpointsChanged struct{ Endpoints []directory.Endpoint }

// Member is a host. A process that restarts under a host's name has another ID.
type Member struct {
	Name    string
	ID      string
	Address string
}

// MembersChanged gives the list of all hosts. It replaces the previous list. A host that is not in the list holds no part of any
// account's rate and burst.
type MembersChanged struct {
	Members []Member
	// Predecessor says, while this host is not in the list, that the process before it under its name still is. No other host then
	// holds the parts of that name.
	Predecessor bool
}

// LoanReceived is the result of a RequestLoan effect.
type LoanReceived struct {
	Account     string
	Loan        string        // ID of the loan
	Lender      string        // ID of the lender
	Tokens      int64         // 0 when the lender had none or did not respond
	Wait        time.Duration // until the lender has earned the tokens
	RequestedAt time.Duration // as in the RequestLoan effect
	Responded   bool
	Probe       bool          // as in the RequestLoan effect
	Knows       bool          // of a probe: the lender knows the borrower as a member
	LoansEnd    time.Duration // of a probe: until the lender's loans have ended
	RetryAfter  time.Duration // when the lender will have earned the tokens that it did not lend, after those of earlier refusals; 0 if unknown
}

// LoanRequested says that another host asks for a loan of tokens. The response is a GrantLoan effect.
type LoanRequested struct {
	Account          string
	Loan             string        // ID of the loan
	Borrower         string        // ID of the borrowing host
	Tokens           int64         // shortfall of all waiting requests of the borrower, and some ahead
	LargestShortfall int64         // shortfall of the largest waiting request of the borrower
	MaxWait          time.Duration // how long the waiting requests can wait until the tokens are earned
	Probe            bool          // asks only whether this host knows the borrower as a member
	Refused          int64         // tokens of requests that the borrower has refused without a loan request since its last one
}

// LoanRepaid says that a borrower has returned the unused part of a loan of this host.
type LoanRepaid struct {
	Account string
	Loan    string // ID of the loan
	Unused  int64  // 0 when the loan was used up
	Ended   bool   // the rest of the loan was used up
}

// AdapterOrderFinished is the result of an OrderAdapter effect.
type AdapterOrderFinished struct {
	Pool     string
	Endpoint string
	Model    string
	Adapter  string
	Loaded   bool
}

// Adapter names an adapter of a model.
type Adapter struct{ Model, Adapter string }

// urgencyLevels is the number of urgency levels: one for each pair of distinguished priorities, and lateLevel for requests that
// are expected to be late. They are as many as the urgencies of the engines.
const (
	priorities    = 3 // priorities that are distinguished; the last one stands for all lower ones
	urgencyLevels = priorities*priorities + 1
	lateLevel     = urgencyLevels - 1
)

// Backlog is the number of pending prompt tokens at each urgency level, the most urgent first.
type Backlog [urgencyLevels]int64

// PendingBefore returns the tokens that are prefilled before those of a new request at a level.
func (b Backlog) PendingBefore(level int) int64 {
	sum := int64(0)
	for _, tokens := range b[:level+1] {
		sum += tokens
	}
	return sum
}

// levelOf returns the urgency level of a request: by the priority that applies to it, which is its account's where the account
// states one, and among requests of the same priority by that of the route.
func levelOf(priority, routePriority int) int {
	bounded := func(p int) int { return min(max(p, 0), priorities-1) }
	return bounded(priority)*priorities + bounded(routePriority)
}

// Load is the load that one or more hosts put on an endpoint.
type Load struct {
	Endpoint     string       // ID of the endpoint
	Running      int          // running attempts
	Backlog      Backlog      // prompt tokens that are not prefilled yet
	Retiring     string       // model that will be unloaded, so that no more requests may use it; empty for none
	Loading      bool         // the endpoint loads a model and rejects orders to load an adapter
	UsedAdapters []Adapter    // adapters that attempts have used since the last report
	Prefill      speed.Sample // measured since the last report; of one host; not in sums
	Slowness     float64      // estimate from the measurements of all hosts; 0 if there is none
}

// AdapterOrdersChanged says whether orders to load an adapter can now be placed for a pool.
type AdapterOrdersChanged struct {
	Pool     string
	Possible bool
}

// LoadsReported gives the load that other hosts put on endpoints of a pool.
type LoadsReported struct {
	Pool  string
	Loads []Load
}

// EvidenceChanged passes evidence on prompt parts that crash engines from another host or from an operator.
type EvidenceChanged struct{ Evidence quarantine.Event }

// EndpointResting says that an endpoint has asked this host to send it nothing for some time.
type EndpointResting struct {
	Endpoint directory.Endpoint
	For      time.Duration
}

func (RequestArrived) isEvent()       {}
func (ResponseStarted) isEvent()      {}
func (AttemptFinished) isEvent()      {}
func (RequestAbandoned) isEvent()     {}
func (RequestTimedOut) isEvent()      {}
func (HostStopping) isEvent()         {}
func (RequestStopped) isEvent()       {}
func (Tick) isEvent()                 {}
func (ConfigurationChanged) isEvent() {}
func (EndpointsChanged) isEvent()     {}
func (MembersChanged) isEvent()       {}
func (LoanReceived) isEvent()         {}
func (LoanRequested) isEvent()        {}
func (LoanRepaid) isEvent()           {}
func (AdapterOrderFinished) isEvent() {}
func (LoadsReported) isEvent()        {}
func (AdapterOrdersChanged) isEvent() {}
func (EvidenceChanged) isEvent()      {}
func (EndpointResting) isEvent()      {}
func (VersionsRecalled) isEvent()     {}
func (BasesPreferred) isEvent()       {}
