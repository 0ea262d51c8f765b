package entry

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"magnoliahoist/listener"
)

const (
	// exhaustedTime is how long a host is not ready after it could not accept a connection for lack of descriptors.
	exhaustedTime = time.Second
	// shedFraction is the fraction of a listener's connections that is kept when the process has no descriptor left.
	shedFraction = 0.875
	// limitLogInterval is the least time between two log lines on limits in force at one listener.
	limitLogInterval = 10 * time.Second
	// refusalTimeout bounds the writing of a response to a header that is too large.
	refusalTimeout = 100 * time.Millisecond
	// assumedDescriptors is the usual soft limit of Linux, for a process whose limit can't be read.
	assumedDescriptors = 1024
	// maxDescriptors stands for no limit.
	maxDescriptors = 1 << 24
)

// headerTooLarge is the response to a header over its limit.
const headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errHeaderTooLarge ends the reading of a header over its limit.
const errHeaderTooLarge = errors.ConstError("request header is too large")

// trackedListener is a listener whose connections are closed as package listener decides. It is safe for concurrent use.
type trackedListener struct {
	*net.TCPListener
	name   string // whom the listener serves
	now    func() time.Duration
	log    hclog.Logger
	closed *prometheus.CounterVec // by listener and cause

	mu             sync.Mutex
	table          *listener.Table
	conns          map[*listener.Conn]*trackedConn
	exhaustedUntil time.Duration          // descriptors ran out less than exhaustedTime before
	limited        map[listener.Cause]int // connections closed by a limit since the last log line
	loggedAt       time.Duration          // time of the last log line
}

// trackedConn is a connection of a trackedListener.
type trackedConn struct {
	*net.TCPConn
	listener   *trackedListener
	raw        syscall.RawConn
	entry      *listener.Conn
	bufferSize int // size of the HTTP server's empty read buffer

	// awaitsNext means that a request has ended and that the HTTP server has not yet tried to read the next one. Bytes of it
	// may be in the server's buffer, so the connection is not idle yet. It is guarded by the listener's lock.
	awaitsNext bool
}

// Accept returns the next connection for which there is room.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.shed()
			}
			return nil, err
		}
		raw, err := conn.SyscallConn()
		if err != nil {
			l.log.Warn("entry: unable to use an accepted connection", "listener", l.name, "error", err)
			conn.Close()
			continue
		}
		c := &trackedConn{TCPConn: conn, listener: l, raw: raw}
		if l.add(c) {
			return c, nil
		}
	}
}

// add adds a connection and closes those for which there is no room. It reports false if the connection itself was closed.
func (l *trackedListener) add(c *trackedConn) bool {
	l.mu.Lock()
	c.entry = l.table.Add(l.now())
	l.conns[c.entry] = c
	victims := l.evict()
	_, open := l.conns[c.entry]
	l.mu.Unlock()
	closeAll(victims)
	return open
}

// shed closes a part of the idle connections, because the process has no descriptor left for another connection.
func (l *trackedListener) shed() {
	l.mu.Lock()
	l.exhaustedUntil = l.now() + exhaustedTime
	limits := l.table.Limits()
	lowered := limits
	lowered.MaxConnections = int(shedFraction * float64(l.table.Len()))
	l.table.SetLimits(lowered)
	victims := l.evict()
	l.table.SetLimits(limits)
	l.mu.Unlock()
	closeAll(victims)
}

// closeIdle closes the idle connections of a server that stops.
func (l *trackedListener) closeIdle() {
	l.mu.Lock()
	limits := l.table.Limits()
	limits.IdleTimeout = -1
	l.table.SetLimits(limits)
	victims := l.evict()
	l.mu.Unlock()
	closeAll(victims)
}

// evict removes the connections that have to be closed and returns them. The caller holds the lock and closes them without it:
// closing waits for a running Read, which may wait for the lock.
func (l *trackedListener) evict() []*trackedConn {
	var victims []*trackedConn
	now := l.now()
	for {
		entry, cause, found := l.table.Victim(now)
		if !found {
			return victims
		}
		c := l.conns[entry]
		if entry.State() == listener.Idle && c.hasUnreadBytes() {
			l.table.BeginHeader(now, entry)
			continue
		}
		l.remove(c, cause)
		victims = append(victims, c)
	}
}

