package dispatch

// TokenCounts are totals of an account's tokens on this host since the start of the process.
type TokenCounts struct {
	Admitted int64 // taken for requests
	Returned int64 // of these, given back because the request was not run
	Refused  int64 // of requests that exceeded the rate
	Lent     int64 // to other hosts
	Borrowed int64 // from other hosts
	Unused   int64 // of these, given back unspent
}

// TokenCounts returns the totals by account.
func (s *State) TokenCounts() map[string]TokenCounts {
	counts := make(map[string]TokenCounts, len(s.accounts))
	for name, a := range s.accounts {
		total := a.tokens
		total.Unused = a.ledger.Unused()
		counts[name] = total
	}
	return counts
}

// Plus returns the sums of two totals.
func (t TokenCounts) Plus(o TokenCounts) TokenCounts {
	return TokenCounts{t.Admitted + o.Admitted, t.Returned + o.Returned, t.Refused + o.Refused, t.Lent + o.Lent, t.Borrowed + o.Borrowed, t.Unused + o.Unused}
}
