package host

import (
	"net"
	"sync"
)

// limitListener accepts a limited number of simultaneous connections; further ones wait in the kernel's accept queue.
type limitListener struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// limitConnections returns a listener that keeps at most maxConnections connections open.
func limitConnections(l net.Listener, maxConnections int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, maxConnections), closed: make(chan struct{})}
}

// Accept waits for a free slot, then for a connection. It returns net.ErrClosed if the listener is closed meanwhile.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: connection, release: func() { <-l.slots }}, nil
}

// Close closes the listener and makes waiting Accept calls return.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn is a connection that occupies a slot of its listener.
type limitConn struct {
	net.Conn
	releaseOnce sync.Once
	release     func()
}

// Close closes the connection and frees its slot. Only the first call frees the slot.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.release)
	return err
}
