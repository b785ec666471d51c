// Command lyload sends requests to entry hosts as callers do. It prints the
// outcome of each request, or with --rate the throughput and latency, or with
// --probe the unavailable time of keys.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/settings"
)

type options struct {
	Target   string        `env:"LYR_TARGET" envDefault:"127.0.0.1:8080" flag:"target" help:"Addresses of entry hosts, separated by commas."`
	Service  string        `env:"LYR_SERVICE" envDefault:"booking" flag:"service" help:"Service of the requests."`
	Customer string        `env:"LYR_CUSTOMER" envDefault:"pewright" flag:"customer" help:"Customer of the requests."`
	Key      string        `env:"LYR_KEY" envDefault:"job-1" flag:"key" help:"Key of the requests; a number is appended if there are several."`
	Count    int           `env:"LYR_COUNT" envDefault:"1" flag:"count" help:"Number of requests."`
	Timeout  time.Duration `env:"LYR_TIMEOUT" envDefault:"3s" flag:"timeout" help:"Time for each request."`
	Write    bool          `env:"LYR_WRITE" flag:"write" help:"Send requests that may run at most once."`
	Rate     float64       `env:"LYR_RATE" flag:"rate" help:"Send this many requests per second and print a summary."`
	Probe    bool          `env:"LYR_PROBE" flag:"probe" help:"Send a request per key every 20 ms and print the unavailable time of the keys."`
	Duration time.Duration `env:"LYR_DURATION" envDefault:"10s" flag:"duration" help:"Time to send with --rate or --probe."`
	Workers  int           `env:"LYR_WORKERS" envDefault:"64" flag:"workers" help:"Requests in flight with --rate."`
	Keys     int           `env:"LYR_KEYS" envDefault:"64" flag:"keys" help:"Number of keys with --rate or --probe."`
	Health   string        `env:"LYR_HEALTH" flag:"health" help:"Operator addresses of the entry hosts in the order of --target; hosts that are not ready are skipped."`
	IDs      string        `env:"LYR_IDS" flag:"ids" help:"File for the id and the verdict of each request with --rate or --probe."`
	JSON     bool          `env:"LYR_JSON" flag:"json" help:"Print the summary as JSON."`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	var errs []error
	for t := range strings.SplitSeq(o.Target, ",") {
		errs = append(errs, settings.CheckAddress("target", t))
	}
	if o.Count < 1 {
		errs = append(errs, fmt.Errorf("--count must be at least 1, not %d", o.Count))
	}
	if o.Rate < 0 || o.Rate > 0 && o.Probe {
		errs = append(errs, fmt.Errorf("--rate must not be negative or used with --probe"))
	}
	if o.Workers < 1 || o.Keys < 1 || o.Duration <= 0 {
		errs = append(errs, fmt.Errorf("--workers, --keys and --duration must be positive"))
	}
	if o.Health != "" && strings.Count(o.Health, ",") != strings.Count(o.Target, ",") {
		errs = append(errs, fmt.Errorf("--health must name as many addresses as --target"))
	}
	return settings.NonNilErrors(errs...)
}

func main() {
	var o options
	p := settings.Program{Name: "lyload", Description: "Sends requests to entry hosts and prints the outcome."}
	settings.Main(p, &o, func(ctx context.Context) error {
		targets := strings.Split(o.Target, ",")
		if o.Rate > 0 || o.Probe {
			return measure(ctx, o, targets)
		}
		for i := range o.Count {
			if err := send(ctx, o, targets[i%len(targets)], i); err != nil {
				return err
			}
		}
		return nil
	})
}

func send(ctx context.Context, o options, target string, i int) error {
	key := o.Key
	if o.Count > 1 {
		key += "-" + strconv.Itoa(i)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout+time.Second)
	defer cancel()
	method := http.MethodGet
	if o.Write {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/v1/"+o.Service+"/sheet", nil)
	if err != nil {
		return err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	req.Header.Set(frontend.HeaderCustomer, o.Customer)
	req.Header.Set(frontend.HeaderKey, key)
	req.Header.Set(frontend.HeaderTimeout, strconv.FormatInt(o.Timeout.Milliseconds(), 10))
	req.Header.Set(frontend.HeaderRepeatable, strconv.FormatBool(!o.Write))
	req.Header.Set(frontend.HeaderRequestID, id.String())
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		fmt.Printf("%-8s %-10s failed: %v\n", o.Service, key, err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	h := resp.Header
	fmt.Printf("%-8s %-10s verdict=%-12s owner=%-14s fence=%-10s %s error=%s\n",
		o.Service, key, h.Get(frontend.HeaderVerdict), h.Get(frontend.HeaderServer), h.Get(frontend.HeaderFence), h.Get(frontend.HeaderTiming), h.Get(frontend.HeaderError))
	if err != nil {
		return fmt.Errorf("answer is incomplete after %d bytes: %w", len(body), err)
	}
	return nil
}
