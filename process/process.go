// Package process builds and runs the program for tests, as separate processes that can be signalled, paused and killed. It
// signals only processes that it started.
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
	// startTimeout is how long Start waits for the first line of output. It is long because the race detector and other
	// tests slow the machine down.
	startTimeout = 60 * time.Second
	// maxLifetime is the time after which a process is killed if its test has not ended it.
	maxLifetime = 10 * time.Minute
	// maxLogBytes is the number of bytes of a process's output after which further output is dropped.
	maxLogBytes = 8 << 20
)

// ErrBuild and ErrStart say that the program could not be built or that a process did not start.
const (
	ErrBuild = errors.ConstError("program can't be built")
	ErrStart = errors.ConstError("process did not start")
)

// Build builds the program whose source is in one directory and returns the path of the binary in the other directory. The
// error wraps ErrBuild.
func Build(source, directory string) (string, error) {
	binary := filepath.Join(directory, "magnoliahoist")
	output, err := exec.Command("go", "build", "-o", binary, source).CombinedOutput()
	if err != nil {
		return "", errors.WithType(errors.Annotatef(err, "process: unable to build: %s", output), ErrBuild)
	}
	return binary, nil
}

// BuildAndRun builds the program whose source is in a directory, sets *binary to the path of the binary and calls run, which runs
// the tests. It returns the exit status for TestMain.
func BuildAndRun(source string, binary *string, run func() int) int {
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

// Process is a process that Start started.
type Process struct {
	name      string
	command   *exec.Cmd
	cancel    context.CancelFunc
	firstLine string // first line of standard output
	done      chan struct{}
	err       error
	log       logBuffer
}

// logBuffer keeps the start of the output of a process. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	kept strings.Builder
}

// Write appends to the log until it has maxLogBytes bytes. It never fails.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept.Len() < maxLogBytes {
		b.kept.Write(p)
	}
	return len(p), nil
}

// String returns the log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept.String()
}

// Start starts a binary and waits for the first line of its standard output. The error wraps ErrStart.
func Start(name, binary string, args ...string) (*Process, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLifetime)
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
	case p.firstLine = <-lines:
	case <-time.After(startTimeout):
	}
	if p.firstLine == "" {
		p.Kill()
		return nil, errors.Annotatef(ErrStart, "process: %s ended or timed out before it wrote a line to standard output: %s", name, p.Log())
	}
	return p, nil
}

// Signal sends a signal. It has no effect on a process that has ended.
func (p *Process) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Pause pauses the process with SIGSTOP.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume resumes a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill kills the process, paused or not, and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
	p.cancel()
}

// Done returns a channel that is closed when the process has ended. Err may be called after that.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error with which the process ended, or nil for exit status 0.
func (p *Process) Err() error { return p.err }

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Name returns the name that was passed to Start.
func (p *Process) Name() string { return p.name }

// FirstLine returns the first line of standard output.
func (p *Process) FirstLine() string { return p.firstLine }

// Log returns the start of what the process has written, about 8 MiB at most. It contains standard error and, after the
// first line, standard output.
func (p *Process) Log() string { return p.log.String() }

// Args returns the arguments with which the process was started.
func (p *Process) Args() []string { return p.command.Args }

// WordAfter returns the word that follows a name in the first line, and false if there is none.
func (p *Process) WordAfter(name string) (string, bool) {
	fields := strings.Fields(p.firstLine)
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] == name {
			return fields[i+1], true
		}
	}
	return "", false
}

// Address returns the address on which a stand-in listens, or "" if the first line contains none.
func (p *Process) Address() string {
	address, _ := p.WordAfter("listening")
	return address
}
