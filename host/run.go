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

// Run runs a host until the context ends, then drains and stops it. It writes the host's id and addresses to out as one
// line, because the system may have chosen the ports, and the log to logOutput. SIGHUP reloads the settings. Run returns
// the error of loading the settings, of starting or of running.
func Run(ctx context.Context, load func() (config.Host, error), out, logOutput io.Writer) error {
	settings, err := load()
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "magnoliahoist",
		Output:     logOutput,
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
			h.reloadFrom(load)
			continue
		case <-ctx.Done():
			h.Drain(context.Background())
		case <-h.Done():
		}
		return h.Wait()
	}
}
