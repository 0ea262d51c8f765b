// Package listener decides which connections that a listener has accepted are closed, and when. It makes its decisions
// without a network or a clock: times are passed in, and its caller closes the connections.
package listener

import (
	"container/list"
	"time"
)

// State is what a connection is used for.
type State int

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

const (
	// Reading connections wait for the rest of a request's header, or for their first byte.
	Reading State = iota // reading
	// Running connections have a request in progress. They are never chosen to be closed.
	Running // running
	// Idle connections have completed a request, and no byte of a next one has arrived.
	Idle // idle
)

// States are all states.
var States = []State{Reading, Running, Idle}

// Cause is why a connection was closed.
type Cause int

//go:generate go tool stringer -type=Cause -linecomment -output=cause_string.go

const (
	// Ended connections were closed by the client, by the HTTP server or by an error.
	Ended Cause = iota // ended
	// IdleTimeout closes connections that have been idle for longer than Limits.IdleTimeout.
	IdleTimeout // idle_timeout
	// HeaderTimeout closes connections whose header takes longer than Limits.HeaderTimeout.
	HeaderTimeout // header_timeout
	// HeaderSize closes connections whose header is larger than Limits.HeaderBytes.
	HeaderSize // header_size
	// HeaderMemory closes connections because the headers together exceed Limits.HeaderMemory.
	HeaderMemory // header_memory
	// IdleExcess closes idle connections because there are more than Limits.MaxConnections.
	IdleExcess // idle_excess
	// ReadingExcess closes connections that read a header because there are more than Limits.MaxConnections.
	ReadingExcess // reading_excess
	// NoRoom closes new connections because Limits.MaxConnections requests are in progress.
	NoRoom // no_room
)

// Fractions of Limits.MaxConnections.
const (
	// crowdedFraction is reached by all connections before clients are asked to close theirs.
	crowdedFraction = 0.75
	// fullFraction is reached by requests in progress before the table is full. It has room again below roomFraction, so that
	// a readiness check does not change its result with each request.
	fullFraction = 0.9
	roomFraction = 0.8
)

// Conn is a connection of a Table.
type Conn struct {
	state       State
	since       time.Duration // time at which the state began
	headerBytes int           // received bytes of the header
	cost        int64         // estimated memory of the header, charged until the request has ended
	element     *list.Element // in Table.reading or Table.idle; nil while Running
	removed     bool
}

// State returns what the connection is used for.
func (c *Conn) State() State { return c.state }

// Table contains the open connections of one listener. It is not safe for concurrent use.
type Table struct {
	limits       Limits
	reading      list.List // of *Conn, the longest in this state first
	idle         list.List // of *Conn, the longest in this state first
	runningCount int
	headersCost  int64
	full         bool
}

// New returns a table without connections.
func New(limits Limits) *Table { return &Table{limits: limits} }

// Limits returns the limits in force.
func (t *Table) Limits() Limits { return t.limits }

// SetLimits replaces the limits. They also apply to connections that are open.
func (t *Table) SetLimits(limits Limits) { t.limits = limits }

// Count returns the number of connections in a state.
func (t *Table) Count(state State) int {
	switch state {
	case Reading:
		return t.reading.Len()
	case Idle:
		return t.idle.Len()
	default:
		return t.runningCount
	}
}

// Len returns the number of connections.
func (t *Table) Len() int { return t.reading.Len() + t.idle.Len() + t.runningCount }

// HeaderMemory returns the estimated memory of all headers, including those of requests in progress.
func (t *Table) HeaderMemory() int64 { return t.headersCost }

// Crowded reports whether clients should not keep their connections after a response. This makes room without closing
// idle connections, whose clients may be sending a request.
func (t *Table) Crowded() bool {
	return float64(t.Len()) >= crowdedFraction*float64(t.limits.MaxConnections)
}

// Full reports whether so many requests are in progress that new connections will soon be closed.
func (t *Table) Full() bool {
	fraction := fullFraction
	if t.full {
		fraction = roomFraction
	}
	t.full = float64(t.runningCount) >= fraction*float64(t.limits.MaxConnections)
	return t.full
}

