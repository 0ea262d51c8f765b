package caller

import (
	"context"
	"net"
	"sync"
	"time"
)

// connections keeps idle connections to endpoints.
type connections struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	mu    sync.Mutex
	idle  map[string][]*connection // by address, the latest used last
	swept time.Time
}

func newConnections(dial func(context.Context, string, string) (net.Conn, error)) *connections {
	return &connections{dial: dial, idle: map[string][]*connection{}}
}

// get returns a connection on which nothing has been sent for the call.
func (p *connections) get(ctx context.Context, address string) (*connection, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if time.Since(c.idle) < idleTimeout && c.reusable() {
			return c, nil
		}
		c.net.Close()
	}
	opened, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConnection(opened), nil
}

func (p *connections) take(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	c := list[last]
	list[last] = nil
	p.idle[address] = list[:last]
	return c
}

// put keeps a connection for the next call to the address.
func (p *connections) put(address string, c *connection) {
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= idlePerEndpoint {
		c.net.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
	if c.idle.Sub(p.swept) > idleTimeout {
		p.swept = c.idle
		p.sweep(c.idle)
	}
}

// sweep closes the connections that have not been used for long; without it those of an endpoint
// that is gone would stay open.
func (p *connections) sweep(now time.Time) {
	for address, list := range p.idle {
		old := 0
		for old < len(list) && now.Sub(list[old].idle) > idleTimeout {
			list[old].net.Close()
			old++
		}
		p.idle[address] = append([]*connection(nil), list[old:]...)
		if len(p.idle[address]) == 0 {
			delete(p.idle, address)
		}
	}
}
