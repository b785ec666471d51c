package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/gateway"
	"github.com/lycheerudder/lycheerudder/internal/query"
	"github.com/lycheerudder/lycheerudder/internal/settings"
)

// GateOptions are those of queries to entry hosts that run lygate. The type is
// exported so that package env can fill it where it is embedded.
type GateOptions struct {
	Gates string `env:"LYR_GATES" flag:"gates" help:"Metrics addresses of entry hosts that run lygate: host:port, separated by commas."`
	JSON  bool   `env:"LYR_JSON" flag:"json" help:"Print JSON."`
}

// Validate implements settings.Validator.
func (o *GateOptions) Validate() []error {
	return settings.NonNilErrors(settings.CheckNotEmpty("gates", o.Gates))
}

type gateKeyOptions struct {
	GateOptions
	Service string `env:"LYR_SERVICE" flag:"service" help:"Service of the key."`
	Key     int    `env:"LYR_KEY" envDefault:"-1" flag:"key" help:"The key, a number."`
}

// Validate implements settings.Validator.
func (o *gateKeyOptions) Validate() []error {
	errs := append(o.GateOptions.Validate(), settings.NonNilErrors(settings.CheckNotEmpty("service", o.Service))...)
	if o.Key < 0 {
		errs = append(errs, errors.New("--key: a number of zero or more is expected"))
	}
	return errs
}

// gateTimeout bounds the query to one host: a host that does not answer must not
// hold up the others.
const gateTimeout = 2 * time.Second

// gateClient asks each host once.
var gateClient = &http.Client{Timeout: gateTimeout}

// runGates prints what each host believes. It returns an error if a host does not
// answer, after the answers of the others.
func runGates(ctx context.Context, o GateOptions, out io.Writer) error {
	var states []gateway.HostState
	var errs []error
	for address := range strings.SplitSeq(o.Gates, ",") {
		var s gateway.HostState
		if err := query.Get(ctx, gateClient, address, gateway.PathState, &s); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", address, err))
			continue
		}
		states = append(states, s)
	}
	if o.JSON {
		return errors.Join(append(errs, printJSONTo(out, states))...)
	}
	return errors.Join(append(errs, tableTo(out, func(w io.Writer) { printGates(w, states) }))...)
}

func printGates(w io.Writer, states []gateway.HostState) {
	row(w, "HOST\tDATA CENTRE\tLEADER\tEPOCH\tCONFIG\tLIST AGE\tREFUSED")
	for _, s := range states {
		leader := s.Leader
		switch {
		case s.Leads:
			leader = "this host"
		case leader == "":
			leader = "none"
		}
		row(w, "%s\t%s\t%s\t%d\t%d\t%d ms\t%s", s.Host, s.DataCentre, leader, s.Epoch, s.ConfigVersion, s.LeaderListAgeMS, refusals(s.Counts))
	}
	for _, s := range states {
		for i, x := range s.Services {
			if i == 0 {
				row(w, "\nSERVICE\tWAITING\tRUNNING\tSLOTS\tKEY RANGES\tMOVING\tWITHOUT OWNER")
			}
			row(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d", x.Service, x.Waiting, x.Running, x.Slots, x.KeyRanges, x.Moving, x.Unowned)
		}
	}
}

// refusals lists the counters of refused requests by reason.
func refusals(counts map[string]int64) string {
	var list []string
	for name, n := range counts {
		if reason, ok := strings.CutPrefix(name, "refused-"); ok {
			list = append(list, reason+"="+strconv.FormatInt(n, 10))
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// runGateKey prints who owns a key and why. The answer of the leader is preferred.
func runGateKey(ctx context.Context, o gateKeyOptions, out io.Writer) error {
	var found gateway.KeyState
	var from string
	var errs []error
	path := gateway.PathKey + "?" + url.Values{"service": {o.Service}, "key": {strconv.Itoa(o.Key)}}.Encode()
	for address := range strings.SplitSeq(o.Gates, ",") {
		var k gateway.KeyState
		if err := query.Get(ctx, gateClient, address, path, &k); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", address, err))
			continue
		}
		if from == "" || k.Source == gateway.SourceGrants {
			found, from = k, address
		}
		if k.Source == gateway.SourceGrants {
			break
		}
	}
	if from == "" {
		return errors.Join(errs...)
	}
	if o.JSON {
		return printJSONTo(out, found)
	}
	server := string(found.Server)
	if server == "" {
		server = "no server"
	}
	_, err := fmt.Fprintf(out, "key %d of %s: %s (keys %d to %d; from the %s of %s)\nheld: %t\nwhy: %s\n",
		found.Key, found.Service, server, found.From, found.To, found.Source, from, found.Granted, found.Reason)
	if err == nil && found.Next != "" {
		_, err = fmt.Fprintf(out, "next: %s\n", found.Next)
	}
	if err == nil && found.FreeInMS > 0 {
		_, err = fmt.Fprintf(out, "free in: %d ms at the latest\n", found.FreeInMS)
	}
	return err
}

func gateCommands(gates *GateOptions, key *gateKeyOptions) []settings.Command {
	return []settings.Command{
		{Name: "gates", Description: "Shows leader, configuration, load and refusals of hosts that run lygate.", Settings: gates,
			Run: func(ctx context.Context) error { return runGates(ctx, *gates, os.Stdout) }},
		{Name: "gate-key", Description: "Shows who owns a key and why, as hosts that run lygate know it.", Settings: key,
			Run: func(ctx context.Context) error { return runGateKey(ctx, *key, os.Stdout) }},
	}
}
