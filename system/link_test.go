package system_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// link forwards TCP connections to an address and can be cut in one or both directions. A cut link
// delivers nothing and closes no connection, like a network that drops packets.
type link struct {
	listener net.Listener
	target   string
	forward  atomic.Bool // bytes to the target are dropped
	back     atomic.Bool // bytes from the target are dropped
	mu       sync.Mutex
	open     []net.Conn
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target}
	go l.run()
	t.Cleanup(l.close)
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) run() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			near.Close()
			continue
		}
		l.mu.Lock()
		l.open = append(l.open, near, far)
		l.mu.Unlock()
		go pipe(far, near, &l.forward)
		go pipe(near, far, &l.back)
	}
}

// pipe copies bytes in one direction. Once the direction is cut, this connection forwards nothing any more, even after the cut has ended.
func pipe(to, from net.Conn, cut *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		lost = lost || cut.Load()
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF && !lost {
				to.(*net.TCPConn).CloseWrite()
			}
			break
		}
	}
}

// cut drops the bytes in both directions.
func (l *link) cut() { l.forward.Store(true); l.back.Store(true) }

// cutIn drops the bytes from the target; bytes to the target are still delivered.
func (l *link) cutIn() { l.back.Store(true) }

// heal ends the cut and closes all open connections, because some may have lost bytes; new connections work.
func (l *link) heal() {
	l.forward.Store(false)
	l.back.Store(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range l.open {
		connection.Close()
	}
	l.open = nil
}

func (l *link) close() {
	l.listener.Close()
	l.heal()
}
