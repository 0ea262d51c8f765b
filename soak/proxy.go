package soak

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Trouble is a network fault that a proxy simulates on its link.
type Trouble int

// Network faults of a link.
const (
	Delayed     Trouble = iota // each piece of data is delayed
	Reset                      // open and new connections are reset
	CutRequests                // no data passes from client to target; connections stay open
	CutAnswers                 // no data passes from target to client; connections stay open
	Silent                     // no data passes either way, and new connections are accepted but not connected to the target
	Refused                    // open connections continue, new ones are reset
	troubles                   // number of faults
)

// Untroubled means that the link has no fault.
const Untroubled = Trouble(-1)

const (
	copyBufferBytes = 16 << 10 // bytes passed per read
	delayPerRead    = 150 * time.Millisecond
	connectTimeout  = time.Second
)

// Proxy forwards TCP connections from a loopback address to a target and simulates network faults on the link.
type Proxy struct {
	listener   net.Listener
	target     func() string
	done       chan struct{}
	goroutines sync.WaitGroup

	mu             sync.Mutex
	trouble        Trouble       // fault in force
	troubleChanged chan struct{} // closed when the fault changes
	openConns      map[net.Conn]bool
}

// NewProxy starts a proxy on a free port. It calls target for the target's address at each connection.
func NewProxy(target func() string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "soak: unable to listen for a proxy")
	}
	p := &Proxy{listener: listener, target: target, done: make(chan struct{}), trouble: Untroubled, troubleChanged: make(chan struct{}), openConns: map[net.Conn]bool{}}
	p.goroutines.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Done returns a channel that is closed when Close is called.
func (p *Proxy) Done() <-chan struct{} { return p.done }

// SetTrouble applies a network fault to the link in place of the current one; Untroubled ends it.
func (p *Proxy) SetTrouble(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.troubleChanged)
	p.troubleChanged = make(chan struct{})
	if t == Reset {
		for conn := range p.openConns {
			reset(conn)
		}
	}
}

// Close closes the listener and all connections and waits for the proxy's goroutines. It must be called only once.
func (p *Proxy) Close() {
	close(p.done)
	p.listener.Close()
	p.mu.Lock()
	for conn := range p.openConns {
		conn.Close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// state returns the fault in force and a channel that is closed when it changes.
func (p *Proxy) state() (Trouble, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.troubleChanged
}

// reset closes a connection so that the remote end gets a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *Proxy) accept() {
	defer p.goroutines.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if t, _ := p.state(); t == Reset || t == Refused {
			reset(conn)
			continue
		}
		p.goroutines.Add(1)
		go p.forward(conn)
	}
}

// addConn registers an open connection; it returns false when the proxy has been closed.
func (p *Proxy) addConn(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		p.openConns[conn] = true
		return true
	}
}

// closeConn closes a connection and removes it from the open ones.
func (p *Proxy) closeConn(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openConns, conn)
}

// forward connects to the target and copies data both ways until one side closes.
func (p *Proxy) forward(from net.Conn) {
	defer p.goroutines.Done()
	defer p.closeConn(from)
	if !p.addConn(from) || !p.waitWhile(Silent) {
		return
	}
	to, err := net.DialTimeout("tcp", p.target(), connectTimeout)
	if err != nil {
		reset(from)
		return
	}
	defer p.closeConn(to)
	if !p.addConn(to) {
		return
	}
	ended := make(chan struct{}, 2)
	go p.copy(to, from, CutRequests, ended)
	go p.copy(from, to, CutAnswers, ended)
	<-ended
	from.Close()
	to.Close()
	<-ended
}

// waitWhile blocks while one of the given faults is in force; it returns false when the proxy has been closed.
func (p *Proxy) waitWhile(blocking ...Trouble) bool {
	for {
		t, changed := p.state()
		waiting := false
		for _, other := range blocking {
			waiting = waiting || t == other
		}
		if !waiting {
			return true
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

// copy copies data in one direction. While the link is cut it keeps the data until the cut ends, as TCP does over a network that loses packets.
func (p *Proxy) copy(to, from net.Conn, cut Trouble, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitWhile(cut, Silent) {
				return
			}
			if t, _ := p.state(); t == Delayed {
				time.Sleep(delayPerRead)
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