// remove removes a connection that is closed for a cause. The caller holds the lock.
func (l *trackedListener) remove(c *trackedConn, cause listener.Cause) {
	if !l.table.Remove(c.entry) {
		return
	}
	delete(l.conns, c.entry)
	l.closed.WithLabelValues(l.name, cause.String()).Inc()
	switch cause {
	case listener.HeaderSize, listener.HeaderMemory, listener.IdleExcess, listener.ReadingExcess, listener.NoRoom:
		l.limited[cause]++
	case listener.Ended, listener.IdleTimeout, listener.HeaderTimeout:
	}
}

// closeAll closes connections that were removed from their tables.
func closeAll(victims []*trackedConn) {
	for _, c := range victims {
		c.TCPConn.Close() // an error means that the connection is closed already
	}
}

// sweep applies the limits, closes connections whose time is over, and logs the limits that have closed connections.
func (l *trackedListener) sweep(limits listener.Limits) {
	l.mu.Lock()
	l.table.SetLimits(limits)
	victims := l.evict()
	l.logLimits()
	l.mu.Unlock()
	closeAll(victims)
}

// logLimits logs how many connections were closed by limits, at most once in limitLogInterval. The caller holds the lock.
func (l *trackedListener) logLimits() {
	now := l.now()
	if len(l.limited) == 0 || l.loggedAt > 0 && now-l.loggedAt < limitLogInterval {
		return
	}
	args := []any{"listener", l.name, "open", l.table.Len(), "allowed", l.table.Limits().MaxConnections}
	for cause, count := range l.limited {
		args = append(args, cause.String(), count)
	}
	l.log.Warn("entry: connections closed by limits", args...)
	clear(l.limited)
	l.loggedAt = now
}

// crowded reports whether clients should not keep their connections after a response.
func (l *trackedListener) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Crowded()
}

// full reports whether new connections will soon be closed or can't be accepted.
func (l *trackedListener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Full() || l.now() < l.exhaustedUntil
}

// count returns the number of connections in a state.
func (l *trackedListener) count(state listener.State) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Count(state)
}

// noteState records the beginning and the end of a request. It is called by the HTTP server.
func (l *trackedListener) noteState(conn net.Conn, state http.ConnState) {
	c, tracked := conn.(*trackedConn)
	if !tracked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		c.awaitsNext = false
		l.table.BeginRequest(l.now(), c.entry)
	case http.StateIdle:
		c.awaitsNext = true
	case http.StateNew, http.StateHijacked, http.StateClosed:
		// A connection is added when it is accepted and removed when it is closed; none is hijacked.
	}
}

// Read reads from the connection. It charges the bytes of a header and returns an error if the header is too large.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.startsIdle(len(p)) {
		return c.readIdle(p)
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		c.refuseHeader()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderTooLarge}
	}
	return n, err
}

// startsIdle reports whether the read waits for the first byte of a next request. The HTTP server offers the free part of its read
// buffer, so a smaller part than that of the empty buffer means that bytes of the next request have arrived before. The first read of a
// connection shows the size of the empty buffer; a body may be read past the buffer, in larger pieces.
func (c *trackedConn) startsIdle(size int) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.entry.State() != listener.Running {
		c.bufferSize = max(c.bufferSize, size)
	}
	if c.awaitsNext {
		c.awaitsNext = false
		if size < c.bufferSize {
			l.table.BeginHeader(l.now(), c.entry)
		} else {
			l.table.BeginIdle(l.now(), c.entry)
		}
	}
	return c.entry.State() == listener.Idle
}

