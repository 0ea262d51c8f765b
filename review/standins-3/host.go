package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is one machine of the system: its links, its settings and its process.
type host struct {
	name                            string
	callers, ready, peers, operator string
	storeLink, peerLink             *link
	file                            string
	record                          *record

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	misses  int
	inUse   bool // the platform sends it new connections
}

// newHost writes the settings of a host, as the platform renders them from the template of the deploy file.
func newHost(rec *record, dir, name string, s *store) *host {
	h := &host{name: name, callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), operator: freeAddress(), record: rec}
	h.storeLink, h.peerLink = startLink(s.address), startLink(h.peers)
	settings, _ := json.Marshal(map[string]any{
		"name": name, "domain": "z1", "callers": h.callers, "ready": h.ready, "peers": h.peers, "reachable": h.peerLink.address(), "operators": h.operator,
		"store": h.storeLink.address(), "memory": 284, "descriptors": 4100, "share": 0.4, "link": 1000.0, "grace": "8s", "lease": "3000ms",
		"drain": "2000ms", "apply": "2000ms", "retries": map[string]any{"share": 0.2, "floor": 52, "window": "10s"},
	})
	h.file = filepath.Join(dir, name+".json")
	if err := os.WriteFile(h.file, settings, 0o600); err != nil {
		cannotRun("unable to write settings: %v", err)
	}
	return h
}

// freeAddress returns a loopback address whose port was free a moment ago. The port is below the usual range of outgoing connections, so
// that none of them takes it before the host listens.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", 20000+rand.IntN(12000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	cannotRun("no free port")
	return ""
}

// start starts the host's process.
func (h *host) start() {
	out, err := os.OpenFile(h.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("unable to write a log: %v", err)
	}
	command := exec.Command(program(), "entry", "--config", h.file)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("unable to start a host: %v", err)
	}
	out.Close()
	done := make(chan struct{})
	h.mu.Lock()
	h.process, h.done = command, done
	h.mu.Unlock()
	h.record.event("host %s starts", h.name)
	go func() {
		err := command.Wait()
		h.record.event("host %s has ended: %v", h.name, err)
		close(done)
	}()
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.record.event("host %s gets the signal %v", h.name, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.Process.Signal(s)
}

// wait waits until the host's process has ended.
func (h *host) wait(limit time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the host's process runs.
func (h *host) running() bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

var readyClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// saysReady makes one check of readiness.
func (h *host) saysReady() bool {
	response, err := readyClient.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// check makes the platform's check once per second: two misses take the host out, one 200 puts it back.
func (h *host) check() {
	for {
		ready := h.saysReady()
		h.mu.Lock()
		before := h.inUse
		if ready {
			h.misses, h.inUse = 0, true
		} else if h.misses++; h.misses >= 2 {
			h.inUse = false
		}
		after := h.inUse
		h.mu.Unlock()
		if before != after {
			h.record.event("the platform has host %s in rotation: %v", h.name, after)
		}
		time.Sleep(time.Second)
	}
}

// used reports whether the platform sends new connections to the host.
func (h *host) used() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inUse
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host, limit time.Duration) {
	end := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.saysReady() {
			if time.Now().After(end) {
				cannotRun("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
