// Package logbook bounds what a process logs: lines above a rate are left out and counted by kind, and a reader that
// blocks never blocks the process.
package logbook

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// LinesPerSecond is the sustained rate of lines below level error; Burst may come at once. A host serves about
	// 20 requests a second, of which each logs one line or a few.
	LinesPerSecond = 150.0
	Burst          = 600.0
	// queueLines is the number of lines that wait for the reader before further ones are left out.
	queueLines = 2048
	// reportPeriod is the time between two reports of what was left out.
	reportPeriod = time.Second
)

// unread is the kind under which lines are counted that no reader took.
const unread = "reader is slow"

// Book is the destination of a logger. It is safe for concurrent use.
type Book struct {
	now   func() time.Time
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}

	mu     sync.Mutex
	tokens float64
	filled time.Time
	left   map[string]int // lines left out, by kind
}

// New returns a book that writes to a reader until Close.
func New(out io.Writer, now func() time.Time) *Book {
	b := &Book{
		now: now, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		tokens: Burst, filled: now(), left: map[string]int{},
	}
	go b.drain(out)
	return b
}

// drain writes lines until Close. A line that can't be written is lost with its reader.
func (b *Book) drain(out io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			_, _ = out.Write(line)
		case <-b.stop:
			for len(b.lines) > 0 {
				_, _ = out.Write(<-b.lines)
			}
			return
		}
	}
}

// Done is closed when the last line has been written after Close.
func (b *Book) Done() <-chan struct{} { return b.done }

// Close ends the book after the lines that wait have been written. Lines that come later are lost.
func (b *Book) Close() { close(b.stop) }

// Write queues a line. It never blocks.
func (b *Book) Write(line []byte) (int, error) {
	select {
	case b.lines <- slices.Clone(line):
	default:
		b.count(unread)
	}
	return len(line), nil
}

// Exclude reports whether a line is left out; it is meant for hclog.LoggerOptions. Errors are never left out.
func (b *Book) Exclude(level hclog.Level, message string, _ ...any) bool {
	if level >= hclog.Error {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.tokens = min(b.tokens+LinesPerSecond*now.Sub(b.filled).Seconds(), Burst)
	b.filled = now
	if b.tokens < 1 {
		b.left[message]++
		return true
	}
	b.tokens--
	return false
}

func (b *Book) count(kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[kind]++
}

// Left returns how many lines of each kind were left out since the last call.
func (b *Book) Left() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left
	b.left = map[string]int{}
	return left
}

// Report logs what was left out, at most once a second, until the channel is closed.
func (b *Book) Report(log hclog.Logger, stop <-chan struct{}) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		left := b.Left()
		for _, kind := range slices.SortedFunc(maps.Keys(left), cmp.Compare[string]) {
			log.Error("logbook: lines left out", "kind", kind, "lines", left[kind])
		}
	}
}
