package quarantine

import "time"

// Event is something that has happened and that a ledger has to handle.
type Event interface{ isEvent() }

// EngineCrashed says that this host has seen a process of an engine crash.
type EngineCrashed struct {
	Pool     string
	Process  string    // identifies the process among all processes of all endpoints
	Requests []Request // of this host, at the engine without an answer
}

// Request is a request that was at an engine without an answer.
type Request struct {
	Parts  []uint64 // of its prompt, in their order
	Trials []uint64 // parts that were already under suspicion when the request was sent
}

// AnswerStarted says that an engine has begun to answer a request.
type AnswerStarted struct {
	Pool  string
	Parts []uint64 // of the request's prompt, in their order
}

// EngineAnswered says that a process of an engine has answered a request.
type EngineAnswered struct {
	Process string
	SentAt  time.Duration // when the request was sent
}

// CrashesReported gives what another host has recorded.
type CrashesReported struct{ Reports []Report }

// PartLifted says that an operator takes a part to be sound.
type PartLifted struct{ Part Part }

func (EngineCrashed) isEvent()   {}
func (AnswerStarted) isEvent()   {}
func (EngineAnswered) isEvent()  {}
func (CrashesReported) isEvent() {}
func (PartLifted) isEvent()      {}

// candidateParts returns the parts of a prompt that can be at fault for more than one request: all but the last one, which
// belongs to the request or its session.
func candidateParts(parts []uint64) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:len(parts)-1]
	return shared[max(len(shared)-maxParts, 0):]
}
