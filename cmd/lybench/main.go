// Command lybench compares the placement policy with baselines in a simulation and
// measures how the cost of one decision grows with the size of a deployment. It does
// not use the network.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/placement/placebench"
	"github.com/lycheerudder/lycheerudder/internal/settings"
)

const (
	partAll     = "all"
	partCompare = "compare"
	partSlopes  = "slopes"
)

type options struct {
	Part    string `env:"LYR_PART" envDefault:"all" flag:"part" help:"What to run: compare (comparison of policies), slopes (cost of a decision by size) or all."`
	Seeds   int    `env:"LYR_SEEDS" envDefault:"3" flag:"seeds" help:"Number of seeds with which the comparison is repeated."`
	Workers int    `env:"LYR_WORKERS" envDefault:"4" flag:"workers" help:"Number of simulations that the comparison runs in parallel."`
	Picture string `env:"LYR_PICTURE" flag:"picture" help:"PNG file for plots of the comparison; empty for none."`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	var errs []error
	if o.Part != partAll && o.Part != partCompare && o.Part != partSlopes {
		errs = append(errs, fmt.Errorf("--part must be compare, slopes or all, not %q", o.Part))
	}
	if o.Seeds < 1 || o.Workers < 1 {
		errs = append(errs, fmt.Errorf("--seeds and --workers must be at least 1"))
	}
	return errs
}

func main() {
	var o options
	p := settings.Program{Name: "lybench", Description: "Compares placement policies and measures the cost of a decision."}
	settings.Main(p, &o, func(context.Context) error { return run(o, os.Stdout) })
}

func run(o options, out io.Writer) error {
	if o.Part != partSlopes {
		if err := compare(o, out); err != nil {
			return err
		}
	}
	if o.Part != partCompare {
		return placebench.WriteSlopes(out)
	}
	return nil
}

func compare(o options, out io.Writer) error {
	po := placebench.Options{
		Deployments: placebench.Deployments(), Policies: placebench.Policies(), Seeds: o.Seeds, Workers: o.Workers,
	}
	for _, d := range po.Deployments {
		if err := d.Settings.Validate(); err != nil {
			return eris.Wrapf(err, "settings of %s", d.Name)
		}
	}
	results := placebench.Compare(po)
	if err := placebench.WriteTable(out, po, results); err != nil {
		return eris.Wrap(err, "write table")
	}
	if o.Picture == "" {
		return nil
	}
	return placebench.WritePicture(o.Picture, po, results)
}
