package host

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
)

// Run runs a host until the context ends, then stops it as planned. It writes its addresses as one
// line, because ports may have been chosen by the system. SIGHUP loads the settings again.
func Run(ctx context.Context, load func() (config.Host, error), out, errs io.Writer) error {
	settings, err := load()
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "magnoliahoist",
		Output:     errs,
		Level:      hclog.LevelFromString(settings.Log.Level),
		JSONFormat: settings.Log.Format == "json",
	})
	h, err := New(settings, log)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := h.Start(); err != nil {
		return err
	}
	callers, operators, peers := h.Addresses()
	fmt.Fprintf(out, "host %s callers %s operators %s peers %s\n", h.ID(), callers, operators, peers)
	for {
		select {
		case <-hangups:
			h.loadAgain(load)
			continue
		case <-ctx.Done():
			h.Drain(context.Background())
		case <-h.Done():
		}
		return h.Wait()
	}
}
