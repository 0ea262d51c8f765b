// Command review-3 plays the cases of review/REPORT-3.md that are scripts. It starts the project's program as separate processes and
// stands in for the store, the engines, the platform's balancer and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 118 * time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is what a case has started.
type fleet struct {
	trouble bool
	dir     string
	record  *record
	store   *store
	hosts   []*host

	adapters     int // of the model
	adapterSlots int // of an engine
}

var current fleet

// end ends all processes that the case started and exits.
func end(status int) {
	for _, h := range current.hosts {
		if h.running() {
			h.process.Process.Signal(syscall.SIGCONT)
			h.process.Process.Kill()
			h.wait(5 * time.Second)
		}
	}
	if current.dir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(current.dir)
	}
	os.Exit(status)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	end(couldNot)
}

// program returns the path of the project's program, as the deploy file builds it.
func program() string {
	self, err := os.Executable()
	if err != nil {
		cannotRun("%v", err)
	}
	return filepath.Join(filepath.Dir(self), "magnoliahoist")
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-3 CASE RECORD")
		os.Exit(couldNot)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		cannotRun("%v", err)
	}
	current = fleet{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: &record{file: file, began: time.Now()}, adapters: 37, adapterSlots: adapterSlots}
	if os.Getenv("KEEP") != "" {
		fmt.Println(dir)
	}
	if _, err := os.Stat(program()); err != nil {
		cannotRun("%v", err)
	}
	time.AfterFunc(timeLimit, func() { cannotRun("it took too long") })
	cases := map[string]func(*fleet) bool{"versions-cut": versionsCut, "versions-herd": versionsHerd, "taken-up": takenUp, "late-order": lateOrder, "turns": turns}
	play, known := cases[os.Args[1]]
	if !known {
		cannotRun("unknown case %s", os.Args[1])
	}
	current.store = startStore()
	if play(&current) {
		end(broken)
	}
	end(held)
}

// configure writes a configuration with a stream that may be resumed and a plain service.
func (f *fleet) configure(version int64) {
	f.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r1", "host": "h.example", "prefix": "/free/", "kind": "stream", "timeout_ms": 15000, "goal_ms": 6000, "priority": 2, "service": "llm",
				"attempts": 2, "public": false, "sticky": true, "can_resume": true, "gap_goal_ms": 400},
			{"name": "r2", "host": "h.example", "prefix": "/stamp/", "kind": "non_idempotent", "timeout_ms": 800, "goal_ms": 150, "priority": 2, "service": "app",
				"attempts": 1, "public": false, "sticky": false, "can_resume": false},
		},
		"services": []map[string]any{
			{"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 131945, "kv_token_bytes": 163840, "link_mbps": 130000.0, "host_mb": 150000.0, "disk_mb": 440000.0,
				"models":     []map[string]any{{"name": "m1", "weights_mb": 72700.0, "load_s": 8.6, "adapters": f.adapters, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 1.7}},
				"weights_mb": 220000.0, "adapter_slots": f.adapterSlots, "loads_per_s": 1.4}},
			{"name": "app", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 66102, "burst": 66102}},
	})
	f.record.event("the operator writes configuration %d", version)
}

// startHosts starts hosts, waits until they are ready and a lease holder has been found, and begins the platform's checks.
func (f *fleet) startHosts(count int) {
	for n := range count {
		f.hosts = append(f.hosts, newHost(f.record, f.dir, fmt.Sprint("front-", n+1), f.store))
	}
	for _, h := range f.hosts {
		h.start()
	}
	awaitReady(f.hosts, 30*time.Second)
	for _, h := range f.hosts {
		go h.check()
	}
	f.awaitLease()
}

// awaitLease waits until the system has written a lease in the store, and lets it settle.
func (f *fleet) awaitLease() {
	for end := time.Now().Add(20 * time.Second); len(f.store.keys("lease")) == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("no host has acquired a lease")
		}
	}
	time.Sleep(3 * time.Second)
}

// pieces describes which engines sent the events of a stream.
func describePieces(pieces []piece) string {
	var parts []string
	for n, p := range pieces {
		if n == 0 || p.engine != pieces[n-1].engine {
			parts = append(parts, fmt.Sprintf("from %d by %s (%s)", p.number, p.engine, p.software))
		}
	}
	return fmt.Sprintf("%d events: %s", len(pieces), strings.Join(parts, ", "))
}
