package loadgen

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// LoadOptions configure Load.
type LoadOptions struct {
	Rate     float64 // requests/s
	Duration time.Duration
	Workers  int // bounds the requests in flight
	Keys     []string
	Write    bool
}

// LoadReport is the result of Load.
type LoadReport struct {
	Counts
	Latency
	Throughput float64   `json:"throughput_per_s"` // requests that succeeded
	Outcomes   []Outcome `json:"-"`
}

// Load sends requests at a fixed rate. When all workers are busy the rate
// falls; the throughput shows it.
func Load(ctx context.Context, s *Sender, o LoadOptions) LoadReport {
	var res results
	var next atomic.Int64
	interval := time.Duration(float64(time.Second) / o.Rate)
	start := time.Now()
	var wg sync.WaitGroup
	for range o.Workers {
		wg.Go(func() {
			for {
				i := next.Add(1) - 1
				at := time.Duration(i) * interval
				if at >= o.Duration || time.Since(start) >= o.Duration || !sleepUntil(ctx, start.Add(at)) {
					return
				}
				res.add(s.Send(ctx, Request{Key: o.Keys[int(i)%len(o.Keys)], Write: o.Write}))
			}
		})
	}
	wg.Wait()
	r := LoadReport{Counts: count(res.all), Latency: latency(res.all), Outcomes: res.all}
	for _, out := range res.all {
		if out.Succeeded() {
			r.Throughput++
		}
	}
	r.Throughput /= time.Since(start).Seconds()
	return r
}

// Write prints the report as text.
func (r LoadReport) Write(w io.Writer) {
	r.write(w)
	_, _ = fmt.Fprintf(w, "throughput  %.0f/s\nlatency     p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms\n", r.Throughput, r.P50, r.P90, r.P99, r.Max)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
