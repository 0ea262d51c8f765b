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
	writer := logbook.New(out, func() time.Time { return now })
	log := hclog.New(&hclog.LoggerOptions{Output: writer, Exclude: writer.Exclude, Level: hclog.Info})
	const lines = 5000
	for range lines {
		log.Info("part: burst")
	}
	log.Error("part: failure")
	now = now.Add(time.Second)
	for range lines {
		log.Info("part: more")
	}
	dropped := writer.TakeDropped()
	writer.Close()
	<-writer.Done()
	qt.Check(t, strings.Count(out.text.String(), "part: burst"), qt.Equals, int(logbook.BurstLines))
	qt.Check(t, strings.Count(out.text.String(), "part: more"), qt.Equals, int(logbook.LinesPerSecond))
	qt.Check(t, strings.Count(out.text.String(), "part: failure"), qt.Equals, 1)
	qt.Check(t, dropped["part: burst"], qt.Equals, lines-int(logbook.BurstLines))
	qt.Check(t, dropped["part: more"], qt.Equals, lines-int(logbook.LinesPerSecond))
	qt.Check(t, writer.TakeDropped(), qt.HasLen, 0)
}

// TestBlockedDestination guards against a process that blocks because its log destination does.
func TestBlockedDestination(t *testing.T) {
	out := blockingWriter{make(chan struct{})}
	writer := logbook.New(out, time.Now)
	for range 10_000 {
		writer.Write([]byte("line\n"))
	}
	dropped := 0
	for _, n := range writer.TakeDropped() {
		dropped += n
	}
	qt.Check(t, dropped > 0, qt.IsTrue)
	close(out.release)
	writer.Close()
	<-writer.Done()
}
