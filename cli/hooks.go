package cli

import (
	"context"
	"io"

	"magnoliahoist/bench"
	"magnoliahoist/config"
)

// Hooks carry out the commands that run hosts and stand-ins. The context ends when the process is
// asked to stop; a hook that is nil is not built in. A host loads its settings at its start and again when
// it is asked to apply changes.
type Hooks struct {
	Host    func(ctx context.Context, load func() (config.Host, error), out, errs io.Writer) error
	Entry   func(ctx context.Context, load func() (config.Entry, error), out io.Writer) error
	Dev     func(ctx context.Context, out, errs io.Writer) error
	Standin func(ctx context.Context, kind, listen, options string, out io.Writer) error
	Bench   func(ctx context.Context, options bench.Options, out io.Writer) error
}
