package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Counts holds the number of requests per verdict and per error code.
type Counts struct {
	Requests int            `json:"requests"`
	Verdicts map[string]int `json:"verdicts"`
	Codes    map[string]int `json:"codes"`
	// Messages holds the message of one request per error code.
	Messages map[string]string `json:"messages"`
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// results collects outcomes. It is safe for concurrent use.
type results struct {
	mu  sync.Mutex
	all []Outcome
}

func (r *results) add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, o)
}

func count(all []Outcome) Counts {
	c := Counts{Requests: len(all), Verdicts: make(map[string]int), Codes: make(map[string]int), Messages: make(map[string]string)}
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
		c.Verdicts[v.String()] = 0
	}
	for _, o := range all {
		c.Verdicts[o.Verdict.String()]++
		if o.Code != "" {
			c.Codes[o.Code]++
			c.Messages[o.Code] = o.Message
		}
	}
	return c
}

// latency returns the percentiles of the requests that succeeded.
func latency(all []Outcome) Latency {
	var took []time.Duration
	for _, o := range all {
		if o.Succeeded() {
			took = append(took, o.Took)
		}
	}
	slices.Sort(took)
	return Latency{P50: millis(percentile(took, 50)), P90: millis(percentile(took, 90)), P99: millis(percentile(took, 99)), Max: millis(percentile(took, 100))}
}

// percentile returns the nearest rank of sorted values; 0 if there are none.
func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, (len(sorted)*p+99)/100-1)]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteJSON prints a report as JSON.
func WriteJSON(w io.Writer, report any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}

// WriteIDs prints the id and the verdict of each request, one a line.
func WriteIDs(w io.Writer, all []Outcome) error {
	for _, o := range all {
		if _, err := fmt.Fprintln(w, o.ID, o.Verdict); err != nil {
			return err
		}
	}
	return nil
}

func (c Counts) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "requests    %d\n", c.Requests)
	for _, m := range []map[string]int{c.Verdicts, c.Codes} {
		for _, name := range slices.Sorted(maps.Keys(m)) {
			_, _ = fmt.Fprintf(w, "  %-20s %d\n", name, m[name])
		}
	}
}
