package metrics

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

const prefix = "lycheerudder_"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteTo writes all metrics in the Prometheus text format. Durations are in
// microseconds. The order of the lines is deterministic.
func (s *Set) WriteTo(w io.Writer) (int64, error) {
	var b bytes.Buffer
	s.writeSeries(&b)
	writeRegistry(&b, s.counters, "counter", "_total")
	writeRegistry(&b, s.gauges, "gauge", "")
	return b.WriteTo(w)
}

func (s *Set) writeSeries(b *bytes.Buffer) {
	var summaries, outcomes, retries []string
	s.series.Range(func(k, v any) bool {
		key, sr := k.(seriesKey), v.(*series)
		labels := fmt.Sprintf("customer=%q,class=%q", key.customer, key.class)
		for _, stage := range []Stage{StageTotal, StageQueue, StageServer} {
			summaries = append(summaries, summaryLines(labels+fmt.Sprintf(",part=%q", stage), sr.durations[stage])...)
		}
		sr.mu.Lock()
		defer sr.mu.Unlock()
		for o, n := range sr.outcomes {
			outcomes = append(outcomes, fmt.Sprintf("%srequests_total{%s,verdict=%q,code=%q} %d", prefix, labels, o.verdict, o.code, n))
		}
		for code, n := range sr.retries {
			retries = append(retries, fmt.Sprintf("%sretries_total{%s,code=%q} %d", prefix, labels, code, n))
		}
		return true
	})
	writeBlock(b, "request_microseconds", "summary", summaries)
	writeBlock(b, "requests_total", "counter", outcomes)
	writeBlock(b, "retries_total", "counter", retries)
}

func summaryLines(labels string, h gometrics.Histogram) []string {
	snap := h.Snapshot()
	lines := make([]string, 0, len(quantiles)+2)
	for i, v := range snap.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%srequest_microseconds{%s,quantile=\"%g\"} %g", prefix, labels, quantiles[i], v))
	}
	return append(lines,
		fmt.Sprintf("%srequest_microseconds_sum{%s} %d", prefix, labels, snap.Sum()),
		fmt.Sprintf("%srequest_microseconds_count{%s} %d", prefix, labels, snap.Count()))
}

func writeRegistry(b *bytes.Buffer, r gometrics.Registry, kind, suffix string) {
	values := make(map[string]string)
	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			values[name] = fmt.Sprint(m.Count())
		case gometrics.GaugeFloat64:
			values[name] = fmt.Sprint(m.Value())
		}
	})
	for _, name := range slices.Sorted(maps.Keys(values)) {
		full := name + suffix
		writeBlock(b, full, kind, []string{prefix + full + " " + values[name]})
	}
}

func writeBlock(b *bytes.Buffer, name, kind string, lines []string) {
	if len(lines) == 0 {
		return
	}
	slices.Sort(lines)
	fmt.Fprintf(b, "# TYPE %s%s %s\n%s\n", prefix, name, kind, strings.Join(lines, "\n"))
}
