// Package cli defines the command line of the magnoliahoist binary.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"magnoliahoist/bench"
	"magnoliahoist/dev"
	"magnoliahoist/entry"
	"magnoliahoist/host"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1 // the command failed or was refused
	exitUsage  = 2 // the command line is wrong
)

// commands is the grammar of the command line, from which kong derives commands and flags.
type commands struct {
	hostFlags
	Output string `short:"o" enum:"text,json" default:"text" help:"Output format: text or json."`

	Host       hostCommand        `cmd:"" help:"Run an entry host."`
	Entry      entryCommand       `cmd:"" help:"Run an entry host on a platform whose endpoints register themselves."`
	Dev        devCommand         `cmd:"" help:"Run a host and stand-ins for all services and endpoints in one process, with example tables."`
	Standin    standinCommand     `cmd:"" hidden:"" help:"Run a stand-in for a service of the platform or for an endpoint."`
	Bench      benchCommand       `cmd:"" help:"Measure the policy and its baselines on a virtual clock."`
	Check      checkCommand       `cmd:"" help:"Check tables and settings without asking a host."`
	Apply      applyCommand       `cmd:"" help:"Replace tables and wait until they are in force."`
	Get        getCommand         `cmd:"" help:"Print a table."`
	Key        keyCommands        `cmd:"" help:"Issue, withdraw and list keys."`
	Status     statusCommand      `cmd:"" help:"Print the status of a host."`
	Drain      drainCommand       `cmd:"" help:"Stop a host once its requests have ended, and wait until it has stopped."`
	Timeline   timelineCommand    `cmd:"" help:"Print the events of all hosts in causal order."`
	Quarantine quarantineCommands `cmd:"" help:"List prompt parts that are suspected of crashing engines, and lift the suspicion."`
	Config     configCommands     `cmd:"" help:"Print settings."`
	Health     healthCommand      `cmd:"" help:"Print whether a host accepts calls; fail if it doesn't."`
	Version    versionCommand     `cmd:"" help:"Print the version."`
}

// exitCode is the value of the panic with which Hooks.Run leaves the parser once that has printed help.
type exitCode int

// Run runs the command of the command line and returns the exit status: 0 for success, 1 for a command that failed or was
// refused, 2 for a wrong command line.
func Run(args []string, out, errs io.Writer) int {
	return Hooks{Host: host.Run, Entry: entry.Run, Dev: dev.Run, Standin: dev.RunStandin, Bench: bench.Report}.Run(args, out, errs)
}

// Run runs the command of the command line with the hooks, and returns the same exit status as the function Run.
func (h Hooks) Run(args []string, out, errs io.Writer) (status int) {
	defer func() {
		if value := recover(); value != nil {
			code, ok := value.(exitCode)
			if !ok {
				panic(value)
			}
			status = int(code)
		}
	}()
	var grammar commands
	parser, err := kong.New(&grammar, kong.Name("magnoliahoist"), kong.Description("Serves many models on fewer accelerators."),
		kong.Writers(out, errs), kong.Exit(func(code int) { panic(exitCode(code)) }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintf(errs, "magnoliahoist: unable to set up the command line: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errs, "magnoliahoist: %v\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &session{ctx: ctx, printer: printer{out: out, errs: errs, json: grammar.Output == "json"}, hooks: h, hostFlags: grammar.hostFlags}
	if err := parsed.Run(s); err != nil {
		s.printError(err)
		if errors.Is(err, errUsage) {
			return exitUsage
		}
		return exitFailed
	}
	return exitDone
}
