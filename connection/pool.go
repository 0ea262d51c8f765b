// Package connection pools the HTTP/1.1 connections to endpoints. For each failed exchange it reports whether any byte of
// the request may have reached the endpoint. A connection on which the endpoint broke the protocol is not used again.
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
	// ErrUnsent means that no byte of the request was sent.
	ErrUnsent = errors.ConstError("request was not sent")
	// ErrNoResponse means that the request was sent, at least in part, and no usable response was received.
	ErrNoResponse = errors.ConstError("no usable response")
	// ErrWithdrawn means that no byte of the request was sent because Request.MaySend did not allow it any more.
	ErrWithdrawn = errors.ConstError("request is no longer allowed")
	// ErrConnectionLimit means that this host already has as many connections to the endpoint as the request allows.
	ErrConnectionLimit = errors.ConstError("too many connections to the endpoint")
)

// Settings are the timeouts of connections.
type Settings struct {
	ConnectTimeout time.Duration // bounds the opening of a connection
	IdleTimeout    time.Duration // how long an unused connection is kept if the endpoint states no timeout
	AckTimeout     time.Duration // how long sent bytes may stay unacknowledged before the kernel closes the connection
	BufferBytes    int           // size of the kernel's buffers of a connection in each direction; 0 for the kernel's choice
}

// Pool holds the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu          sync.Mutex
	idle        map[string][]*conn // by address, most recently used last
	openCount   map[string]int     // connections in use, idle or being opened, by address
	openedTotal uint64             // attempts to open a connection
}

// conn is a connection of a pool.
type conn struct {
	net.Conn
	pool      *Pool
	address   string
	process   string // identifies the endpoint process that the connection was opened for
	expiresAt time.Time
	reader    *responseReader
}

// New returns an empty pool.
func New(settings Settings) *Pool {
	p := &Pool{settings: settings, idle: map[string][]*conn{}, openCount: map[string]int{}}
	p.dialer = net.Dialer{
		Timeout:   settings.ConnectTimeout,
		KeepAlive: -1, // no probes: each is charged as a wake-up, and the user timeout covers connections in use
		Control:   p.setOptions,
	}
	return p
}

// setOptions makes the kernel close a connection whose peer does not acknowledge sent bytes within Settings.AckTimeout, and sets the
// size of its buffers.
func (p *Pool) setOptions(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.settings.AckTimeout.Milliseconds()))
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			if sockoptErr == nil && p.settings.BufferBytes > 0 {
				sockoptErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, p.settings.BufferBytes)
			}
		}
	})
	if err != nil {
		return errors.Annotate(err, "connection: unable to set the options of a socket")
	}
	return errors.Annotate(sockoptErr, "connection: unable to set the options of a socket")
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// OpenedTotal returns how many connections the pool has tried to open since it was created.
func (p *Pool) OpenedTotal() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedTotal
}

// getConn returns an idle connection to the endpoint process that can be reused, or opens a new one.
// The error is ErrConnectionLimit or ErrUnsent.
func (p *Pool) getConn(ctx context.Context, address, process string, maxConnections int) (*conn, error) {
	for {
		c, limitReached := p.popIdleOrReserve(address, process, maxConnections)
		if limitReached {
			return nil, ErrConnectionLimit
		}
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		c.discard()
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.decrementOpen(address)
		return nil, errors.WithType(errors.Annotate(err, "connection: unable to connect"), ErrUnsent)
	}
	c := &conn{Conn: netConn, pool: p, address: address, process: process}
	c.reader = newResponseReader(netConn)
	return c, nil
}

// probeTimeout bounds a probe of an endpoint whose connection was closed.
const probeTimeout = 200 * time.Millisecond

// Refuses reports whether nothing listens at an address: a new connection is refused. It returns false if the connection is
// accepted or if there is no response in time.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// popIdleOrReserve returns an unexpired idle connection to the endpoint process. If there is none, it counts a connection
// that the caller has to open and returns nil, or reports that the limit is reached. It closes the idle connections to other
// processes and the expired ones that it meets.
func (p *Pool) popIdleOrReserve(address, process string, maxConnections int) (c *conn, limitReached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c = list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if c.process == process && time.Now().Before(c.expiresAt) {
			return c, false
		}
		p.openCount[address]--
		c.Conn.Close()
	}
	if maxConnections > 0 && p.openCount[address] >= maxConnections {
		return nil, true
	}
	p.openCount[address]++
	p.openedTotal++
	return nil, false
}

// decrementOpen removes a connection to the address from the count of open ones.
func (p *Pool) decrementOpen(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount[address]--
	if p.openCount[address] <= 0 && len(p.idle[address]) == 0 {
		delete(p.openCount, address)
		delete(p.idle, address)
	}
}

// discard closes the connection and removes it from the count of open ones.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.decrementOpen(c.address)
}

// putIdle makes the connection available for later exchanges until the lifetime has passed.
func (c *conn) putIdle(lifetime time.Duration) {
	if lifetime <= 0 {
		c.discard()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.discard()
		return
	}
	c.expiresAt = time.Now().Add(lifetime)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
}

// reusable reports whether the peer of an idle connection has neither closed it nor sent unexpected bytes.
func (c *conn) reusable() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errno == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			c.Conn.Close()
			p.openCount[address]--
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 && p.openCount[address] <= 0 {
			delete(p.idle, address)
			delete(p.openCount, address)
		}
	}
}
