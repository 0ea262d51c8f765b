package connection

import (
	"io"
	"runtime"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// flood is a source that always has more bytes.
type flood struct {
	reads int
}

func (f *flood) Read(buffer []byte) (int, error) {
	f.reads++
	return len(buffer), nil
}

// TestReaderYields guards against an endpoint whose bytes come faster than they are decoded and that keeps other goroutines of the host
// from running for a time slice of the scheduler.
func TestReaderYields(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, size := range map[string]int{"few bytes at a time": 16, "a buffer at a time": readerSize, "large reads": 16 * readerSize} {
		t.Run(name, func(t *testing.T) {
			source := new(flood)
			reader := newResponseReader(source)
			var others atomic.Int64
			for range 10 {
				go others.Add(1)
			}
			buffer := make([]byte, size)
			for others.Load() < 10 && source.reads < 1000 {
				_, err := io.ReadFull(reader, buffer)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, source.reads < 20, qt.IsTrue, qt.Commentf("10 goroutines have run after %d reads, want fewer than 20", source.reads))
		})
	}
}
