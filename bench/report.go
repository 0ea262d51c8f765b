package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// Options select the runs of the benchmark and the detail of its report.
type Options struct {
	Dir     string // directory with one directory for each deployment
	Seeds   int    // the seeds are 1 to Seeds
	Jobs    int    // concurrent runs, at least 1
	Input   string // name of the only input to run; empty runs all
	Variant string // name of the only variant to run; empty runs all
	Detail  bool   // also report the refusals by reason
}

// deploymentNames are the names of the deployments' directories.
var deploymentNames = []string{"kyushu", "trangia"}

// Report runs the benchmark and writes the minimum, median and maximum of each measure over the seeds. It returns an error when a
// deployment can't be loaded, or the context's error when the context ends.
func Report(ctx context.Context, o Options, out io.Writer) error {
	fmt.Fprintf(out, "seeds 1 to %d; least median greatest\n", o.Seeds)
	for _, name := range deploymentNames {
		d, err := LoadDeployment(o.Dir, name)
		if err != nil {
			return fmt.Errorf("bench: unable to load deployment %q: %w", name, err)
		}
		for _, in := range Inputs() {
			if o.Input != "" && o.Input != in.Name {
				continue
			}
			if err := ctx.Err(); err != nil {
				return err
			}
			reportInput(o, d, in, out)
		}
	}
	return nil
}

// reportInput runs all selected variants of an input and writes their table.
func reportInput(o Options, d Deployment, in Input, out io.Writer) {
	fmt.Fprintf(out, "\n%s, %s\n", d.Name, in.Name)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tattained/acc/min\tattained %\tmoves\tworst account %\tJain\twrongful %\tfailed %\tabove limit")
	var variants []Variant
	for _, v := range Variants() {
		if o.Variant == "" || o.Variant == v.Name {
			variants = append(variants, v)
		}
	}
	results := runAll(o, d, in, variants)
	for i, v := range variants {
		list := results[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", v.Name,
			formatSpread(list, "%.1f", func(r Result) float64 { return r.AttainedPerMinute }),
			formatSpread(list, "%.1f", func(r Result) float64 { return 100 * r.AttainedFraction }),
			formatSpread(list, "%.0f", func(r Result) float64 { return r.ModelLoads }),
			formatSpread(list, "%.1f", func(r Result) float64 { return 100 * r.WorstServedFraction }),
			formatSpread(list, "%.3f", func(r Result) float64 { return r.JainIndex }),
			formatSpread(list, "%.2f", func(r Result) float64 { return 100 * r.WrongfulFraction }),
			formatSpread(list, "%.2f", func(r Result) float64 { return 100 * r.FailedFraction }),
			formatSpread(list, "%.0f", func(r Result) float64 { return r.ExcessTokens }))
		for seed, r := range list {
			if o.Detail {
				fmt.Fprintf(w, "  seed %d\t%v\n", seed+1, r.RefusalsByReason)
			}
			if r.Overcommitted {
				fmt.Fprintf(w, "  seed %d\tmemory overcommitted\n", seed+1)
			}
		}
	}
	w.Flush()
}

// runAll runs every variant with every seed, Jobs of them concurrently. It returns the results by variant and seed.
func runAll(o Options, d Deployment, in Input, variants []Variant) [][]Result {
	results := make([][]Result, len(variants))
	var group sync.WaitGroup
	slots := make(chan struct{}, max(o.Jobs, 1))
	for i, v := range variants {
		results[i] = make([]Result, o.Seeds)
		for seed := range o.Seeds {
			group.Add(1)
			slots <- struct{}{}
			go func() {
				defer group.Done()
				defer func() { <-slots }()
				results[i][seed] = Run(d, in, v, uint64(seed+1))
			}()
		}
	}
	group.Wait()
	return results
}

// formatSpread formats the minimum, median and maximum of a measure.
func formatSpread(list []Result, format string, measure func(Result) float64) string {
	values := make([]float64, len(list))
	for i, r := range list {
		values[i] = measure(r)
	}
	slices.Sort(values)
	return fmt.Sprintf(format+" "+format+" "+format, values[0], values[len(values)/2], values[len(values)-1])
}
