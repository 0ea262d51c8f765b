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
	listener      net.Listener
	target        string
	toTargetCut   atomic.Bool // bytes to the target are dropped
	fromTargetCut atomic.Bool // bytes from the target are dropped
	mu            sync.Mutex
	connections   []net.Conn
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
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.target)
		if err != nil {
			client.Close()
			continue
		}
		l.mu.Lock()
		l.connections = append(l.connections, client, server)
		l.mu.Unlock()
		go copyUntilCut(server, client, &l.toTargetCut)
		go copyUntilCut(client, server, &l.fromTargetCut)
	}
}

// copyUntilCut copies bytes in one direction. Once the direction is cut, this connection forwards nothing any more, even after the cut has ended.
func copyUntilCut(to, from net.Conn, cut *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		dropped = dropped || cut.Load()
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF && !dropped {
				to.(*net.TCPConn).CloseWrite()
			}
			break
		}
	}
}

// cutBoth drops the bytes in both directions.
func (l *link) cutBoth() { l.toTargetCut.Store(true); l.fromTargetCut.Store(true) }

// cutFromTarget drops the bytes from the target; bytes to the target are still delivered.
func (l *link) cutFromTarget() { l.fromTargetCut.Store(true) }

// restore ends the cut and closes all open connections, because some may have lost bytes; new connections work.
func (l *link) restore() {
	l.toTargetCut.Store(false)
	l.fromTargetCut.Store(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range l.connections {
		connection.Close()
	}
	l.connections = nil
}

func (l *link) close() {
	l.listener.Close()
	l.restore()
}
