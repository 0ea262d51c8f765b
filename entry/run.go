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
	// memoryShare is the part of the allowed memory at which the collector works harder.
	memoryShare = 0.6
	// collectPercent lets the heap grow before a collection, because processor time is scarcer than memory.
	collectPercent = 400
)

// Run runs a host until the context ends, then stops it as planned. SIGHUP loads the settings again.
func Run(ctx context.Context, load func() (config.Entry, error), out io.Writer) error {
	settings, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory*megabyte)))
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
	go book.Report(log, h.Done())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := h.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-hangups:
			log.Info("entry: settings are read at the start only")
			continue
		case <-ctx.Done():
			h.Stop()
		case <-h.Done():
		}
		return h.Wait()
	}
}
