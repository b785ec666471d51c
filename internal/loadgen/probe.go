package loadgen

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// ProbeInterval is the time between two requests for a key. It is short
// against the failover times, which start at 0.4 s.
const ProbeInterval = 20 * time.Millisecond

// affectedGap separates keys that a fault affected from scheduling delays.
const affectedGap = 300 * time.Millisecond

// slowAfter is longer than a failover of the leader takes, so that a slow
// request points to a route that did not follow the failover.
const slowAfter = 1500 * time.Millisecond

// ProbeReport is the result of Probe. The gaps are between two successful
// answers for a key; the one at the end of the run counts too.
type ProbeReport struct {
	Counts
	Latency
	Keys     int `json:"keys"`
	Affected int `json:"affected_keys"`
	// Slow is the number of successful requests that took longer than slowAfter.
	Slow int `json:"slow"`
	// NeverServed is the number of keys without any successful answer.
	NeverServed int     `json:"never_served"`
	MedianMS    float64 `json:"median_ms"`
	WorstMS     float64 `json:"worst_ms"`
	// The gaps of writes alone. A new leader without the memory of ids refuses
	// writes that were created up to 500 ms after its start.
	WriteMedianMS float64            `json:"write_median_ms"`
	WriteWorstMS  float64            `json:"write_worst_ms"`
	GapMS         map[string]float64 `json:"gap_ms"`
	Outcomes      []Outcome          `json:"-"`
}

// gap finds the longest time between two successes.
type gap struct {
	last    time.Time
	longest time.Duration
}

func (g *gap) success(at time.Time) {
	if !g.last.IsZero() && at.Sub(g.last) > g.longest {
		g.longest = at.Sub(g.last)
	}
	if at.After(g.last) {
		g.last = at
	}
}

// end counts the time from the last success to the end of the run. A key that
// was never served was unavailable for the whole run.
func (g *gap) end(start, end time.Time) {
	if g.last.IsZero() {
		g.last = start
	}
	g.longest = max(g.longest, end.Sub(g.last))
}

// keyGaps holds the gaps of one key. It is safe for concurrent use.
type keyGaps struct {
	mu          sync.Mutex
	all, writes gap
}

func (k *keyGaps) success(at time.Time, write bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.all.success(at)
	if write {
		k.writes.success(at)
	}
}

// Probe sends one request per key and interval, in turn a read and a write. It
// does not wait for earlier requests, so that a request that is stuck does not
// hide the return of the key.
func Probe(ctx context.Context, s *Sender, keys []string, duration time.Duration) ProbeReport {
	var res results
	gaps := make([]keyGaps, len(keys))
	start := time.Now()
	var wg sync.WaitGroup
	for k, key := range keys {
		wg.Go(func() {
			offset := ProbeInterval * time.Duration(k) / time.Duration(len(keys))
			for i := 0; ; i++ {
				at := offset + time.Duration(i)*ProbeInterval
				if at >= duration || !sleepUntil(ctx, start.Add(at)) {
					return
				}
				wg.Go(func() {
					r := Request{Key: key, Write: i%2 == 1}
					o := s.Send(ctx, r)
					res.add(o)
					if o.Succeeded() {
						gaps[k].success(time.Now(), r.Write)
					}
				})
			}
		})
	}
	wg.Wait()
	return probeReport(keys, gaps, res.all, start, start.Add(duration))
}

func probeReport(keys []string, gaps []keyGaps, all []Outcome, start, end time.Time) ProbeReport {
	r := ProbeReport{Counts: count(all), Latency: latency(all), Keys: len(keys), GapMS: make(map[string]float64), Outcomes: all}
	for _, o := range all {
		if o.Succeeded() && o.Took > slowAfter {
			r.Slow++
		}
	}
	var longest, writes []time.Duration
	for i := range gaps {
		g := &gaps[i]
		if g.all.last.IsZero() {
			r.NeverServed++
		}
		g.all.end(start, end)
		g.writes.end(start, end)
		if g.all.longest >= affectedGap {
			r.Affected++
		}
		longest, writes = append(longest, g.all.longest), append(writes, g.writes.longest)
		r.GapMS[keys[i]] = millis(g.all.longest)
	}
	slices.Sort(longest)
	slices.Sort(writes)
	r.MedianMS, r.WorstMS = millis(percentile(longest, 50)), millis(percentile(longest, 100))
	r.WriteMedianMS, r.WriteWorstMS = millis(percentile(writes, 50)), millis(percentile(writes, 100))
	return r
}

// Write prints the report as text.
func (r ProbeReport) Write(w io.Writer) {
	keys := make([]string, 0, len(r.GapMS))
	for key := range r.GapMS {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		_, _ = fmt.Fprintf(w, "%-20s longest gap %.0f ms\n", key, r.GapMS[key])
	}
	r.write(w)
	_, _ = fmt.Fprintf(w, "keys        %d, affected %d, never served %d\nunavailable median %.0f ms, worst %.0f ms; writes median %.0f ms, worst %.0f ms\nlatency     p50 %.1f ms, p99 %.1f ms, slow %d\n",
		r.Keys, r.Affected, r.NeverServed, r.MedianMS, r.WorstMS, r.WriteMedianMS, r.WriteWorstMS, r.P50, r.P99, r.Slow)
}
