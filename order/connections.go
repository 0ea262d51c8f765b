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
	// maxUnusedConnections is how many unused connections to one endpoint are held. It limits the orders to the endpoint between
	// two of its reports.
	maxUnusedConnections = 4
	// maxUnusedAge is the age at which an unused connection is replaced, since servers close connections that send nothing.
	maxUnusedAge = 4 * time.Second
)

// errNoConnection says that a request's context has no connection from Take.
var errNoConnection = errors.New("order: no connection from before the last report")

// unusedConnection is an open connection over which nothing has been sent.
type unusedConnection struct {
	net.Conn
	opened time.Time
}

// Connections holds connections that were opened before the last report of an endpoint was requested. An order that uses one reaches
// the process that gave the report or no process at all, because a restart of the endpoint ends its connections. A sender that
// was paused can therefore not send an order to a restarted process that the current lease holder believes to be empty.
type Connections struct {
	mu          sync.Mutex
	unconfirmed map[string][]unusedConnection // by address; no report requested since they were opened has arrived
	confirmed   map[string][]unusedConnection // by address; a report requested since they were opened has arrived
}

// NewConnections returns an empty set of connections.
func NewConnections() *Connections {
	return &Connections{unconfirmed: map[string][]unusedConnection{}, confirmed: map[string][]unusedConnection{}}
}

// connectionKey is the context key of the connection for an order.
type connectionKey struct{}

// Client returns a client that sends each request over the connection in the request's context. Requests without one fail.
func (c *Connections) Client() *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		if connection, ok := ctx.Value(connectionKey{}).(unusedConnection); ok {
			return connection, nil
		}
		return nil, errNoConnection
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// Open opens connections to an address until there are maxUnusedConnections. Call it before requesting a report.
func (c *Connections) Open(ctx context.Context, address string) error {
	for range c.missing(address) {
		connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Annotate(err, "order: unable to connect")
		}
		c.mu.Lock()
		c.unconfirmed[address] = append(c.unconfirmed[address], unusedConnection{connection, time.Now()})
		c.mu.Unlock()
	}
	return nil
}

// missing closes confirmed connections older than maxUnusedAge and returns how many are missing from maxUnusedConnections.
func (c *Connections) missing(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := c.confirmed[address][:0]
	for _, unused := range c.confirmed[address] {
		if time.Since(unused.opened) < maxUnusedAge {
			remaining = append(remaining, unused)
			continue
		}
		unused.Close()
	}
	c.confirmed[address] = remaining
	return max(maxUnusedConnections-len(remaining)-len(c.unconfirmed[address]), 0)
}

// Confirm makes the opened connections available to Take. Call it when a report has arrived that was requested after Open.
func (c *Connections) Confirm(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed[address] = append(c.confirmed[address], c.unconfirmed[address]...)
	delete(c.unconfirmed, address)
}

// Discard closes the unused connections to an address. Call it when the endpoint's process has changed or has not responded.
func (c *Connections) Discard(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range [][]unusedConnection{c.unconfirmed[address], c.confirmed[address]} {
		for _, unused := range list {
			unused.Close()
		}
	}
	delete(c.unconfirmed, address)
	delete(c.confirmed, address)
}

// Take returns a context with a connection for one order. It returns false if no confirmed connection is left.
func (c *Connections) Take(ctx context.Context, address string) (context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.confirmed[address]
	if len(list) == 0 {
		return ctx, false
	}
	c.confirmed[address] = list[1:]
	return context.WithValue(ctx, connectionKey{}, list[0]), true
}

// Close closes all unused connections.
func (c *Connections) Close() {
	c.mu.Lock()
	var addresses []string
	for address := range c.unconfirmed {
		addresses = append(addresses, address)
	}
	for address := range c.confirmed {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	for _, address := range addresses {
		c.Discard(address)
	}
}
