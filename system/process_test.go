package system_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"magnoliahoist/dev"
)

// startTimeout bounds the start of a process; it is generous because the race detector and other tests
// share the machine.
const startTimeout = 60 * time.Second

// binary is the path of the program under test.
var binary string

// TestMain builds the binary once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "magnoliahoist")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "magnoliahoist")
	build := exec.Command("go", "build", "-o", binary, "..")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one running process of the test.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	line    string // first line of the output
	done    chan struct{}
	err     error
	log     *logBuffer
}

// logBuffer keeps what a process writes to its standard error.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the log.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the log so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start runs the binary and waits for its first line.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	command := exec.CommandContext(ctx, binary, args...)
	p := &process{t: t, name: name, command: command, done: make(chan struct{}), log: &logBuffer{}}
	command.Stderr = p.log
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		cancel()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.log)
		}
	})
	lines := make(chan string, 1)
	go func() {
		reader := bufio.NewReader(output)
		line, _ := reader.ReadString('\n')
		lines <- strings.TrimSpace(line)
		for err == nil {
			_, err = reader.ReadString('\n')
		}
		p.err = command.Wait()
		close(p.done)
	}()
	select {
	case p.line = <-lines:
	case <-time.After(startTimeout):
		t.Fatalf("%s did not start:\n%s", name, p.log)
	}
	if p.line == "" {
		t.Fatalf("%s ended at its start:\n%s", name, p.log)
	}
	return p
}

func (p *process) signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// freeze stops the process without ending it; thaw lets it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// word returns the word after a name in the first line.
func (p *process) word(name string) string {
	fields := strings.Fields(p.line)
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] == name {
			return fields[i+1]
		}
	}
	p.t.Fatalf("%s: no %q in %q", p.name, name, p.line)
	return ""
}

// standin runs a stand-in and returns its address.
func standin(t *testing.T, name, kind string, o dev.Options) *process {
	t.Helper()
	return start(t, name, "standin", kind, "--options", o.String())
}

func (p *process) address() string { return p.word("listening") }

// hostSettings are the settings of a host under test, as JSON.
type hostSettings map[string]any

// startHost runs an entry host with free ports.
func startHost(t *testing.T, name string, settings hostSettings) *process {
	t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return start(t, name, "host", "--config", file)
}
