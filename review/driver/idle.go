package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the deployment.
const (
	contact    = 3 * time.Second // contact_ms
	minClients = 7               // of the rule RECOVER
)

// sheet is the table of requests of the first site.
var sheet = []route{
	{name: "history-summary", kind: "stream", service: "inspect-llm", perSecond: 35.5, deadline: 5 * time.Second, patience: 3200 * time.Millisecond, timeout: 5 * time.Second, method: http.MethodPost, bodyBytes: 4700, tokens: "2368,22"},
	{name: "history-summary-free", kind: "stream", service: "inspect-llm", perSecond: 4.07, deadline: 15 * time.Second, patience: 15 * time.Second, timeout: 15 * time.Second, method: http.MethodPost, bodyBytes: 4700, tokens: "2368,22"},
	{name: "defect-draft", kind: "stream", service: "inspect-llm", perSecond: 10.5, deadline: 15 * time.Second, patience: 3200 * time.Millisecond, timeout: 15 * time.Second, method: http.MethodPost, bodyBytes: 2900, tokens: "1460,172"},
	{name: "tag-stamp", kind: "non_idempotent", service: "tag-registry", perSecond: 12.7, deadline: 1500 * time.Millisecond, patience: 1500 * time.Millisecond, timeout: 1500 * time.Millisecond, method: http.MethodPost, bodyBytes: 600},
	{name: "tag-lookup", kind: "idempotent", service: "tag-registry", perSecond: 8, deadline: 1500 * time.Millisecond, patience: 1500 * time.Millisecond, timeout: 1500 * time.Millisecond, method: http.MethodGet},
}

// zones of the first site, with their share of the traffic.
var zones = []struct {
	name  string
	share float64
}{{"fukuoka", 0.28}, {"kumamoto", 0.27}, {"nagasaki", 0.22}, {"kagoshima", 0.23}}

// configure writes the configuration of the first site: its routes, services, limits and one tenant without a limit.
func configure(s *site) {
	var routes []any
	for _, r := range sheet {
		routes = append(routes, map[string]any{
			"name": r.name, "host": "tags.example", "prefix": "/" + r.name + "/", "kind": r.kind, "service": r.service, "timeout_ms": r.timeout.Milliseconds(),
			"goal_ms": 800, "priority": 1, "attempts": 1, "public": false, "sticky": r.tokens != "", "can_resume": false, "gap_goal_ms": 400,
		})
	}
	err := s.put("op", "config", map[string]any{
		"version": 1,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "inspect-llm", "health_path": "/healthz", "max_conns": 360, "engine": map[string]any{
				"slots": 64, "kv_capacity": 131945, "weights_mb": 220000, "adapter_slots": 8, "loads_per_s": 1.4,
				"models": []any{map[string]any{"name": "m1", "weights_mb": 72700, "load_s": 8.6, "adapters": 0, "adapter_mb": 66}},
			}},
			map[string]any{"name": "tag-registry", "health_path": "/healthz", "max_conns": 96},
		},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "yards", "api_keys": []string{"key-of-yards"}}},
	})
	if err != nil {
		fail("configuration: %v", err)
	}
}

// startSite starts the machines and servers of the first site and waits until all machines are ready.
func startSite(s *site) *balancer {
	configure(s)
	for n := range 12 {
		s.addServer(fmt.Sprint("i-llm-", n), "inspect-llm", zones[n%4].name, 64, []string{"m1"}, 30*time.Millisecond, func(string) {})
	}
	for n := range 4 {
		s.addServer(fmt.Sprint("i-tag-", n), "tag-registry", zones[n].name, 6, nil, 30*time.Millisecond, func(string) {})
	}
	s.addMachine("front-fukuoka-1", "fukuoka", 284, 4100, 0.4)
	s.addMachine("front-fukuoka-2", "fukuoka", 284, 4100, 0.4)
	s.addMachine("front-kumamoto-1", "kumamoto", 544, 8200, 0.8)
	s.addMachine("front-nagasaki-1", "nagasaki", 284, 4100, 0.4)
	s.addMachine("front-kagoshima-1", "kagoshima", 284, 4100, 0.4)
	b := newBalancer(s)
	for _, m := range s.machines {
		s.start(m)
	}
	client := &http.Client{Timeout: time.Second}
	s.await("all machines are ready", 20*time.Second, func() bool {
		for _, m := range s.machines {
			if !isReady(client, m) {
				return false
			}
		}
		return true
	})
	b.watch()
	time.Sleep(2 * time.Second)
	return b
}

