// Package simnet is an in-memory network of machines in virtual time, for
// tests of decision logic that performs no I/O. It advances in steps of 1 ms,
// is driven by one goroutine and depends only on its seed. Machines can stop,
// pause, restart and be cut off; messages can be lost and delayed.
package simnet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
)

// Step is the resolution of the virtual time, and the transit time of a
// message without jitter.
const Step = time.Millisecond

// Machine is one host or server.
type Machine struct {
	Name string
	// Dead machines do not run; Restart starts them again.
	Dead bool
	// Paused is the end of a pause. A paused machine processes what it
	// receives, and sends what it decided to send, when it resumes.
	Paused time.Duration
	// Starts counts the starts of the machine.
	Starts uint64
	// Offset and Rate are the error of the machine's clock.
	Offset time.Duration
	Rate   float64
	inbox  []func()
}

// Net is the network and its time.
type Net struct {
	Now time.Duration
	Rng *rand.Rand
	// Drop is the share of lost messages, Jitter the largest additional delay.
	Drop   float64
	Jitter time.Duration
	// Violation is the first report to Violate.
	Violation string

	machines []*Machine
	queue    map[time.Duration][]func()
	cut      map[[2]string]bool
}

// New returns a network without machines.
func New(seed uint64) *Net {
	return &Net{
		Rng: rand.New(rand.NewPCG(seed, 1)), queue: make(map[time.Duration][]func()), cut: make(map[[2]string]bool),
	}
}

// Add starts a machine. The clocks of machines differ in origin, and in rate
// by up to 0.1%.
func (n *Net) Add(name string) *Machine {
	i := len(n.machines)
	m := &Machine{Name: name, Starts: 1, Offset: time.Duration(i) * time.Minute, Rate: []float64{0.0005, -0.0005, 0}[i%3]}
	n.machines = append(n.machines, m)
	return m
}

// Restart starts a machine anew. Messages to its earlier start are lost.
func (n *Net) Restart(m *Machine) {
	m.Starts++
	m.Dead, m.Paused, m.inbox = false, 0, nil
}

// Local returns the clock of a machine.
func (n *Net) Local(m *Machine) time.Duration {
	return m.Offset + n.Now + time.Duration(float64(n.Now)*m.Rate)
}

type machineClock struct {
	net     *Net
	machine *Machine
}

func (c machineClock) Now() time.Duration { return c.net.Local(c.machine) }

// Clock returns the clock of a machine.
func (n *Net) Clock(m *Machine) clock.Clock { return machineClock{n, m} }

// After runs f after d, also if all machines are paused.
func (n *Net) After(d time.Duration, f func()) { n.queue[n.Now+d] = append(n.queue[n.Now+d], f) }

// Deliver runs f at the receiver after the transit time.
func (n *Net) Deliver(from, to *Machine, f func()) {
	if n.Now < from.Paused {
		starts := from.Starts
		n.After(from.Paused-n.Now, func() {
			if !from.Dead && from.Starts == starts {
				n.Deliver(from, to, f)
			}
		})
		return
	}
	if n.Drop > 0 && n.Rng.Float64() < n.Drop {
		return
	}
	starts, transit := to.Starts, Step
	if n.Jitter > 0 {
		transit += time.Duration(n.Rng.Int64N(int64(n.Jitter/Step))) * Step
	}
	n.After(transit, func() {
		run := func() {
			if !to.Dead && to.Starts == starts {
				f()
			}
		}
		switch {
		case n.IsCut(from, to):
		case n.Now < to.Paused:
			to.inbox = append(to.inbox, run)
		default:
			run()
		}
	})
}

// SetCut cuts the link between two machines, or restores it.
func (n *Net) SetCut(a, b *Machine, on bool) {
	delete(n.cut, [2]string{a.Name, b.Name})
	delete(n.cut, [2]string{b.Name, a.Name})
	if on {
		n.cut[[2]string{a.Name, b.Name}] = true
	}
}

// IsCut reports whether the link between two machines is cut.
func (n *Net) IsCut(a, b *Machine) bool {
	return len(n.cut) > 0 && (n.cut[[2]string{a.Name, b.Name}] || n.cut[[2]string{b.Name, a.Name}])
}

// Isolate cuts a machine off from all machines whose name begins with prefix.
func (n *Net) Isolate(m *Machine, prefix string) {
	for _, o := range n.machines {
		if o != m && strings.HasPrefix(o.Name, prefix) {
			n.SetCut(m, o, true)
		}
	}
}

// Heal restores all links.
func (n *Net) Heal() { n.Drop, n.Jitter, n.cut = 0, 0, make(map[[2]string]bool) }

// Running reports whether a machine runs now, after it has processed what it
// received during a pause.
func (n *Net) Running(m *Machine) bool {
	if m.Dead || n.Now < m.Paused {
		return false
	}
	inbox := m.inbox
	m.inbox = nil
	for _, f := range inbox {
		f()
	}
	return true
}

// Violate records a broken guarantee. Only the first one is kept.
func (n *Net) Violate(format string, args ...any) {
	if n.Violation == "" {
		n.Violation = fmt.Sprintf("%v: ", n.Now) + fmt.Sprintf(format, args...)
	}
}

// Run advances the time by d. In each step it delivers the messages that are
// due and then calls step.
func (n *Net) Run(d time.Duration, step func()) {
	for end := n.Now + d; n.Now < end; n.Now += Step {
		for i := 0; i < len(n.queue[n.Now]); i++ {
			n.queue[n.Now][i]()
		}
		delete(n.queue, n.Now)
		step()
	}
}
