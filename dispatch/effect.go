package dispatch

import (
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/quarantine"
)

// Effect is something that the host has to do after an event.
type Effect interface{ isEffect() }

// SendAttempt sends one attempt of a request to an endpoint.
type SendAttempt struct {
	Number          uint64 // of the request
	Attempt         int    // from 1
	Account         string // empty for a request without an account
	Route           catalog.Route
	Pool            catalog.Pool
	Endpoint        directory.Endpoint
	ChosenAt        time.Duration // when the endpoint was chosen
	Deadline        time.Duration // when the request times out
	ResponseTimeout time.Duration // time without a response after which the attempt is abandoned; 0 for no limit
	Urgency         int           // as engines count it, from 0 (first) to 9
	MaxConnections  int           // from this host to the endpoint; 0 for no bound
	EstimatedWait   time.Duration // until the response begins, for the log
}

// RefuseRequest ends a request with a refusal, which the host itself sends to the caller.
type RefuseRequest struct {
	Number         uint64 // of the request
	Account        string // empty when unknown, or on a route that needs no key
	Route          string // empty when unknown
	Reason         Reason
	Ran            Ran           // whether the request may have been executed
	RetryAfter     time.Duration // 0 when unknown
	QueueLength    int           // of the pool, for the log
	DecisionInputs string        // the figures that the refusal was decided from, for the log
}

// RequestLoan asks another host for a loan of tokens. A LoanReceived event follows.
type RequestLoan struct {
	Account          string
	Loan             string // ID of the loan
	Lender           Member
	Tokens           int64         // shortfall of all waiting requests of the account, and some ahead
	LargestShortfall int64         // shortfall of the largest waiting request
	MaxWait          time.Duration // how long the waiting requests can wait until the lender has earned the tokens
	Probe            bool          // asks only whether the lender knows this host as a member
	Refused          int64         // tokens of requests that were refused without a loan request since the last one
	RequestedAt      time.Duration // by this host's clock
}

// GrantLoan responds to a LoanRequested event.
type GrantLoan struct {
	Loan       string        // ID of the loan
	Tokens     int64         // 0 when nothing is lent
	Wait       time.Duration // until the tokens are earned
	Knows      bool          // of a probe: this host knows the borrower as a member
	LoansEnd   time.Duration // of a probe: until the loans that this host made have ended
	RetryAfter time.Duration // when the tokens that were not lent will be earned, after those of earlier refusals; 0 if unknown
}

// RepayLoan tells a lender how many tokens of its loan were not used. 0 says that the loan was used up.
type RepayLoan struct {
	Account string
	Loan    string // ID of the loan
	Lender  string // ID of the lender
	Unused  int64
	Ended   bool // the rest of the loan was used up
}

// OrderAdapter orders an endpoint to load an adapter. An AdapterOrderFinished event follows.
type OrderAdapter struct {
	Pool     string
	Endpoint string
	Model    string
	Adapter  string
}

// PartJudged says that a prompt part is blocked from now on, or no longer. The host logs it.
type PartJudged struct{ quarantine.Entry }

func (SendAttempt) isEffect()   {}
func (RefuseRequest) isEffect() {}
func (RequestLoan) isEffect()   {}
func (GrantLoan) isEffect()     {}
func (RepayLoan) isEffect()     {}
func (OrderAdapter) isEffect()  {}
func (PartJudged) isEffect()    {}
