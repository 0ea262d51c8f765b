package endpoint

import "time"

// Start counts an attempt that is sent to the endpoint with the index.
func (v *View) Start(now time.Duration, i int, tokens int64) {
	e := &v.entries[i]
	e.calls++
	e.tokens += tokens
	e.note(now)
	if e.ejected && now >= e.until {
		e.probing = true
	}
	v.budget.start(now, v.settings.RetryWindow)
}

// Finish counts the end of an attempt; the tokens are those given to Start.
func (v *View) Finish(now time.Duration, i int, tokens int64, o Outcome) {
	e := &v.entries[i]
	e.calls = max(e.calls-1, 0)
	e.tokens = max(e.tokens-tokens, 0)
	e.note(now)
	switch o {
	case Done:
		v.restore(int32(i))
	case Failed, Refused, Cut:
		// An endpoint that refuses everything has little in flight and would attract calls, so refusals count.
		v.fail(now, int32(i))
	case Cancelled, Absent:
		e.probing = false
	}
}

func (v *View) restore(i int32) {
	e := &v.entries[i]
	e.failures, e.hold, e.probing = 0, 0, false
	if e.ejected {
		e.ejected = false
		v.shift(i)
	}
}

func (v *View) fail(now time.Duration, i int32) {
	e := &v.entries[i]
	e.failures++
	if e.ejected && !e.probing || e.failures < v.settings.EjectAfter {
		return
	}
	e.hold = min(max(2*e.hold, v.settings.EjectHold), v.settings.EjectMax)
	e.until = now + e.hold
	e.probing = false
	if !e.ejected {
		e.ejected = true
		v.shift(i)
	}
}
