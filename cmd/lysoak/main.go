// Command lysoak runs hosts against stand-ins of the platform, injects random faults, and
// checks what callers and servers observe.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/internal/soak"
)

type options struct {
	Seed     int           `env:"LYSOAK_SEED" envDefault:"0" flag:"seed" help:"first seed; 0 derives it from the clock"`
	Seeds    int           `env:"LYSOAK_SEEDS" envDefault:"1" flag:"seeds" help:"number of seeds to run"`
	Duration time.Duration `env:"LYSOAK_DURATION" envDefault:"20s" flag:"duration" help:"how long to inject faults for each seed"`
	Hosts    int           `env:"LYSOAK_HOSTS" envDefault:"4" flag:"hosts" help:"number of hosts"`
	Servers  int           `env:"LYSOAK_SERVERS" envDefault:"6" flag:"servers" help:"number of servers of the keyed service"`
	Callers  int           `env:"LYSOAK_CALLERS" envDefault:"12" flag:"callers" help:"number of callers"`
	Program  string        `env:"LYSOAK_PROGRAM" envDefault:"bin/lygate" flag:"program" help:"path of the host program"`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	var errs []error
	for name, v := range map[string]int{"seeds": o.Seeds, "hosts": o.Hosts, "servers": o.Servers, "callers": o.Callers} {
		if v < 1 {
			errs = append(errs, fmt.Errorf("%s must be at least 1", name))
		}
	}
	if o.Hosts > 50 {
		errs = append(errs, errors.New("hosts must be at most 50"))
	}
	if _, err := os.Stat(o.Program); err != nil {
		errs = append(errs, err)
	}
	return errs
}

var errViolations = errors.New("at least one seed had violations")

func main() {
	var o options
	settings.Main(settings.Program{Name: "lysoak", Description: "Injects random faults into hosts and checks what callers and servers observe."}, &o, func(ctx context.Context) error {
		if o.Seed == 0 {
			o.Seed = int(time.Now().Unix())
		}
		var failed error
		for i := range o.Seeds {
			seed := uint64(o.Seed + i)
			ok, err := runSeed(ctx, o, seed)
			if err != nil {
				return err
			}
			if !ok {
				failed = errViolations
			}
		}
		return failed
	})
}

func runSeed(ctx context.Context, o options, seed uint64) (bool, error) {
	logDir, err := os.MkdirTemp("", fmt.Sprintf("lysoak-%d-", seed))
	if err != nil {
		return false, err
	}
	r, err := soak.Run(ctx, soak.Options{
		Seed: seed, Duration: o.Duration, Hosts: o.Hosts, Servers: o.Servers, Callers: o.Callers, Program: o.Program, LogDir: logDir,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d served, %d refused, %d failed, %d violations\n",
		seed, len(r.Faults), r.Requests, r.Served, r.Refused, r.Failed, len(r.Violations))
	if len(r.Violations) == 0 {
		return true, os.RemoveAll(logDir)
	}
	for _, f := range r.Faults {
		fmt.Println("  fault", f)
	}
	for _, v := range r.Violations {
		fmt.Println("  VIOLATION", v)
	}
	fmt.Println("  logs are kept in", logDir)
	return false, nil
}
