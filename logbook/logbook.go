// Package logbook limits the rate of a process's log lines. Lines above the limit are dropped and counted by message, and a
// log destination that blocks never blocks the process.
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
	// LinesPerSecond is the sustained rate of lines below level error. A host serves about 20 requests per second, and
	// each of them logs one line or a few.
	LinesPerSecond = 150.0
	// BurstLines is the number of lines below level error that may be logged at once.
	BurstLines = 600.0
	// queueLines is the number of lines that may wait to be written; further ones are dropped.
	queueLines = 2048
	// reportPeriod is the time between two reports of dropped lines.
	reportPeriod = time.Second
)

// slowReader is the kind under which lines are counted that were dropped because the queue was full.
const slowReader = "reader is slow"

// Writer is the output of a logger: a queue of lines, with a token bucket that limits their rate. It is safe for concurrent
// use.
type Writer struct {
	now   func() time.Time
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}

	mu         sync.Mutex
	tokens     float64 // of the token bucket, one per line
	refilledAt time.Time
	dropped    map[string]int // number of lines dropped, by message or slowReader
}

// New returns a Writer that writes to out until Close. The parameter now is the clock.
func New(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{
		now: now, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		tokens: BurstLines, refilledAt: now(), dropped: map[string]int{},
	}
	go w.writeLines(out)
	return w
}

// writeLines writes queued lines to out until Close. Write errors are ignored, because there is nowhere to report them.
func (w *Writer) writeLines(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				_, _ = out.Write(<-w.lines)
			}
			return
		}
	}
}

// Done returns a channel that is closed once all lines that were queued before Close have been written.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Close stops the writing once the queued lines have been written; it does not wait for that. Later lines are lost. It
// must be called only once.
func (w *Writer) Close() { close(w.stop) }

// Write queues a copy of a line, or drops and counts it if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.countDropped(slowReader)
	}
	return len(line), nil
}

// Exclude reports whether a line is to be dropped, because the rate is exceeded, and counts it if so. It is the Exclude
// function of hclog.LoggerOptions. Lines of level error are never excluded.
func (w *Writer) Exclude(level hclog.Level, message string, _ ...any) bool {
	if level >= hclog.Error {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.tokens = min(w.tokens+LinesPerSecond*now.Sub(w.refilledAt).Seconds(), BurstLines)
	w.refilledAt = now
	if w.tokens < 1 {
		w.dropped[message]++
		return true
	}
	w.tokens--
	return false
}

// countDropped counts a dropped line under a kind.
func (w *Writer) countDropped(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped[kind]++
}

// TakeDropped returns the number of lines of each kind that were dropped since the last call.
func (w *Writer) TakeDropped() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := w.dropped
	w.dropped = map[string]int{}
	return dropped
}

// ReportDropped logs the numbers of dropped lines by kind, once per second, until stop is closed.
func (w *Writer) ReportDropped(log hclog.Logger, stop <-chan struct{}) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		dropped := w.TakeDropped()
		for _, kind := range slices.SortedFunc(maps.Keys(dropped), cmp.Compare[string]) {
			log.Error("logbook: lines left out", "kind", kind, "lines", dropped[kind])
		}
	}
}
