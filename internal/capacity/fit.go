// Package capacity measures what control costs an entry host as a function of
// size, and fits a line to each cost. docs/CAPACITY.md uses the results.
package capacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/placement/placebench"
)

// Series is one cost at several sizes.
type Series struct {
	Name string
	// Size and Unit name the two axes.
	Size, Unit string
	X, Y       []float64
	// NoFit is set for figures that no line describes.
	NoFit bool
}

func (s *Series) add(x, y float64) {
	s.X = append(s.X, x)
	s.Y = append(s.Y, y)
}

// pair measures two figures at each size with one call of measure.
func pair(name, size, firstUnit, secondUnit string, sizes []int, measure func(n int) (first, second float64, err error)) ([]*Series, error) {
	a := &Series{Name: name, Size: size, Unit: firstUnit}
	b := &Series{Name: name, Size: size, Unit: secondUnit}
	for _, n := range sizes {
		first, second, err := measure(n)
		if err != nil {
			return nil, err
		}
		a.add(float64(n), first)
		b.add(float64(n), second)
	}
	return []*Series{a, b}, nil
}

// Residual returns the largest deviation of a point from a line, relative to
// the point.
func (s *Series) Residual(l placebench.Line) float64 {
	worst := 0.0
	for i, x := range s.X {
		if d := math.Abs(s.Y[i] - l.Base - l.Slope*x); d > 0 {
			worst = max(worst, d/math.Abs(s.Y[i]))
		}
	}
	return worst
}

func (s *Series) write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s, %s by %s\n ", s.Name, s.Unit, s.Size); err != nil {
		return eris.Wrap(err, "write series")
	}
	for i := range s.X {
		if _, err := fmt.Fprintf(w, " %g: %.5g;", s.X[i], s.Y[i]); err != nil {
			return eris.Wrap(err, "write series")
		}
	}
	if s.NoFit {
		_, err := fmt.Fprintln(w)
		return eris.Wrap(err, "write series")
	}
	l := placebench.Fit(s.X, s.Y)
	_, err := fmt.Fprintf(w, "\n  intercept %.5g, slope %.5g, largest relative deviation %.1f%%\n", l.Base, l.Slope, 100*s.Residual(l))
	return eris.Wrap(err, "write series")
}

// Measure is one part of the measurements.
type Measure struct {
	Name string
	Run  func() ([]*Series, error)
}

// Measures returns all parts.
func Measures() []Measure {
	return []Measure{
		{"support", supportByMembers}, {"slots", supportBySlots},
		{"lease", leaseByServers}, {"lease-shards", leaseByShards},
		{"grant", grantByShards}, {"grant-servers", grantByServers}, {"lead", leadBySlots},
		{"ids", idMemory}, {"handover", handOvers}, {"connections", connections}, {"relay", relayHops},
		{"hosts", hostList}, {"log", logReads},
	}
}

// Write runs one part, or all if part is empty, and writes its points and
// lines.
func Write(w io.Writer, part string) error {
	found := false
	for _, m := range Measures() {
		if part != "" && part != m.Name {
			continue
		}
		found = true
		all, err := m.Run()
		if err != nil {
			return eris.Wrapf(err, "measure %s", m.Name)
		}
		for _, s := range all {
			if err := s.write(w); err != nil {
				return err
			}
		}
	}
	if !found {
		return eris.Errorf("no part is named %q", part)
	}
	return nil
}

// cpu returns the CPU time of this process.
func cpu() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail with these arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the bytes of live objects and of stacks.
func memory() (heap, stacks float64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}