// readIdle waits for the first bytes of a next request. It reads them under the listener's lock, so that evict either finds them
// unread or finds that the connection is no longer idle.
func (c *trackedConn) readIdle(p []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		l := c.listener
		l.mu.Lock()
		defer l.mu.Unlock()
		if _, open := l.conns[c.entry]; !open {
			err = net.ErrClosed
			return true
		}
		n, err = ignoringEINTR(func() (int, error) { return unix.Read(int(fd), p) })
		if n > 0 {
			l.table.Receive(l.now(), c.entry, p[:n]) // one read is smaller than any limit on a header
		}
		return err != unix.EAGAIN
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// hasUnreadBytes reports whether bytes have arrived that were not read. The caller holds the listener's lock.
func (c *trackedConn) hasUnreadBytes() bool {
	var n int
	err := c.raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _ = ignoringEINTR(func() (int, error) {
			count, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return count, err // EAGAIN if there is no byte; with any other error there is none to be read either
		})
	})
	return err == nil && n > 0
}

// ignoringEINTR repeats a system call that was interrupted by a signal.
func ignoringEINTR(call func() (int, error)) (int, error) {
	for {
		if n, err := call(); err != unix.EINTR {
			return n, err
		}
	}
}

// received charges bytes and closes the connections for whose headers there is no memory. It reports false if the header is
// too large.
func (c *trackedConn) received(data []byte) bool {
	l := c.listener
	l.mu.Lock()
	within := l.table.Receive(l.now(), c.entry, data)
	victims := l.evict()
	l.mu.Unlock()
	closeAll(victims)
	return within
}

// refuseHeader responds to a header that is too large and closes the connection. It does not leave that to the HTTP server, which
// may read on after an error between two lines.
func (c *trackedConn) refuseHeader() {
	err := c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if err == nil {
		_, err = io.WriteString(c.TCPConn, headerTooLarge)
	}
	c.closeFor(listener.HeaderSize) // an error means that the connection is closed already
	if err != nil {
		c.listener.log.Debug("entry: unable to refuse a request header", "listener", c.listener.name, "error", err)
	}
}

// SetReadDeadline sets the deadline of reads. After a request, the HTTP server sets a deadline in the future only when it has
// begun to read the header of the next request, possibly from its buffer.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	if time.Until(deadline) > 0 {
		l := c.listener
		l.mu.Lock()
		if c.awaitsNext {
			c.awaitsNext = false
			l.table.BeginHeader(l.now(), c.entry)
		}
		l.mu.Unlock()
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// Close closes the connection. It is called by the HTTP server.
func (c *trackedConn) Close() error { return c.closeFor(listener.Ended) }

// closeFor closes the connection for a cause.
func (c *trackedConn) closeFor(cause listener.Cause) error {
	l := c.listener
	l.mu.Lock()
	l.remove(c, cause)
	l.mu.Unlock()
	return c.TCPConn.Close()
}

// untrackedConn returns the TCP connection of a tracked one.
func untrackedConn(conn net.Conn) net.Conn {
	if c, tracked := conn.(*trackedConn); tracked {
		return c.TCPConn
	}
	return conn
}

// sweepConnections applies the limits in force to all listeners and updates their metrics.
func (h *Host) sweepConnections() {
	for _, s := range h.servers() {
		limits := s.limits
		if c := h.catalog.Load(); c != nil && s == h.callerServer {
			set := c.Limits()
			limits = limits.WithHeader(set.MaxHeaderBytes, set.HeaderTimeout).WithIdleTimeout(set.IdleTimeout)
		}
		s.listener.sweep(limits)
		for _, state := range listener.States {
			h.metrics.openConnections.WithLabelValues(s.name, state.String()).Set(float64(s.listener.count(state)))
		}
	}
}

// resources returns what the listeners share.
func (h *Host) resources() listener.Resources {
	r := listener.Resources{Descriptors: h.settings.Descriptors, Memory: h.settings.MemoryMB * megabyte}
	if r.Descriptors == 0 {
		r.Descriptors = h.softDescriptorLimit()
	}
	return r
}

// softDescriptorLimit returns the limit that the operating system sets for the process.
func (h *Host) softDescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		h.log.Warn("entry: unable to read the limit on descriptors", "assumed", assumedDescriptors, "error", err)
		return assumedDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
