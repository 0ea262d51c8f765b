package main

import (
	"net"
	"sync"
)

// link forwards connections to an address. While it is cut, bytes are held up, as by a partition, and go on when it has healed.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
}

func startLink(target string) *link {
	l := &link{listener: listen(), target: target}
	l.healed = sync.NewCond(&l.mu)
	go func() {
		for {
			conn, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) cut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	l.healed.Broadcast()
}

// pass waits while the link is cut.
func (l *link) pass() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isCut {
		l.healed.Wait()
	}
}

func (l *link) forward(conn net.Conn) {
	l.pass()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		conn.Close()
		return
	}
	copyBytes := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			l.pass()
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		to.Close()
		from.Close()
	}
	go copyBytes(far, conn)
	copyBytes(conn, far)
}