// idleConnections plays the traffic of the sheet. Each request comes from another client, which keeps its connection for later.
// With trouble, all machines but one are lost for good after idleQuiet. The rule is RECOVER: a machine in touch that says it is
// ready takes no new connection for contact_ms, while seven clients or more try.
func idleConnections(s *site, trouble bool) bool {
	const (
		quiet  = 6 * time.Second
		length = 76 * time.Second
	)
	b := startSite(s)
	began := time.Now()
	survivor := s.machines[3]
	var mu sync.Mutex
	var attempts []attempt
	var open sync.WaitGroup
	for _, r := range sheet {
		open.Add(1)
		go func() {
			defer open.Done()
			tick := time.NewTicker(time.Duration(float64(time.Second) / r.perSecond))
			defer tick.Stop()
			for n := 0; time.Since(began) < length; n++ {
				<-tick.C
				m := b.pick(zoneOf(n), n)
				open.Add(1)
				go func() {
					defer open.Done()
					a := s.send(m, r, fmt.Sprintf("%s-%d", r.name, n))
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
					s.note("%s at %s sent %.3f status %d after %.3f %s", a.id, m.node, a.sentAt.Sub(s.epoch).Seconds(), a.status, a.answered.Seconds(), a.cause)
				}()
			}
		}()
	}
	time.Sleep(quiet)
	lostAt := began
	if trouble {
		lostAt = time.Now()
		for _, m := range s.machines {
			if m != survivor {
				s.kill(m)
				s.say("%s is lost for good", m.node)
			}
		}
	}
	for time.Since(began) < length {
		time.Sleep(5 * time.Second)
		s.say("%s: %d descriptors open of %d, said that it is ready %.1f s ago", survivor.node, openDescriptors(survivor.pid()), survivor.fds, time.Since(b.lastReady(survivor)).Seconds())
	}
	open.Wait()
	return judgeNewConnections(s, b, attempts, survivor, lostAt)
}

// zoneOf returns the zone of the n-th client of a route, by the zones' shares.
func zoneOf(n int) string {
	point := float64(n*61%100) / 100
	for _, z := range zones {
		if point < z.share {
			return z.name
		}
		point -= z.share
	}
	return zones[0].name
}

// judgeNewConnections applies the rule to a machine: each attempt opened a connection of its own, and the machine took it if any
// answer came on it.
func judgeNewConnections(s *site, b *balancer, attempts []attempt, m *machine, lostAt time.Time) bool {
	from := lostAt.Add(contact)
	last := from // when the last connection was opened that the machine took, or when the machine was in touch
	tried, longest, worst, answered, total := 0, time.Duration(0), 0, 0, 0
	sortBySending(attempts)
	for _, a := range attempts {
		if a.machine != m || a.sentAt.Before(from) {
			continue
		}
		total++
		if a.status != 0 {
			answered++
			last, tried = a.sentAt, 0
			continue
		}
		tried++
		if gap := a.sentAt.Sub(last); gap > longest {
			longest, worst = gap, tried
		}
	}
	s.say("%s: %d requests on new connections since it was the only one, %d answered; longest time without taking one: %.1f s, while %d clients tried", m.node, total, answered, longest.Seconds(), worst)
	ready := time.Since(b.lastReady(m)) < contact
	s.say("%s still says that it is ready: %v; its process runs: %v", m.node, ready, openDescriptors(m.pid()) > 0)
	return ready && longest >= contact && worst >= minClients
}
