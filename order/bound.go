package order

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// spareConnections is how many orders can go to one endpoint between two of its reports.
	spareConnections = 4
	// spareAge is when an unused connection is replaced; servers close those that send nothing.
	spareAge = 4 * time.Second
)

// errNotBound says that a request for an order carries no connection.
var errNotBound = errors.New("order: no connection from before the last report")

// spare is an open connection that has not been used.
type spare struct {
	net.Conn
	opened time.Time
}

// Bound holds connections that were opened before the last report of an endpoint was asked for. An order
// that uses one reaches the process that gave the report or nobody: when the endpoint restarts, its
// connections end. A sender that was paused can therefore not order anything from a process which the
// present holder of the lease believes to be empty.
type Bound struct {
	mu     sync.Mutex
	opened map[string][]spare // by address; no report has been asked for since
	ready  map[string][]spare
}

// NewBound returns a Bound without connections.
func NewBound() *Bound {
	return &Bound{opened: map[string][]spare{}, ready: map[string][]spare{}}
}

// connectionKey is the key of an order's connection in its context.
type connectionKey struct{}

// Client returns a client that sends each request over the connection of its context.
func (b *Bound) Client() *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		if connection, bound := ctx.Value(connectionKey{}).(spare); bound {
			return connection, nil
		}
		return nil, errNotBound
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// Open opens spare connections; it is called before a report is asked for.
func (b *Bound) Open(ctx context.Context, address string) error {
	for range b.lacking(address) {
		connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Annotate(err, "order: unable to connect")
		}
		b.mu.Lock()
		b.opened[address] = append(b.opened[address], spare{connection, time.Now()})
		b.mu.Unlock()
	}
	return nil
}

// lacking drops old connections and returns how many are missing.
func (b *Bound) lacking(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.ready[address][:0]
	for _, s := range b.ready[address] {
		if time.Since(s.opened) < spareAge {
			kept = append(kept, s)
			continue
		}
		s.Close()
	}
	b.ready[address] = kept
	return max(spareConnections-len(kept)-len(b.opened[address]), 0)
}

// Confirm makes the connections usable that were opened before the report which has arrived.
func (b *Bound) Confirm(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[address] = append(b.ready[address], b.opened[address]...)
	delete(b.opened, address)
}

// Discard closes the connections to an address, after its process has changed or did not answer.
func (b *Bound) Discard(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range [][]spare{b.opened[address], b.ready[address]} {
		for _, s := range list {
			s.Close()
		}
	}
	delete(b.opened, address)
	delete(b.ready, address)
}

// Take returns a context with a connection for one order, and false when there is none.
func (b *Bound) Take(ctx context.Context, address string) (context.Context, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.ready[address]
	if len(list) == 0 {
		return ctx, false
	}
	b.ready[address] = list[1:]
	return context.WithValue(ctx, connectionKey{}, list[0]), true
}

// Close closes all connections that are not in use.
func (b *Bound) Close() {
	b.mu.Lock()
	var addresses []string
	for address := range b.opened {
		addresses = append(addresses, address)
	}
	for address := range b.ready {
		addresses = append(addresses, address)
	}
	b.mu.Unlock()
	for _, address := range addresses {
		b.Discard(address)
	}
}
