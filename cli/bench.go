package cli

import (
	"github.com/juju/errors"

	"magnoliahoist/bench"
)

type benchCommand struct {
	Dir     string `default:"contrib" placeholder:"DIRECTORY" help:"Directory of the example deployments."`
	Seeds   int    `default:"5" help:"Number of seeds."`
	Jobs    int    `default:"6" help:"Number of concurrent runs."`
	Input   string `placeholder:"NAME" help:"Run only this input."`
	Variant string `placeholder:"NAME" help:"Run only this variant."`
	Detail  bool   `help:"Print the reasons of wrongful refusals."`
}

// Run measures the policy and the baselines that it is compared with, on a virtual clock.
func (c benchCommand) Run(s *session) error {
	if s.hooks.Bench == nil {
		return errors.Annotate(errNotBuilt, "cli: unable to run the benchmark")
	}
	if c.Seeds < 1 {
		return errors.Annotate(errUsage, "bench needs at least one seed")
	}
	return s.hooks.Bench(s.ctx, bench.Options(c), s.out)
}
