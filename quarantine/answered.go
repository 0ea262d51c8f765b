package quarantine

import (
	"container/list"
	"time"
)

// answeredParts remembers when parts were last answered. It evicts the least recently answered ones.
type answeredParts struct {
	byPart map[Part]*list.Element
	recent *list.List // of answeredPart, most recently answered first
}

// answeredPart is a part with the time of its last answer.
type answeredPart struct {
	part Part
	at   time.Duration
}

func newAnsweredParts() *answeredParts {
	return &answeredParts{byPart: map[Part]*list.Element{}, recent: list.New()}
}

// add records an answer on a part.
func (a *answeredParts) add(now time.Duration, part Part) {
	if e := a.byPart[part]; e != nil {
		e.Value = answeredPart{part, now}
		a.recent.MoveToFront(e)
		return
	}
	a.byPart[part] = a.recent.PushFront(answeredPart{part, now})
	if a.recent.Len() > maxAnswered {
		last := a.recent.Remove(a.recent.Back()).(answeredPart)
		delete(a.byPart, last.part)
	}
}

// since reports whether a part was answered within a time before now.
func (a *answeredParts) since(now time.Duration, part Part, within time.Duration) bool {
	e := a.byPart[part]
	return e != nil && now-e.Value.(answeredPart).at <= within
}
