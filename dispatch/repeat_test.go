package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
)

// TestRepeat guards against running a request twice that may run once, and against a refusal that says "not run" after
// an attempt that may have run.
func TestRepeat(t *testing.T) {
	call, stream := intake.Work(intake.Call{}), intake.Work(generation(""))
	for name, test := range map[string]struct {
		path    string
		work    intake.Work
		outcome dispatch.Outcome
		repeats bool
		ran     dispatch.Ran
	}{
		"once, lost":                  {"/stamp/1", call, dispatch.Lost, false, dispatch.RanUnknown},
		"once, failed":                {"/stamp/1", call, dispatch.Failure, false, dispatch.RanUnknown},
		"once, silent":                {"/stamp/1", call, dispatch.Silent, false, dispatch.RanUnknown},
		"once, refused":               {"/stamp/1", call, dispatch.Refused, true, dispatch.RanNo},
		"once, not sent":              {"/stamp/1", call, dispatch.Unsent, true, dispatch.RanNo},
		"once, another process":       {"/stamp/1", call, dispatch.Misplaced, true, dispatch.RanNo},
		"idempotent, lost":            {"/lookup/1", call, dispatch.Lost, true, dispatch.RanUnknown},
		"idempotent, failed":          {"/lookup/1", call, dispatch.Failure, true, dispatch.RanUnknown},
		"stream, lost":                {"/draft/1", stream, dispatch.Lost, false, dispatch.RanUnknown},
		"stream, refused, 1 attempt":  {"/draft/1", stream, dispatch.Refused, false, dispatch.RanNo},
		"resumable stream, lost":      {"/free/1", stream, dispatch.Lost, true, dispatch.RanUnknown},
		"resumable stream, misplaced": {"/free/1", stream, dispatch.Misplaced, true, dispatch.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			number, effects := b.arrive(test.path, test.work)
			first, sent := sendOf(effects)
			qt.Assert(t, sent, qt.IsTrue)
			effects = b.finish(number, test.outcome)
			second, repeated := sendOf(effects)
			qt.Assert(t, repeated, qt.Equals, test.repeats)
			if repeated {
				qt.Check(t, second.Endpoint.ID, qt.Not(qt.Equals), first.Endpoint.ID)
				effects = b.finish(number, dispatch.Refused) // the attempts are used up
			}
			refuse, refused := refusalOf(effects)
			qt.Assert(t, refused, qt.IsTrue)
			qt.Check(t, refuse.Ran, qt.Equals, test.ran)
			qt.Check(t, b.state.Running(), qt.Equals, 0)
		})
	}
}

// TestRepeatBudget guards against a storm of repeats when every attempt fails.
func TestRepeatBudget(t *testing.T) {
	b := newBench(t)
	const requests = 100
	repeats := 0
	for range requests {
		number, _ := b.arrive("/lookup/1", intake.Call{})
		if _, again := sendOf(b.finish(number, dispatch.Failure)); again {
			repeats++
			b.finish(number, dispatch.Failure)
		}
	}
	qt.Check(t, repeats > 0, qt.IsTrue)
	qt.Check(t, float64(repeats) <= 0.2*requests+5, qt.IsTrue, qt.Commentf("%d repeats", repeats))
}

// TestExpired guards against "not run" for a request whose attempt was under way, and against an attempt that begins
// after the request's end.
func TestExpired(t *testing.T) {
	for name, test := range map[string]struct {
		full bool
		want dispatch.Ran
	}{
		"running": {false, dispatch.RanUnknown},
		"waiting": {true, dispatch.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			if test.full {
				for range 8 {
					b.arrive("/stamp/1", intake.Call{})
				}
			}
			number, _ := b.arrive("/stamp/1", intake.Call{})
			refuse, refused := refusalOf(b.apply(dispatch.Expired{Number: number}))
			qt.Assert(t, refused, qt.IsTrue)
			qt.Check(t, refuse.Ran, qt.Equals, test.want)
			_, sent := sendOf(b.finish(number, dispatch.Refused))
			qt.Check(t, sent, qt.IsFalse)
		})
	}
}

// TestLeft guards against work for callers that have gone.
func TestLeft(t *testing.T) {
	b := newBench(t)
	for range 8 {
		b.arrive("/stamp/1", intake.Call{})
	}
	waiting, effects := b.arrive("/stamp/1", intake.Call{})
	_, sent := sendOf(effects)
	qt.Assert(t, sent, qt.IsFalse)
	b.apply(dispatch.Left{Number: waiting})
	qt.Check(t, b.state.Waiting(), qt.Equals, 0)
	_, sent = sendOf(b.finish(1, dispatch.Done))
	qt.Check(t, sent, qt.IsFalse)
}

// TestWait guards against requests that wait for an endpoint until their callers give up.
func TestWait(t *testing.T) {
	b := newBench(t)
	for range 8 {
		b.arrive("/stamp/1", intake.Call{})
	}
	b.arrive("/stamp/1", intake.Call{})
	b.now += 120 * time.Millisecond
	refuse, refused := refusalOf(b.apply(dispatch.Tick{}))
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Ran, qt.Equals, dispatch.RanNo)
	qt.Check(t, refuse.Retry > 0, qt.IsTrue)
}
