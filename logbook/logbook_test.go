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

// buffer is a reader that keeps what it gets.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// blocked is a reader that never reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBound guards against more lines than the stated rate, against losing count of those left out, and against
// leaving out errors.
func TestBound(t *testing.T) {
	now := time.Unix(0, 0)
	out := &buffer{}
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

// TestBlockedReader guards against a process that stands still because nobody reads its log.
func TestBlockedReader(t *testing.T) {
	reader := blocked{make(chan struct{})}
	book := logbook.New(reader, time.Now)
	for range 10_000 {
		book.Write([]byte("line\n"))
	}
	lost := 0
	for _, n := range book.Left() {
		lost += n
	}
	qt.Check(t, lost > 0, qt.IsTrue)
	close(reader.release)
	book.Close()
	<-book.Done()
}
