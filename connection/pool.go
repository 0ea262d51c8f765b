// Package connection keeps the HTTP/1.1 connections to endpoints. For each exchange it tells whether the endpoint
// may have got any byte of the request, and a connection that misbehaved is not used again.
package connection

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Errors of this package.
const (
	// ErrUnsent means that no byte of the request has left this host.
	ErrUnsent = errors.ConstError("request was not sent")
	// ErrBroken means that the request was sent, at least in part, and no usable answer came.
	ErrBroken = errors.ConstError("no usable answer")
	// ErrFull means that the endpoint has as many connections of this host as it may have.
	ErrFull = errors.ConstError("too many connections to the endpoint")
)

// Settings bound the connections.
type Settings struct {
	Connect time.Duration // for a new connection
	Idle    time.Duration // for which an unused connection is kept when the endpoint states no time
	Silence time.Duration // without an acknowledgement after which the kernel gives a connection up
}

// Pool keeps the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // by address, most recently used last
	open   map[string]int     // by address
	opened uint64
}

// conn is one connection.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	owner   string // endpoint process that the connection was opened for
	expires time.Time
	reader  *reader
}

// New returns an empty pool.
func New(settings Settings) *Pool {
	p := &Pool{settings: settings, idle: map[string][]*conn{}, open: map[string]int{}}
	p.dialer = net.Dialer{
		Timeout:   settings.Connect,
		KeepAlive: -1, // probes are priced as wake-ups; the user timeout covers connections in use
		Control:   p.setUserTimeout,
	}
	return p
}

// setUserTimeout makes the kernel give up a connection whose peer is silent.
func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.settings.Silence.Milliseconds()))
	})
	if err != nil {
		return errors.Annotate(err, "connection: unable to set the user timeout")
	}
	return errors.Annotate(failed, "connection: unable to set the user timeout")
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// take returns an idle connection of the endpoint process that is still good, or a new one.
// The error is ErrFull or ErrUnsent.
func (p *Pool) take(ctx context.Context, address, owner string, most int) (*conn, error) {
	for {
		c, full := p.pop(address, owner, most)
		if full {
			return nil, ErrFull
		}
		if c == nil {
			break
		}
		if c.alive() {
			return c, nil
		}
		c.discard()
	}
	opened, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, errors.WithType(errors.Annotate(err, "connection: unable to connect"), ErrUnsent)
	}
	c := &conn{Conn: opened, pool: p, address: address, owner: owner}
	c.reader = newReader(opened)
	return c, nil
}

// pop returns an idle connection, or nothing after it has reserved a place for a new one.
func (p *Pool) pop(address, owner string, most int) (c *conn, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c = list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if c.owner == owner && time.Now().Before(c.expires) {
			return c, false
		}
		p.open[address]--
		c.Conn.Close()
	}
	if most > 0 && p.open[address] >= most {
		return nil, true
	}
	p.open[address]++
	p.opened++
	return nil, false
}

// forget takes a connection out of the count.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 && len(p.idle[address]) == 0 {
		delete(p.open, address)
		delete(p.idle, address)
	}
}

// discard closes a connection.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.forget(c.address)
}

// keep makes a connection available for later exchanges.
func (c *conn) keep(life time.Duration) {
	if life <= 0 {
		c.discard()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.discard()
		return
	}
	c.expires = time.Now().Add(life)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
}

// alive reports whether an idle connection has neither been closed nor got bytes that nobody asked for.
func (c *conn) alive() bool {
	tcp, is := c.Conn.(*net.TCPConn)
	if !is {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Sweep closes the idle connections whose time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.Conn.Close()
			p.open[address]--
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 && p.open[address] <= 0 {
			delete(p.idle, address)
			delete(p.open, address)
		}
	}
}
