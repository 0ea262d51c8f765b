package host

import (
	"context"
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
)

// Run runs a host until the context ends, then stops it as planned. It writes its addresses as one
// line, because ports may have been chosen by the system.
func Run(ctx context.Context, settings config.Host, out, errs io.Writer) error {
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
	if err := h.Start(); err != nil {
		return err
	}
	callers, operators, peers := h.Addresses()
	fmt.Fprintf(out, "host %s callers %s operators %s peers %s\n", h.ID(), callers, operators, peers)
	select {
	case <-ctx.Done():
		h.Drain(context.Background())
	case <-h.Done():
	}
	return h.Wait()
}
