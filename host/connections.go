package host

import (
	"net"
	"sync"
)

// boundedListener admits a number of connections at once; further ones wait in the kernel's queue.
type boundedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

func boundConnections(l net.Listener, most int) net.Listener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, most), done: make(chan struct{})}
}

// Accept waits for a free slot and a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: connection, release: func() { <-l.slots }}, nil
}

// Close ends waiting Accept calls.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close frees the slot.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
