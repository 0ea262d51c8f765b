package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// The configuration's names.
const (
	hostName    = "ficu95.example"
	llmPrefix   = "/lohu930/"
	deskPrefix  = "/puxa403/"
	lookPrefix  = "/cufi504/"
	tenantKey   = "i9n73hh2b9wu3fexd9dn"
	modelName   = "ravo486f6a"
	llmService  = "huvo11a"
	deskService = "wuno96b"
)

// configuration returns the operator's configuration for engines that hold one model with adapters.
func configuration(version, adapters, adapterSlots int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-llm", "host": hostName, "prefix": llmPrefix, "kind": "stream", "timeout_ms": 5000, "goal_ms": 800, "priority": 1,
				"service": llmService, "attempts": 1, "public": false, "sticky": true, "can_resume": false, "gap_goal_ms": 400},
			{"name": "r-desk", "host": hostName, "prefix": deskPrefix, "kind": "non_idempotent", "timeout_ms": 800, "goal_ms": 300, "priority": 2,
				"service": deskService, "attempts": 1, "public": false},
			{"name": "r-look", "host": hostName, "prefix": lookPrefix, "kind": "idempotent", "timeout_ms": 800, "goal_ms": 300, "priority": 2,
				"service": deskService, "attempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": llmService, "health_path": "/healthz", "max_conns": 370, "engine": map[string]any{
				"slots": 64, "kv_capacity": 125167, "weights_mb": 200000, "adapter_slots": adapterSlots, "loads_per_s": 2.2,
				"host_mb": 130000, "disk_mb": 400000, "models": []map[string]any{
					{"name": modelName, "weights_mb": 72700, "load_s": 8.6, "adapters": adapters, "adapter_mb": 66, "warm_s": 1.3, "disk_s": 1.7}},
			}},
			{"name": deskService, "health_path": "/healthz", "max_conns": 110},
		},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{tenantKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 91379, "burst": 91379}},
	}
}

// startFleet starts the store, the servers and the hosts, and waits until the hosts are ready.
func startFleet(hostCount, engines, adapters, adapterSlots int, prepare func(e *engine)) (*store, []*engine) {
	s := newStore()
	s.put("op", "config", configuration(7, adapters, adapterSlots))
	zones := []string{"thu-duc", "binh-thanh", "tan-binh", "go-vap"}
	var list []*engine
	for i := range engines {
		e := &engine{id: fmt.Sprintf("i-llm%05d", i), service: llmService, zone: zones[i%4], slots: 64, adapterSlots: adapterSlots, adapterCount: adapters,
			adapterLoad: 19 * time.Millisecond, work: 5 * time.Millisecond, store: s, models: map[string][]string{modelName: {}},
			stall: func() time.Duration { return 0 }, answered: func(bool) {}}
		if prepare != nil {
			prepare(e)
		}
		e.start()
		list = append(list, e)
	}
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-desk%04d", i), service: deskService, zone: zones[i], slots: 6, work: 60 * time.Millisecond, store: s,
			stall: func() time.Duration { return 0 }, answered: func(bool) {}}
		e.start()
		list = append(list, e)
	}
	for i := range hostCount {
		h := newHost(work, fmt.Sprintf("front-%s-%d", zones[i%4], 1+i/4), zones[i%4], s.address)
		hosts = append(hosts, h)
		h.start()
	}
	awaitReady(hosts)
	time.Sleep(2 * time.Second)
	return s, list
}

// request is a request of a client.
type request struct {
	method, path, id string
	header           []string // lines
	body             string
	deadline         time.Duration
}

func (q request) text() string {
	lines := append([]string{q.method + " " + q.path + " HTTP/1.1", "Host: " + hostName, "X-Request-Id: " + q.id,
		fmt.Sprintf("X-Deadline-Ms: %d", q.deadline.Milliseconds()), "Authorization: Token " + tenantKey}, q.header...)
	if q.method == "POST" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + q.body
}

// client has one connection to a host, which it keeps while it can.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends a request and returns the status and the body of the response; 0 without a complete response.
func (c *client) do(q request) (int, string, error) {
	status, _, body, err := c.exchange(q)
	return status, body, err
}

// exchange is do with the header of the response.
func (c *client) exchange(q request) (int, http.Header, string, error) {
	if c.conn == nil {
		conn, err := dialer.Dial("tcp", c.address)
		if err != nil {
			return 0, nil, "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		c.close()
		return 0, nil, "", err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		return 0, nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.close()
		return 0, nil, string(body), err
	}
	if response.Close {
		c.close()
	}
	return response.StatusCode, response.Header, string(body), nil
}

func (c *client) close() {
	c.conn.Close()
	c.conn = nil
}
