package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// host is a process of the system.
type host struct {
	name, zone                       string
	callers, ready, peers, operators string
	settings                         string // path of its settings file
	memoryMB, descriptors            int
	share, linkMbps                  float64
	process                          *exec.Cmd
	done                             chan struct{} // closed when the process has ended
	exit                             string
	logs                             *os.File
}

// freePort returns a loopback address with a port that was free just now.
func freePort() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// newHost writes the settings file of a host: deploy/settings.json with its values.
func newHost(dir, name, zone, store string) *host {
	h := &host{name: name, zone: zone, callers: freePort(), ready: freePort(), peers: freePort(), operators: freePort(),
		memoryMB: 284, descriptors: 4100, share: 0.4, linkMbps: 1000}
	h.settings = filepath.Join(dir, name+".json")
	text, _ := json.MarshalIndent(map[string]any{
		"name": name, "domain": zone, "callers": h.callers, "ready": h.ready, "peers": h.peers, "operators": h.operators, "store": store,
		"memory": h.memoryMB, "descriptors": h.descriptors, "share": h.share, "link": h.linkMbps,
		"grace": "8s", "lease": "3000ms", "drain": "2000ms", "apply": "2000ms",
		"retries": map[string]any{"share": 0.2, "floor": 56, "window": "10s"},
	}, "", "  ")
	if err := os.WriteFile(h.settings, text, 0o644); err != nil {
		unable("write settings: %v", err)
	}
	var err error
	if h.logs, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		unable("create a log: %v", err)
	}
	return h
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	h.process = exec.Command("target/magnoliahoist", "entry", "--config", h.settings)
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIAHOIST_BOOT=" + h.settings}
	h.process.Stdout, h.process.Stderr = h.logs, h.logs
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		unable("start %s: %v", h.name, err)
	}
	h.done = make(chan struct{})
	go func(p *exec.Cmd, done chan struct{}) {
		err := p.Wait()
		h.exit = fmt.Sprint(err)
		close(done)
	}(h.process, h.done)
}

func (h *host) signal(s syscall.Signal) { h.process.Process.Signal(s) }

// ended reports whether the process has ended.
func (h *host) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// isReady asks the question of the balancer.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func awaitReady(hosts []*host) {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range hosts {
			all = all && h.isReady()
		}
		if all {
			return
		}
		if time.Now().After(end) {
			unable("the hosts are not ready")
		}
	}
}

// residentMB returns the resident memory of the process.
func (h *host) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// dialer is what clients use: a new connection may take one second.
var dialer = net.Dialer{Timeout: time.Second}
