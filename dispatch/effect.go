package dispatch

import (
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
)

// Effect is something that the host has to do after an event.
type Effect interface{ isEffect() }

// Send sends one attempt of a request to an endpoint.
type Send struct {
	Number   uint64 // of the request
	Attempt  int    // from 1
	Account  string // empty for a request without an account
	Route    catalog.Route
	Pool     catalog.Pool
	Endpoint directory.Endpoint
	Chosen   time.Duration // when the endpoint was chosen
	Until    time.Duration // when the request times out
	Silence  time.Duration // time without a response after which the attempt is abandoned; 0 for no limit
	Urgency  int           // urgency of the engines, from 0 (first) to 9
	Most     int           // connections that this host may have to the endpoint; 0 for no bound
	Wait     time.Duration // estimated time until the response begins, for the log
}

// Refuse ends a request with a refusal, which the host itself sends to the caller.
type Refuse struct {
	Number  uint64 // of the request
	Account string // empty when unknown, or on a route that needs no key
	Route   string // empty when unknown
	Reason  Reason
	Ran     Ran           // whether the request may have been executed
	Retry   time.Duration // the retry-after; 0 when unknown
	Waited  int           // length of the pool's queue, for the log
	Inputs  string        // the figures that the refusal was decided from, for the log
}

// Borrow asks another host for a loan of tokens. A LoanReceived event follows.
type Borrow struct {
	Account string
	Loan    string // ID of the loan
	Lender  Member
	Tokens  int64         // shortfall of all waiting requests of the account, and some ahead
	Least   int64         // shortfall of the largest waiting request
	Asked   time.Duration // when this host asked for the loan
}

// Lend responds to a LoanRequested event.
type Lend struct {
	Loan   string // ID of the loan
	Tokens int64  // 0 when nothing is lent
}

// Repay tells a lender how many tokens of its loan were not used. 0 says that the loan was used up.
type Repay struct {
	Account string
	Loan    string // ID of the loan
	Lender  string // ID of the lender
	Unused  int64
}

// Fetch orders an endpoint to load an adapter. An AdapterOrderFinished event follows.
type Fetch struct {
	Pool     string
	Endpoint string
	Model    string
	Adapter  string
}

func (Send) isEffect()   {}
func (Refuse) isEffect() {}
func (Borrow) isEffect() {}
func (Lend) isEffect()   {}
func (Repay) isEffect()  {}
func (Fetch) isEffect()  {}
