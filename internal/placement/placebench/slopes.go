package placebench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/hotkey"
	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Sizes that stay fixed while a benchmark varies another one.
const (
	fixedShards  = 4096
	fixedServers = 20
	fixedHotKeys = 64
)

// Line is a least-squares fit y = Base + Slope*x.
type Line struct {
	Base, Slope float64
	// R2 is the coefficient of determination. Residual is the root mean square of
	// the differences between the points and the line.
	R2, Residual float64
}

// Fit fits a line to at least two points with different x.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var mx, my, sxx, sxy, syy float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	l := Line{Slope: sxy / sxx}
	l.Base = my - l.Slope*mx
	var ss float64
	for i := range x {
		d := y[i] - l.Base - l.Slope*x[i]
		ss += d * d
	}
	l.Residual, l.R2 = math.Sqrt(ss/n), 1
	if syy > 0 {
		l.R2 = 1 - ss/syy
	}
	return l
}

// scalingBenchmark is a benchmark that runs at several sizes.
type scalingBenchmark struct {
	name  string
	sizes []int
	run   func(b *testing.B, size int)
}

func scalingBenchmarks() []scalingBenchmark {
	shards := []int{64, 256, 1024, 4096, 16384}
	servers := []int{5, 10, 20, 40, 80, 160}
	hot := []int{0, 64, 256, 1024}
	counters := []int{64, 256, 1024, 4096, 16384}
	return []scalingBenchmark{
		{"tick at rest, by shards", shards, func(b *testing.B, n int) { benchTick(b, n, fixedServers, fixedHotKeys, false) }},
		{"tick at the move limit, by shards", shards, func(b *testing.B, n int) { benchTick(b, n, fixedServers, fixedHotKeys, true) }},
		{"tick at the move limit, by servers", servers, func(b *testing.B, n int) { benchTick(b, fixedShards, n, fixedHotKeys, true) }},
		{"tick at the move limit, by hot keys", hot, func(b *testing.B, n int) { benchTick(b, fixedShards, fixedServers, n, true) }},
		{"loss of a server, by shards", shards, func(b *testing.B, n int) { benchLoss(b, n) }},
		{"sketch add, by counters", counters, benchAdd},
		{"sketch advance and top 64, by counters", counters, benchAdvance},
		{"sketch memory, by counters", counters, benchNew},
	}
}

// WriteSlopes runs the scaling benchmarks and writes time and memory per operation for
// each size, with fitted lines.
func WriteSlopes(w io.Writer) error {
	testing.Init()
	for _, s := range scalingBenchmarks() {
		var x, ns, bytes []float64
		if _, err := fmt.Fprintf(w, "%s\n%12s %14s %14s\n", s.name, "size", "ns/op", "B/op"); err != nil {
			return eris.Wrap(err, "write slopes")
		}
		for _, size := range s.sizes {
			r := testing.Benchmark(func(b *testing.B) { s.run(b, size) })
			x = append(x, float64(size))
			ns = append(ns, float64(r.T.Nanoseconds())/float64(r.N))
			bytes = append(bytes, float64(r.AllocedBytesPerOp()))
			if _, err := fmt.Fprintf(w, "%12d %14.0f %14.0f\n", size, ns[len(ns)-1], bytes[len(bytes)-1]); err != nil {
				return eris.Wrap(err, "write slopes")
			}
		}
		for _, f := range []struct {
			unit string
			y    []float64
		}{{"ns", ns}, {"B", bytes}} {
			l := Fit(x, f.y)
			if _, err := fmt.Fprintf(w, "  %s = %.4g + %.4g * size, R2 %.3f, residual %.3g %s\n", f.unit, l.Base, l.Slope, l.R2, l.Residual, f.unit); err != nil {
				return eris.Wrap(err, "write slopes")
			}
		}
	}
	return nil
}

