package keyplacement

import (
	"math"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
)

const (
	// fastDecay is the time constant of the load of keys that has changed: sets of hot
	// keys last for 4 to 6 s and are to be spread within a second.
	fastDecay = 700 * time.Millisecond
	// slowDecay is the time constant of the load of all other keys. With 1.5 s, key
	// ranges moved because of the random arrival of their requests.
	slowDecay = 3 * time.Second
	// changeDeviations is the number of standard deviations between the two loads of a
	// group above which its load has changed. With 2.5, the replays of hot keys followed
	// a change half a second later; with 1.2, more ranges moved without a cause.
	changeDeviations = 1.5
	// groupKeys is the number of adjacent keys whose loads are compared: a single key of
	// a set of 200 has too few requests.
	groupKeys = 64
)

// Meter measures the load of each key: the mean number of server slots that its
// requests occupy, with exponential decay. It is made for load of which a part, a set of
// adjacent hot keys, changes within a second, while the rest only seems to change by the
// random arrival of requests: it measures with a short and a long time constant, and
// uses the short one for the groups of keys whose two loads differ significantly. The
// load of the others follows that of all of them together.
type Meter struct {
	fast, slow decayingLoads
	// meanWork is the mean work of a request in seconds.
	meanWork float64
}

// decayingLoads holds the load of each key with one time constant.
type decayingLoads struct {
	decay time.Duration
	loads []float64
	// scale is the weight of a new observation. It grows exponentially with time,
	// so that the loads of all keys need not be reduced at each step.
	scale float64
	last  time.Duration
}

// NewMeter returns a Meter without load.
func NewMeter() *Meter { return &Meter{fast: newLoads(fastDecay), slow: newLoads(slowDecay)} }

func newLoads(decay time.Duration) decayingLoads {
	return decayingLoads{decay: decay, loads: make([]float64, keymap.KeyCount), scale: 1}
}

// meanWorkWeight is the weight of a request in the mean work.
const meanWorkWeight = 0.02

// Add records a request for a key that is expected to occupy a slot for work seconds.
func (m *Meter) Add(key int, work float64, now time.Duration) {
	if m.meanWork == 0 {
		m.meanWork = work
	}
	m.meanWork += meanWorkWeight * (work - m.meanWork)
	m.fast.add(key, work, now)
	m.slow.add(key, work, now)
}

func (l *decayingLoads) add(key int, work float64, now time.Duration) {
	l.advance(now)
	l.loads[key] += work * l.scale
}

// maxScale is the scale above which all loads are rescaled, to avoid overflow.
const maxScale = 1e12

func (l *decayingLoads) advance(now time.Duration) {
	if now <= l.last {
		return
	}
	l.scale *= math.Exp(float64(now-l.last) / float64(l.decay))
	l.last = now
	if l.scale > maxScale {
		for i := range l.loads {
			l.loads[i] /= l.scale
		}
		l.scale = 1
	}
}

// unit returns the load of a key per unit of loads.
func (l *decayingLoads) unit() float64 { return 1 / (l.scale * l.decay.Seconds()) }

// PrefixSums returns for each key the total load of all lower keys, followed by the
// total load of all keys.
func (m *Meter) PrefixSums(now time.Duration) []float64 {
	m.fast.advance(now)
	m.slow.advance(now)
	fastUnit, slowUnit := m.fast.unit(), m.slow.unit()
	var fast, slow [keymap.KeyCount / groupKeys]float64
	var fastTotal, slowTotal float64
	for i := range fast {
		for k := i * groupKeys; k < (i+1)*groupKeys; k++ {
			fast[i] += m.fast.loads[k]
			slow[i] += m.slow.loads[k]
		}
		fast[i] *= fastUnit
		slow[i] *= slowUnit
		fastTotal += fast[i]
		slowTotal += slow[i]
	}
	// A load that grows alike for all keys changes no group. Its growth is taken from the
	// groups that have not changed by themselves.
	growth := ratio(fastTotal, slowTotal)
	var fastRest, slowRest float64
	for i := range fast {
		if !m.changed(fast[i], slow[i]*growth) {
			fastRest += fast[i]
			slowRest += slow[i]
		}
	}
	growth = ratio(fastRest, slowRest)
	sums := make([]float64, keymap.KeyCount+1)
	var sum float64
	for i := range fast {
		loads, unit := m.slow.loads, slowUnit*growth
		if m.changed(fast[i], slow[i]*growth) {
			loads, unit = m.fast.loads, fastUnit
		}
		for k := i * groupKeys; k < (i+1)*groupKeys; k++ {
			sums[k] = sum
			sum += loads[k] * unit
		}
	}
	sums[keymap.KeyCount] = sum
	return sums
}

// ratio returns a/b, 1 if there is no load.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// changed reports whether the load of a group differs from its earlier load by more than
// the random arrival of requests explains.
func (m *Meter) changed(fast, slow float64) bool {
	variance := max(fast, slow) * m.meanWork / (2 * fastDecay.Seconds())
	return math.Abs(fast-slow) > changeDeviations*math.Sqrt(variance)
}