// Add adds a connection that was accepted. Victim then says whether there is room for it.
func (t *Table) Add(now time.Duration) *Conn {
	c := &Conn{state: Reading, since: now}
	c.element = t.reading.PushBack(c)
	return c
}

// BeginHeader records that a next request has begun to arrive.
func (t *Table) BeginHeader(now time.Duration, c *Conn) {
	if c.state != Reading {
		t.enter(now, c, Reading)
	}
}

// BeginRequest records that the header of a request is complete.
func (t *Table) BeginRequest(now time.Duration, c *Conn) {
	if c.state != Running {
		t.enter(now, c, Running)
	}
}

// BeginIdle records that a request has ended and that no byte of a next one has arrived.
func (t *Table) BeginIdle(now time.Duration, c *Conn) { t.enter(now, c, Idle) }

// Receive charges bytes of a header to a connection and reports whether the header is within its limit. Bytes that arrive while a request
// is in progress belong to its body and are not charged.
func (t *Table) Receive(now time.Duration, c *Conn, data []byte) bool {
	if c.state == Running || c.removed {
		return true
	}
	t.BeginHeader(now, c)
	cost := headerCost(data)
	c.headerBytes += len(data)
	c.cost += cost
	t.headersCost += cost
	return c.headerBytes <= t.limits.HeaderBytes
}

// Remove removes a connection. It reports false if the connection was removed before.
func (t *Table) Remove(c *Conn) bool {
	if c.removed {
		return false
	}
	t.leave(c)
	t.discharge(c)
	c.removed = true
	return true
}

// enter moves a connection to another state.
func (t *Table) enter(now time.Duration, c *Conn, state State) {
	if c.removed {
		return
	}
	t.leave(c)
	c.state, c.since = state, now
	switch state {
	case Running:
		t.runningCount++
	case Reading:
		t.discharge(c)
		c.element = t.reading.PushBack(c)
	case Idle:
		t.discharge(c)
		c.element = t.idle.PushBack(c)
	}
}

// leave removes a connection from the list or count of its state.
func (t *Table) leave(c *Conn) {
	switch c.state {
	case Running:
		t.runningCount--
	case Reading:
		t.reading.Remove(c.element)
	case Idle:
		t.idle.Remove(c.element)
	}
	c.element = nil
}

// discharge ends the charge for the header of a connection's request.
func (t *Table) discharge(c *Conn) {
	t.headersCost -= c.cost
	c.cost, c.headerBytes = 0, 0
}

// Victim returns a connection that has to be closed now, because it exceeds a time limit or because all connections exceed a limit
// together; false if there is none. The caller removes it, or calls BeginHeader if bytes have arrived on an idle connection, and
// asks again.
func (t *Table) Victim(now time.Duration) (*Conn, Cause, bool) {
	idle, reading := first(&t.idle), first(&t.reading)
	switch {
	case idle != nil && now-idle.since > t.limits.IdleTimeout:
		return idle, IdleTimeout, true
	case reading != nil && now-reading.since > t.limits.HeaderTimeout:
		return reading, HeaderTimeout, true
	case t.Len() > t.limits.MaxConnections && idle != nil:
		return idle, IdleExcess, true
	case t.runningCount >= t.limits.MaxConnections && reading != nil:
		return reading, NoRoom, true
	case t.Len() > t.limits.MaxConnections && reading != nil:
		return reading, ReadingExcess, true
	case t.headersCost > t.limits.HeaderMemory:
		return t.headerVictim()
	}
	return nil, Ended, false
}

// headerVictim returns the connection that has been reading for longest among those whose header takes more than an equal part of
// the memory. Small headers are thus always read. The headers stay below twice the limit, because no more than an equal part is
// added to each connection while the limit is exceeded.
func (t *Table) headerVictim() (*Conn, Cause, bool) {
	part := t.limits.HeaderMemory / int64(max(t.limits.MaxConnections, 1))
	for e := t.reading.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.cost > part {
			return c, HeaderMemory, true
		}
	}
	return nil, Ended, false
}

// first returns the first connection of a list; nil if the list is empty.
func first(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}
