package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahoist/budget"
)

//go:generate go tool stringer -type=shortage -linecomment

// shortage says why a request was given up because of its body, of a slow caller, or of a lack of memory.
type shortage int

// Causes.
const (
	noRoom       shortage = iota // no room for the body
	bodyEvicted                  // body evicted
	bodyTooSlow                  // body too slow
	bodyTooLarge                 // body too large
	noRoomAnswer                 // no room for the response
	slowReader                   // response not read
	shortages
)

// shortageLogInterval is the least time between two log lines with the same cause: clients can cause thousands a second.
const shortageLogInterval = time.Second

// A task waits up to evictionSteps times evictionStep for the memory of evicted tasks, which end as soon as they get processor time.
const (
	evictionStep  = 2 * time.Millisecond
	evictionSteps = 500
)

// memory is the budget of a host's memory for bodies and responses. It is safe for concurrent use.
type memory struct {
	start time.Time // the clock of package time costs less than half of Host.Now
	log   hclog.Logger
	count func(shortage)

	mu       sync.Mutex
	budget   *budget.Budget
	loggedAt [shortages]time.Duration
	unlogged [shortages]int // since the last log line
}

func newMemory(capacity int64, log hclog.Logger, count func(shortage)) *memory {
	m := &memory{start: time.Now(), log: log, count: count, budget: budget.New(capacity)}
	m.budget.Raise(defaultMaxBodyBytes + bodyMargin)
	return m
}

// now returns the time since the start.
func (m *memory) now() time.Duration { return time.Since(m.start) }

// receive says that the body of a task is being received. The budget has room for at least one body of the largest size.
func (m *memory) receive(t *task, largest int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Raise(largest)
	t.share.Owner = t
	m.budget.Receive(m.now(), &t.share)
}

// answer says that the response of a task is being received. If it must be given up, drop is called.
func (m *memory) answer(t *task, drop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.share.Owner, t.dropResponse = t, drop
	m.budget.Answer(m.now(), &t.share)
}

// answered says that the response of a task is no longer being received. It returns false if the response must be given up.
func (m *memory) answered(t *task) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := !t.share.Dropped()
	t.dropResponse = nil
	m.budget.Complete(m.now(), &t.share)
	return kept
}

// send says that the response of a task is being sent.
func (m *memory) send(t *task) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.share.Owner, t.sending = t, true
	m.budget.Send(m.now(), &t.share)
}

// progress says that the caller of a task has sent or read something. It returns false if the task was evicted.
func (m *memory) progress(t *task) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Progress(m.now(), &t.share)
	return !t.share.Evicted()
}

// extend sets the deadline for the next part of a task's body. It returns false if the task was evicted; its deadline stays in the past.
func (m *memory) extend(t *task, deadline time.Time) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.share.Evicted() {
		return false, nil
	}
	return true, http.NewResponseController(t.writer).SetReadDeadline(deadline)
}

// complete says that the body of a task is whole. It returns false if the task was evicted.
func (m *memory) complete(t *task) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Complete(m.now(), &t.share)
	return !t.share.Evicted()
}

// grow lets a task hold more bytes. It interrupts the tasks that are evicted for it and waits until they have ended. It returns false if
// there is no room, or if the task itself was evicted.
func (m *memory) grow(t *task, kind budget.Kind, bytes int64) bool {
	for range evictionSteps {
		switch m.tryGrow(t, kind, bytes) {
		case budget.Granted:
			return true
		case budget.Refused:
			return false
		case budget.Pending:
			time.Sleep(evictionStep)
		}
	}
	return false
}

// tryGrow lets a task hold more bytes if there is room, and interrupts the tasks that are evicted for it.
func (m *memory) tryGrow(t *task, kind budget.Kind, bytes int64) budget.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	evicted, verdict := m.budget.Grow(m.now(), &t.share, kind, bytes)
	for _, s := range evicted {
		m.interrupt(s.Owner.(*task))
	}
	return verdict
}

// interrupt ends the pending read or write of an evicted task, or the attempt of a task whose response is dropped. The caller holds the
// lock: the handler of such a task has not returned, because it closes its share first, so that the deadline can't reach a later request
// of the connection.
func (m *memory) interrupt(t *task) {
	if t.share.Dropped() {
		t.dropResponse()
		return
	}
	control, past := http.NewResponseController(t.writer), time.Unix(1, 0)
	err := control.SetReadDeadline(past)
	if t.sending {
		err = control.SetWriteDeadline(past)
	}
	if err != nil {
		m.log.Debug("entry: unable to interrupt a request", "request", t.request.ID, "error", err)
	}
}

// fits reports whether a task could hold more bytes if it were the only one.
func (m *memory) fits(t *task, kind budget.Kind, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Fits(&t.share, kind, bytes)
}

// release lets a task hold fewer bytes.
func (m *memory) release(t *task, kind budget.Kind, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(&t.share, kind, bytes)
}

// releaseBody forgets the body of a task.
func (m *memory) releaseBody(t *task) {
	t.request.Body = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.ReleaseAll(&t.share, budget.Body)
}

// close ends the share of a task.
func (m *memory) close(t *task) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Close(&t.share)
}

// held returns the bytes held for a kind.
func (m *memory) held(kind budget.Kind) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held(kind)
}

// report counts a request that was given up and logs it, at most once an interval for each cause.
func (m *memory) report(t *task, cause shortage) {
	m.count(cause)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlogged[cause]++
	now := m.now()
	if m.loggedAt[cause] != 0 && now-m.loggedAt[cause] < shortageLogInterval {
		return
	}
	m.log.Warn("entry: gave up requests to bound the memory", "cause", cause.String(), "count", m.unlogged[cause], "last", t.request.ID,
		"bodies", m.budget.Held(budget.Body), "responses", m.budget.Held(budget.Response), "capacity", m.budget.Capacity())
	m.loggedAt[cause], m.unlogged[cause] = now, 0
}
