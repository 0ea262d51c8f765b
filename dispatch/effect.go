package dispatch

import (
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
)

// Effect is something that the host has to do.
type Effect interface{ isEffect() }

// Send asks for one attempt of a request.
type Send struct {
	Number   uint64
	Attempt  int // from 1
	Account  string
	Route    catalog.Route
	Pool     catalog.Pool
	Endpoint directory.Endpoint
	Chosen   time.Duration // when the endpoint was chosen
	Until    time.Duration // end of the caller's time
	Silence  time.Duration // without an answer after which the attempt is given up; 0 for none
	Urgency  int           // 0 is first
	Most     int           // connections that this host may have to the endpoint
	Wait     time.Duration // estimate of the first answer, for the log
}

// Refuse ends a request with an answer of the host's own.
type Refuse struct {
	Number  uint64
	Account string
	Route   string
	Reason  Reason
	Ran     Ran
	Retry   time.Duration // when a new try may succeed; 0 when unknown
	Waited  int           // requests that wait in the pool, for the log
	Inputs  string        // what the refusal was decided from, for the log
}

// Borrow asks a host for tokens of an account.
type Borrow struct {
	Account string
	Loan    string
	Lender  Member
	Tokens  int64
	Least   int64 // of the largest request that waits
	Asked   time.Duration
}

// Lend answers a host that asked for tokens.
type Lend struct {
	Loan   string
	Tokens int64
}

// Repay returns the unused part of a loan to its lender.
type Repay struct {
	Account string
	Loan    string
	Lender  string
	Unused  int64
}

// Fetch asks for an adapter on an endpoint.
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
