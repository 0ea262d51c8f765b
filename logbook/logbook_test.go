package logbook_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/logbook"
)

// lockedBuffer is a log destination that keeps what is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// blockingWriter is a log destination that blocks until release is closed.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestRateLimit guards against more lines than the rate and burst allow, against a wrong count of dropped lines, and against
// dropping errors.
func TestRateLimit(t *testing.T) {
	now := time.Unix(0, 0)
	out := &lockedBuffer{}
	book := logbook.New(out, func() time.Time { return now })
	log := hclog.New(&hclog.LoggerOptions{Output: book, Exclude: book.Exclude, Level: hclog.Info})
	const lines = 5000
	for range lines {
		log.Info("part: burst")
	}
	log.Error("part: failure")
	now = now.Add(time.Second)
	for range lines {
		log.Info("part: more")
	}
	left := book.Left()
	book.Close()
	<-book.Done()
	qt.Check(t, strings.Count(out.text.String(), "part: burst"), qt.Equals, int(logbook.Burst))
	qt.Check(t, strings.Count(out.text.String(), "part: more"), qt.Equals, int(logbook.LinesPerSecond))
	qt.Check(t, strings.Count(out.text.String(), "part: failure"), qt.Equals, 1)
	qt.Check(t, left["part: burst"], qt.Equals, lines-int(logbook.Burst))
	qt.Check(t, left["part: more"], qt.Equals, lines-int(logbook.LinesPerSecond))
	qt.Check(t, book.Left(), qt.HasLen, 0)
}

// TestBlockedDestination guards against a process that blocks because its log destination does.
func TestBlockedDestination(t *testing.T) {
	blockedOut := blockingWriter{make(chan struct{})}
	book := logbook.New(blockedOut, time.Now)
	for range 10_000 {
		book.Write([]byte("line\n"))
	}
	lost := 0
	for _, n := range book.Left() {
		lost += n
	}
	qt.Check(t, lost > 0, qt.IsTrue)
	close(blockedOut.release)
	book.Close()
	<-book.Done()
}
