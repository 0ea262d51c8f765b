// Package process runs the built program for tests, as processes of their own that signals stop, pause and kill. Only
// processes that it started are signalled.
package process

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// startLimit bounds the start of a process; it is generous because the race detector and other tests share the
	// machine.
	startLimit = 60 * time.Second
	// lifeLimit bounds the life of a process whose test forgets it.
	lifeLimit = 10 * time.Minute
	// maxLogBytes bounds what is kept of a process's output.
	maxLogBytes = 8 << 20
)

// Errors of processes that don't start.
const (
	ErrBuild = errors.ConstError("program can't be built")
	ErrStart = errors.ConstError("process did not start")
)

// Build builds the program in a directory of its source and returns the path of the binary in another directory.
// The error is ErrBuild.
func Build(source, directory string) (string, error) {
	binary := filepath.Join(directory, "magnoliahoist")
	output, err := exec.Command("go", "build", "-o", binary, source).CombinedOutput()
	if err != nil {
		return "", errors.WithType(errors.Annotatef(err, "process: unable to build: %s", output), ErrBuild)
	}
	return binary, nil
}

// Main builds the program in a directory of its source, hands the path of the binary over and runs the tests. It
// returns the exit status, for TestMain.
func Main(source string, binary *string, run func() int) int {
	directory, err := os.MkdirTemp("", "magnoliahoist")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	if *binary, err = Build(source, directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return run()
}

// Process is one running process.
type Process struct {
	name    string
	command *exec.Cmd
	cancel  context.CancelFunc
	line    string // first line of the output
	done    chan struct{}
	err     error
	log     logBuffer
}

// logBuffer keeps the start of what a process writes.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the log.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.text.Len() < maxLogBytes {
		b.text.Write(p)
	}
	return len(p), nil
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Start runs a binary and waits for the first line of its output. The error is ErrStart.
func Start(name, binary string, args ...string) (*Process, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lifeLimit)
	p := &Process{name: name, command: exec.CommandContext(ctx, binary, args...), cancel: cancel, done: make(chan struct{})}
	p.command.Stderr = &p.log
	output, err := p.command.StdoutPipe()
	if err == nil {
		err = p.command.Start()
	}
	if err != nil {
		cancel()
		return nil, errors.WithType(errors.Annotatef(err, "process: unable to start %s", name), ErrStart)
	}
	lines := make(chan string, 1)
	go func() {
		reader := bufio.NewReader(output)
		line, err := reader.ReadString('\n')
		lines <- strings.TrimSpace(line)
		for err == nil {
			p.log.Write([]byte(line))
			line, err = reader.ReadString('\n')
		}
		p.err = p.command.Wait()
		close(p.done)
	}()
	select {
	case p.line = <-lines:
	case <-time.After(startLimit):
	}
	if p.line == "" {
		p.Kill()
		return nil, errors.Annotatef(ErrStart, "process: %s wrote no line: %s", name, p.Log())
	}
	return p, nil
}

// Signal sends a signal; one to a process that has ended has no effect.
func (p *Process) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
	p.cancel()
}

// Done is closed when the process has ended. Err is valid then.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended; nil for exit status 0.
func (p *Process) Err() error { return p.err }

// Name returns the name given at the start.
func (p *Process) Name() string { return p.name }

// Line returns the first line of the output.
func (p *Process) Line() string { return p.line }

// Log returns the start of what the process has written, up to 8 MB.
func (p *Process) Log() string { return p.log.String() }

// Args returns the arguments with which the process was started.
func (p *Process) Args() []string { return p.command.Args }

// Word returns the word after a name in the first line.
func (p *Process) Word(name string) (string, bool) {
	fields := strings.Fields(p.line)
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] == name {
			return fields[i+1], true
		}
	}
	return "", false
}

// Address returns the address on which a stand-in listens; empty when the first line states none.
func (p *Process) Address() string {
	address, _ := p.Word("listening")
	return address
}
