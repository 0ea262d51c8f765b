package soak

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Trouble is what a proxy does to the bytes that pass it.
type Trouble int

// Troubles of a link.
const (
	Delayed     Trouble = iota // each piece of data comes late
	Reset                      // connections are reset, new ones too
	CutRequests                // nothing passes towards the listener; connections stay open
	CutAnswers                 // nothing passes back
	Silent                     // nothing passes either way, and new connections get no answer
	Refused                    // connections in use go on, new ones are refused
	troubles                   // count
)

// Untroubled lets everything pass.
const Untroubled = Trouble(-1)

const (
	pieceBytes   = 16 << 10 // most bytes passed at once
	delayTime    = 150 * time.Millisecond
	connectLimit = time.Second
)

// Proxy passes connections on a loopback address to another one and troubles them when told to.
type Proxy struct {
	listener net.Listener
	target   func() string
	done     chan struct{}
	running  sync.WaitGroup

	mu      sync.Mutex
	trouble Trouble
	changed chan struct{} // closed when the trouble changes
	open    map[net.Conn]bool
}

// NewProxy returns a proxy on a free port. The target is asked for at each connection.
func NewProxy(target func() string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "soak: unable to open a proxy")
	}
	p := &Proxy{listener: listener, target: target, done: make(chan struct{}), trouble: Untroubled, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	p.running.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Done is closed when the proxy has been closed.
func (p *Proxy) Done() <-chan struct{} { return p.done }

// Set puts a trouble on the link, or ends it.
func (p *Proxy) Set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
	if t == Reset {
		for conn := range p.open {
			reset(conn)
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	close(p.done)
	p.listener.Close()
	p.mu.Lock()
	for conn := range p.open {
		conn.Close()
	}
	p.mu.Unlock()
	p.running.Wait()
}

func (p *Proxy) state() (Trouble, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.changed
}

// reset closes a connection so that its other end sees a reset.
func reset(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (p *Proxy) accept() {
	defer p.running.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if t, _ := p.state(); t == Reset || t == Refused {
			reset(conn)
			continue
		}
		p.running.Add(1)
		go p.pass(conn)
	}
}

// track notes an open connection; it reports false when the proxy has been closed.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		p.open[conn] = true
		return true
	}
}

func (p *Proxy) forget(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

// pass connects to the target and copies both ways until one side ends.
func (p *Proxy) pass(from net.Conn) {
	defer p.running.Done()
	defer p.forget(from)
	if !p.track(from) || !p.await(Silent) {
		return
	}
	to, err := net.DialTimeout("tcp", p.target(), connectLimit)
	if err != nil {
		reset(from)
		return
	}
	defer p.forget(to)
	if !p.track(to) {
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

// await waits while one of the troubles is on and reports whether the proxy still runs.
func (p *Proxy) await(those ...Trouble) bool {
	for {
		t, changed := p.state()
		waiting := false
		for _, other := range those {
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

// copy passes data one way. While the link is cut it holds the data back, as a network does that loses packets.
func (p *Proxy) copy(to, from net.Conn, cut Trouble, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.await(cut, Silent) {
				return
			}
			if t, _ := p.state(); t == Delayed {
				time.Sleep(delayTime)
			}
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
