package main

import (
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/lycheerudder/lycheerudder/internal/loadgen"
)

type report interface{ Write(w io.Writer) }

// measure runs the mode with a rate or the probe, and prints its report.
func measure(ctx context.Context, o options, targets []string) error {
	var health []string
	if o.Health != "" {
		health = strings.Split(o.Health, ",")
	}
	hosts := loadgen.NewHosts(targets, health)
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go hosts.Watch(watch)
	sender := loadgen.NewSender(o.Service, o.Customer, o.Timeout, hosts)
	keys := make([]string, o.Keys)
	for i := range keys {
		keys[i] = o.Key + "-" + strconv.Itoa(i)
	}
	var r report
	var all []loadgen.Outcome
	if o.Probe {
		p := loadgen.Probe(ctx, sender, keys, o.Duration)
		r, all = p, p.Outcomes
	} else {
		l := loadgen.Load(ctx, sender, loadgen.LoadOptions{Rate: o.Rate, Duration: o.Duration, Workers: o.Workers, Keys: keys, Write: o.Write})
		r, all = l, l.Outcomes
	}
	if err := writeIDs(o.IDs, all); err != nil {
		return err
	}
	if o.JSON {
		return loadgen.WriteJSON(os.Stdout, r)
	}
	r.Write(os.Stdout)
	return nil
}

func writeIDs(name string, all []loadgen.Outcome) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(loadgen.WriteIDs(f, all), f.Close())
}
