package cli

import (
	"context"
	"io"

	"magnoliahoist/bench"
	"magnoliahoist/config"
)

// Hooks holds the functions behind the commands that run hosts, stand-ins and the benchmark. Their context is done once the
// process is asked to stop. A command whose hook is nil fails. A host calls load when it starts, and again when it is asked
// to reload its settings.
type Hooks struct {
	Host    func(ctx context.Context, load func() (config.Host, error), out, errs io.Writer) error
	Entry   func(ctx context.Context, load func() (config.Entry, error), out io.Writer) error
	Dev     func(ctx context.Context, out, errs io.Writer) error
	Standin func(ctx context.Context, kind, listen, options string, out io.Writer) error
	Bench   func(ctx context.Context, options bench.Options, out io.Writer) error
}
