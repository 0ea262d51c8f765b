package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errSetup is wrapped by the panics of a case that could not run.
type errSetup struct{ reason string }

func (e errSetup) Error() string { return "case could not run: " + e.reason }

func fail(format string, args ...any) { panic(errSetup{fmt.Sprintf(format, args...)}) }

// machine is a machine of the deployment with its entry host.
type machine struct {
	node, zone, ip string
	memoryMB, fds  int
	cpuShare       float64

	front, ready string
	settings     string // path

	mu      sync.Mutex
	process *exec.Cmd // nil while no process runs
}

// pid returns the process id; 0 if no process runs.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	return m.process.Process.Pid
}

// site is a deployment: the store's stand-in, servers in this process, and the entry hosts.
type site struct {
	repository string
	directory  string // temporary
	octet      int    // the machines have the addresses 127.octet.0.N
	store      string
	storeProc  *exec.Cmd
	machines   []*machine
	stopped    chan struct{}

	mu     sync.Mutex
	record *os.File
	epoch  time.Time
}

// note writes a line to record.txt.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.epoch).Seconds()}, args...)...)
}

// say writes a line to record.txt and to standard output.
func (s *site) say(format string, args ...any) {
	s.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// newSite opens the record and starts the store.
func newSite(repository, recordPath string) *site {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fail("%v", err)
	}
	s := &site{repository: repository, directory: directory, octet: 16 + os.Getpid()%200, record: record, epoch: time.Now(), stopped: make(chan struct{})}
	s.store = freePort("127.0.0.1")
	s.storeProc = exec.Command(filepath.Join(repository, "review/bin/magnoliahoist"), "standin", "store", "--listen", s.store, "--options", "{}")
	if err := s.storeProc.Start(); err != nil {
		fail("store: %v", err)
	}
	s.await("the store answers", 10*time.Second, func() bool {
		response, err := http.Get("http://" + s.store + "/rows-get?table=op&part=")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return s
}

// stop ends all processes that the site has started and removes its files.
func (s *site) stop() {
	close(s.stopped)
	for _, m := range s.machines {
		s.kill(m)
	}
	s.storeProc.Process.Kill()
	s.storeProc.Wait()
	s.record.Close()
	os.RemoveAll(s.directory)
}

// await waits for a condition.
func (s *site) await(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	fail("not in time: %s", what)
}

func freePort(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// put writes a row to the store without a condition, as the operator and the servers do.
func (s *site) put(table, key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"writes": []any{map[string]any{"table": table, "part": "", "key": key, "value": content}}})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+s.store+"/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// addMachine writes the settings of a machine from the template of the deploy file. The machine has an address of its own.
func (s *site) addMachine(node, zone string, memoryMB, fds int, cpuShare float64) *machine {
	m := &machine{node: node, zone: zone, ip: fmt.Sprintf("127.%d.0.%d", s.octet, len(s.machines)+1), memoryMB: memoryMB, fds: fds, cpuShare: cpuShare}
	m.front, m.ready = freePort(m.ip), freePort(m.ip)
	_, peers, _ := net.SplitHostPort(freePort(m.ip))
	template, err := os.ReadFile(filepath.Join(s.repository, "deploy/settings.json"))
	if err != nil {
		fail("%v", err)
	}
	fields := map[string]any{
		"node": m.node, "zone": m.zone, "ip": m.ip,
		"listen.front": m.front, "listen.ready": m.ready, "port_range.0": json.Number(peers), "provider.address": s.store,
		"limits.memory_mb": m.memoryMB, "limits.max_fds": m.fds, "limits.cpu_share": m.cpuShare, "limits.link_mbps": 1000.0,
		"bounds.grace_s": 8, "bounds.lease_ms": 3000, "bounds.drain_ms": 2000, "bounds.config_apply_ms": 2000,
		"bounds.retry_ratio": 0.2, "bounds.retry_slack": 52, "bounds.budget_window_s": 10,
	}
	rendered := regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`).ReplaceAllFunc(template, func(placeholder []byte) []byte {
		name, isJSON := strings.CutSuffix(strings.Trim(string(placeholder), "{}"), "|json")
		value, known := fields[name]
		if !known {
			fail("template uses %s", name)
		}
		if !isJSON {
			return []byte(fmt.Sprint(value))
		}
		encoded, _ := json.Marshal(value)
		return encoded
	})
	m.settings = filepath.Join(s.directory, node+".json")
	if err := os.WriteFile(m.settings, rendered, 0o600); err != nil {
		fail("%v", err)
	}
	s.machines = append(s.machines, m)
	return m
}

// start starts the entry host of a machine with the command of the deploy file and the machine's limit of descriptors.
func (s *site) start(m *machine) {
	command := exec.Command("/bin/sh", "-c", `ulimit -n "$1" && shift && exec "$@"`, "sh", strconv.Itoa(m.fds),
		filepath.Join(s.repository, "target/magnoliahoist"), "entry", "--config", m.settings)
	command.Dir = s.repository
	log, err := os.Create(filepath.Join(s.directory, m.node+".log"))
	if err != nil {
		fail("%v", err)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		fail("%s: %v", m.node, err)
	}
	log.Close()
	m.mu.Lock()
	m.process = command
	m.mu.Unlock()
}

// kill ends the process of a machine with SIGKILL.
func (s *site) kill(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.process.Process.Signal(syscall.SIGKILL)
	m.process.Wait()
	m.process = nil
}

// isReady asks a machine whether it is ready, as the platform does.
func isReady(client *http.Client, m *machine) bool {
	response, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// openDescriptors returns how many descriptors a process has open.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return -1
	}
	return len(entries)
}
