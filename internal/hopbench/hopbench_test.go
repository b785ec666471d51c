package hopbench

import (
	"net/http"
	"testing"
)

// BenchmarkHops compares the paths at half of the saturation of the longest.
// Run with -benchtime=20000x or more, so that the percentiles have enough
// samples.
func BenchmarkHops(b *testing.B) {
	for _, keepAlive := range []bool{true, false} {
		name := "reused"
		if !keepAlive {
			name = "new-connections"
		}
		b.Run(name, func(b *testing.B) { compare(b, keepAlive) })
	}
}

func compare(b *testing.B, keepAlive bool) {
	f, err := NewFleet(keepAlive, http.HandlerFunc(Answer))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * paced, DisableKeepAlives: !keepAlive}}
	defer c.CloseIdleConnections()
	rate := Saturation(c, Through(f.Entry)) / 2
	for _, way := range []struct {
		name string
		path Path
	}{{"direct", f.Direct}, {"one-hop", Through(f.Leader)}, {"two-hops", Through(f.Entry)}} {
		b.Run(way.name, func(b *testing.B) {
			r := Measure(c, way.path, b.N, rate)
			if r.Err != nil {
				b.Logf("%d of %d requests failed, one with: %v", r.Failed, b.N, r.Err)
			}
			b.ReportMetric(float64(r.P50.Microseconds()), "p50-us")
			b.ReportMetric(float64(r.P99.Microseconds()), "p99-us")
			b.ReportMetric(float64(r.CPU.Nanoseconds())/1e3, "cpu-us/op")
			b.ReportMetric(r.Rate, "req/s")
			b.ReportMetric(float64(r.Failed), "failed")
		})
	}
}
