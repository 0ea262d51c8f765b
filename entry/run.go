package entry

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
	"magnoliahoist/logbook"
)

const (
	megabyte = 1 << 20
	// memoryLimitFraction is the fraction of the allowed memory that is set as the garbage collector's soft limit.
	memoryLimitFraction = 0.6
	// gcPercent lets the heap grow far between collections, because CPU time is scarcer than memory.
	gcPercent = 400
)

// Run runs a host until the context ends, then stops it gracefully. It returns the error of loading the settings, of
// starting or of running. SIGHUP has no effect but a log line: settings are read only at startup.
func Run(ctx context.Context, load func() (config.Entry, error), out io.Writer) error {
	settings, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB*megabyte)))
	book := logbook.New(out, time.Now)
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "magnoliahoist",
		Output:     book,
		Exclude:    book.Exclude,
		Level:      hclog.LevelFromString(settings.Log.Level),
		JSONFormat: settings.Log.Format == "json",
	})
	h := New(settings, log)
	defer func() {
		book.Close()
		<-book.Done()
	}()
	go book.ReportDropped(log, h.Done())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := h.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-hangups:
			log.Info("entry: SIGHUP ignored: settings are read only at startup")
			continue
		case <-ctx.Done():
			h.Stop()
		case <-h.Done():
		}
		return h.Wait()
	}
}
