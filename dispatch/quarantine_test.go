package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
	"magnoliahoist/quarantine"
)

// Prompt parts of the tests.
const (
	sharedPart = uint64(0x5a)
	deadlyPart = uint64(0xdead)
)

// prompted returns a request for the model m whose prompt has some parts and a last one of its own.
func (h *harness) prompted(parts ...uint64) intake.Generation {
	g := generation("")
	for _, id := range append(parts, 1<<40+h.lastNumber) {
		g.PromptParts = append(g.PromptParts, intake.PromptPart{ID: id, Tokens: 100})
	}
	return g
}

// crash ends the running attempt of a request with the crash of its endpoint.
func (h *harness) crash(number uint64) []dispatch.Effect {
	return h.apply(dispatch.AttemptFinished{Number: number, Outcome: dispatch.ResponseLost, EndpointCrashed: true})
}

// reportCrashes records crashes under a part that other hosts have seen; the last one came under a trial.
func (h *harness) reportCrashes(part uint64, processes ...string) []dispatch.Effect {
	var e quarantine.CrashesReported
	for n, process := range processes {
		e.Reports = append(e.Reports, quarantine.Report{Process: process, Pool: engines, Suspects: []quarantine.Suspect{{Part: part, Trial: n == len(processes)-1}}})
	}
	return h.apply(dispatch.EvidenceChanged{Evidence: e})
}

// TestBlockedPart guards against requests that are sent with a part that crashes engines, and against refusals that ask the
// caller to come back.
func TestBlockedPart(t *testing.T) {
	h := newHarness(t)
	effects := h.reportCrashes(deadlyPart, "x1", "x2")
	judged, ok := effects[0].(dispatch.PartJudged)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, judged.Blocked, qt.IsTrue)
	number, effects := h.arrive("/draft/1", h.prompted(sharedPart, deadlyPart))
	refusal, refused := findRefusal(effects)
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refusal, qt.DeepEquals, dispatch.RefuseRequest{Number: number, Account: "yards", Route: "draft", Reason: dispatch.Quarantined, Ran: dispatch.RanNo})
	_, effects = h.arrive("/draft/1", h.prompted(sharedPart))
	_, sent := findSend(effects)
	qt.Check(t, sent, qt.IsTrue)
}

// TestBlockedWhileQueued guards against requests that are sent, or wait, although one of their parts was blocked meanwhile.
func TestBlockedWhileQueued(t *testing.T) {
	h := newHarness(t)
	h.reportCrashes(deadlyPart, "x1")
	first, effects := h.arrive("/draft/1", h.prompted(deadlyPart))
	_, sent := findSend(effects)
	qt.Assert(t, sent, qt.IsTrue)
	second, effects := h.arrive("/draft/1", h.prompted(deadlyPart))
	qt.Assert(t, effects, qt.HasLen, 0)
	qt.Check(t, h.state.MaySend(h.now, first), qt.IsTrue)
	refusal, refused := findRefusal(h.reportCrashes(deadlyPart, "x2", "x3"))
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refusal.Number, qt.Equals, second)
	qt.Check(t, refusal.Ran, qt.Equals, dispatch.RanNo)
	qt.Check(t, h.state.MaySend(h.now, first), qt.IsFalse)
	refusal, refused = findRefusal(h.finish(first, dispatch.Withdrawn))
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refusal.Ran, qt.Equals, dispatch.RanNo)
}

// TestTrials guards against several requests at once with a part under suspicion, and against requests that wait for a trial after
// it has ended.
func TestTrials(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(h *harness, first uint64) []dispatch.Effect
		sent bool // the second request is sent at the end of the first one's trial
	}{
		"answered": {func(h *harness, first uint64) []dispatch.Effect {
			return h.apply(dispatch.ResponseStarted{Number: first})
		}, true},
		"abandoned": {func(h *harness, first uint64) []dispatch.Effect {
			return h.apply(dispatch.RequestAbandoned{Number: first})
		}, true},
		"refused": {func(h *harness, first uint64) []dispatch.Effect { return h.finish(first, dispatch.Refused) }, true},
		"crashed": {func(h *harness, first uint64) []dispatch.Effect { return h.crash(first) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportCrashes(deadlyPart, "x1")
			first, effects := h.arrive("/draft/1", h.prompted(deadlyPart))
			_, sent := findSend(effects)
			qt.Assert(t, sent, qt.IsTrue)
			second, effects := h.arrive("/draft/1", h.prompted(deadlyPart))
			qt.Check(t, effects, qt.HasLen, 0)
			_, effects = h.arrive("/draft/1", h.prompted(sharedPart))
			_, sent = findSend(effects)
			qt.Check(t, sent, qt.IsTrue, qt.Commentf("a sound request is held up"))
			send, sent := findSend(test.end(h, first))
			qt.Assert(t, sent, qt.Equals, test.sent)
			if sent {
				qt.Check(t, send.Number, qt.Equals, second)
			}
		})
	}
}