// tickInput returns the input of a decision on one partition. In an uneven partition
// most shards are on half of the servers. In an even one the policy has no more
// rebalancing changes to make.
func tickInput(shards, servers, hotKeys int, uneven bool) placement.Input {
	in := placement.Input{Settings: placement.HrJadranSettings(), Seed: 1}
	for i := range servers {
		in.Servers = append(in.Servers, placement.Server{
			ID: topology.ServerID("s" + strconv.Itoa(i)), StateAge: time.Hour, Slots: slots, NominalLoad: 1, BusySlots: 1,
			Reports: []placement.Report{{BusySlots: 1}, {BusySlots: 1}, {BusySlots: 1}},
		})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range shards {
		owner := i % servers
		if uneven && i%4 > 0 {
			owner /= 2
		}
		ref := topology.ShardRef{Service: "bench", Shard: topology.ShardID(i)}
		in.Assignments = append(in.Assignments, placement.Assignment{
			Ref: ref, Server: in.Servers[owner].ID, OwnedFor: time.Hour,
			Load: float64(servers) / float64(shards) * (0.5 + rng.Float64()),
		})
		if i < hotKeys {
			ref.Key = "k" + strconv.Itoa(i)
			in.HotKeys = append(in.HotKeys, placement.HotKey{Ref: ref, Load: in.Assignments[i].Load / 2})
		}
	}
	for i := shards; i < hotKeys; i++ {
		ref := topology.ShardRef{Service: "bench", Shard: topology.ShardID(i % shards), Key: "k" + strconv.Itoa(i)}
		in.HotKeys = append(in.HotKeys, placement.HotKey{Ref: ref})
	}
	if !uneven {
		// Applies decisions until one has no rebalancing changes.
		for range shards {
			p := placement.Decide(in)
			if p.RebalancingChanges() == 0 {
				break
			}
			in.Assignments = placement.Apply(in.Assignments, p)
			for i := range in.Assignments {
				in.Assignments[i].OwnedFor = time.Hour
			}
		}
	}
	return in
}

func benchTick(b *testing.B, shards, servers, hotKeys int, uneven bool) {
	in := tickInput(shards, servers, hotKeys, uneven)
	b.ReportAllocs()
	for b.Loop() {
		placement.Decide(in)
	}
}

// benchLoss measures the decision after the loss of one server.
func benchLoss(b *testing.B, shards int) {
	in := tickInput(shards, fixedServers, fixedHotKeys, false)
	in.Servers[0].State = placement.Lost
	b.ReportAllocs()
	for b.Loop() {
		placement.Decide(in)
	}
}

// newSketch returns a sketch after a stream of keys with a Zipf distribution, and the
// function that draws further keys.
func newSketch(counters int) (*hotkey.Sketch[uint64], func() uint64) {
	rng := rand.New(rand.NewPCG(1, 3))
	zipf := rand.NewZipf(rng, 1.1, 1, 1<<20)
	s := hotkey.New[uint64](counters, hotkey.DefaultHalfLife)
	for range 4 * counters {
		s.Add(zipf.Uint64(), 1)
	}
	s.Advance(time.Second)
	return s, zipf.Uint64
}

func benchAdd(b *testing.B, counters int) {
	const stream = 1 << 16
	s, next := newSketch(counters)
	keys := make([]uint64, stream)
	for i := range keys {
		keys[i] = next()
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Add(keys[i%stream], 1)
		i++
	}
}

func benchAdvance(b *testing.B, counters int) {
	s, next := newSketch(counters)
	for s.Len() < counters {
		s.Add(next(), 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		// Advancing by zero costs the same and does not let the counts decay.
		s.Advance(0)
		s.Top(topKeys)
	}
}

func benchNew(b *testing.B, counters int) {
	b.ReportAllocs()
	for b.Loop() {
		s := hotkey.New[uint64](counters, hotkey.DefaultHalfLife)
		s.Add(1, 1)
	}
}