// TestTrialEndpoint guards against a trial at an engine with many requests, and against sound requests at an engine with a trial.
func TestTrialEndpoint(t *testing.T) {
	h := newHarness(t)
	busy, _ := h.arrive("/draft/1", h.prompted(sharedPart))
	h.apply(dispatch.ResponseStarted{Number: busy})
	h.reportCrashes(deadlyPart, "x1")
	_, effects := h.arrive("/draft/1", h.prompted(deadlyPart))
	trial, sent := findSend(effects)
	qt.Assert(t, sent, qt.IsTrue)
	for range 3 {
		_, effects = h.arrive("/draft/1", h.prompted(sharedPart))
		send, sent := findSend(effects)
		qt.Assert(t, sent, qt.IsTrue)
		qt.Check(t, send.Endpoint.ID, qt.Not(qt.Equals), trial.Endpoint.ID)
	}
}

// TestRepeatAfterCrash guards against a request that carries a crash to the next engine, and against sound requests that are lost
// with an engine although their route allows a repeat.
func TestRepeatAfterCrash(t *testing.T) {
	for name, test := range map[string]struct {
		answered bool // its part was answered shortly before
		repeated bool
	}{
		"part never answered":  {false, false},
		"part answered before": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if test.answered {
				before, _ := h.arrive("/free/1", h.prompted(sharedPart))
				h.apply(dispatch.ResponseStarted{Number: before})
			}
			number, _ := h.arrive("/free/1", h.prompted(sharedPart))
			effects := h.crash(number)
			_, sent := findSend(effects)
			qt.Check(t, sent, qt.Equals, test.repeated)
			refusal, refused := findRefusal(effects)
			qt.Check(t, refused, qt.Equals, !test.repeated)
			if refused {
				qt.Check(t, refusal.Ran, qt.Equals, dispatch.RanUnknown)
			}
		})
	}
}

// TestCrashedEndpoint guards against further requests at an engine that has crashed, and against blame for requests that it had
// begun to answer.
func TestCrashedEndpoint(t *testing.T) {
	h := newHarness(t)
	first, effects := h.arrive("/draft/1", h.prompted(sharedPart))
	gone, _ := findSend(effects)
	begun, _ := h.arrive("/draft/1", h.prompted(deadlyPart))
	h.apply(dispatch.ResponseStarted{Number: begun})
	h.crash(first)
	for range 3 {
		_, effects = h.arrive("/draft/1", h.prompted(deadlyPart))
		send, sent := findSend(effects)
		qt.Assert(t, sent, qt.IsTrue)
		qt.Check(t, send.Endpoint.ID, qt.Not(qt.Equals), gone.Endpoint.ID)
	}
}

// TestTrialsAfterBlock guards against a part that is blocked for good, and against a fleet that tries it on many hosts at once.
func TestTrialsAfterBlock(t *testing.T) {
	const hosts = 15
	members := dispatch.MembersChanged{}
	for n := range hosts {
		members.Members = append(members.Members, dispatch.Member{Name: string(rune('a' + n)), ID: string(rune('a' + n))})
	}
	admittedBy := func(after time.Duration) int {
		count := 0
		for n := range hosts {
			h := newNamedHarness(t, members.Members[n].Name)
			h.apply(members)
			h.reportCrashes(deadlyPart, "x1", "x2")
			h.now += after
			_, effects := h.arrive("/draft/1", h.prompted(deadlyPart))
			if _, refused := findRefusal(effects); !refused { // a host without a part of the account's rate borrows tokens first
				count++
			}
		}
		return count
	}
	qt.Check(t, admittedBy(3*time.Second), qt.Equals, 0)
	qt.Check(t, admittedBy(5*time.Second), qt.Equals, 1)
	qt.Check(t, admittedBy(time.Minute), qt.Equals, hosts)
}

// TestLiftedPart guards against a block that an operator can't end.
func TestLiftedPart(t *testing.T) {
	h := newHarness(t)
	h.reportCrashes(deadlyPart, "x1", "x2")
	qt.Assert(t, h.state.Quarantine(h.now), qt.HasLen, 1)
	h.apply(dispatch.EvidenceChanged{Evidence: quarantine.PartLifted{Part: quarantine.Part{Pool: engines, ID: deadlyPart}}})
	qt.Check(t, h.state.Quarantine(h.now), qt.HasLen, 0)
	_, effects := h.arrive("/draft/1", h.prompted(deadlyPart))
	_, sent := findSend(effects)
	qt.Check(t, sent, qt.IsTrue)
}
