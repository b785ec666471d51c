package keyplacement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/keyplacement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

var settings = keyplacement.Settings{MaxMoves: 3, MinUtilisationGap: 0.15, MinUtilisation: 0.3, MaxRangesPerServer: 2.5}

func servers(capacities ...float64) []keyplacement.Server {
	var list []keyplacement.Server
	for i, c := range capacities {
		list = append(list, keyplacement.Server{ID: id(i), Capacity: c})
	}
	return list
}

func id(i int) topology.ServerID { return topology.ServerID(fmt.Sprintf("s%02d", i)) }

// equal divides the keys evenly among n servers.
func equal(n int) []keyplacement.Range {
	var parts []keyplacement.Range
	for i := range n {
		parts = append(parts, keyplacement.Range{
			From: i * keymap.KeyCount / n, To: (i+1)*keymap.KeyCount/n - 1, Server: id(i), Movable: true,
		})
	}
	return parts
}

// sums returns the prefix sums of a load that f gives for each key.
func sums(f func(key int) float64) []float64 {
	out := make([]float64, keymap.KeyCount+1)
	for k := range keymap.KeyCount {
		out[k+1] = out[k] + f(k)
	}
	return out
}

// play applies plans until nothing changes, as if each move ended at once.
func play(parts []keyplacement.Range, list []keyplacement.Server, loads []float64, rounds int) ([]keyplacement.Range, int) {
	moves := 0
	for range rounds {
		plan := keyplacement.Plan(parts, list, loads, settings)
		if len(plan) == 0 {
			break
		}
		moves += len(plan)
		for _, m := range plan {
			parts = apply(parts, m)
		}
	}
	return parts, moves
}

func apply(parts []keyplacement.Range, m keyplacement.Move) []keyplacement.Range {
	var out []keyplacement.Range
	add := func(p keyplacement.Range) {
		if p.From > p.To {
			return
		}
		if n := len(out); n > 0 && out[n-1].Server == p.Server {
			out[n-1].To = p.To
			return
		}
		out = append(out, p)
	}
	for _, p := range parts {
		if p.To < m.From || p.From > m.To {
			add(p)
			continue
		}
		left, right := p, p
		left.To, right.From = m.From-1, m.To+1
		add(left)
		moved := keyplacement.Range{From: max(p.From, m.From), To: min(p.To, m.To), Server: m.Server, Movable: true}
		add(moved)
		add(right)
	}
	return out
}

// busiest returns the largest utilisation.
func busiest(parts []keyplacement.Range, list []keyplacement.Server, loads []float64) float64 {
	use := make(map[topology.ServerID]float64)
	for _, p := range parts {
		use[p.Server] += loads[p.To+1] - loads[p.From]
	}
	most := 0.0
	for _, s := range list {
		most = max(most, use[s.ID]/s.Capacity)
	}
	return most
}

// Replays a set of 200 neighbouring keys that takes 40% of the requests, on 19
// servers whose speeds differ by three. Guards against ranges that are divided by
// width: one server would have 7 times the mean.
func TestHotNeighbours(t *testing.T) {
	g := NewWithT(t)
	list := servers(1, 2, 2, 3, 1, 2, 2, 3, 1, 2, 2, 3, 1, 2, 2, 3, 1, 2, 2)
	loads := sums(func(k int) float64 {
		if k >= 30000 && k < 30200 {
			return 8.0 / 200
		}
		return 12.0 / keymap.KeyCount
	})
	before := busiest(equal(19), list, loads)
	parts, moves := play(equal(19), list, loads, 60)
	mean := 20.0 / 37
	g.Expect(before).To(BeNumerically(">", 5*mean))
	g.Expect(busiest(parts, list, loads)).To(BeNumerically("<", mean+2*settings.MinUtilisationGap))
	g.Expect(moves).To(BeNumerically("<", 100))
}

// Replays a single key that takes more than its server can do. Guards against a
// planner that gives up because the busiest server has nothing to give: the key
// goes to a fast server, which gets rid of its other keys, and the other servers
// are balanced as well.
func TestOneHotKey(t *testing.T) {
	g := NewWithT(t)
	list := servers(1, 2, 2, 3, 2, 2)
	loads := sums(func(k int) float64 {
		switch {
		case k == 5000: // at server s00, of capacity 1
			return 2.5
		case k > 40000 && k < 41000:
			return 3.0 / 1000
		}
		return 2.0 / keymap.KeyCount
	})
	parts, _ := play(equal(6), list, loads, 100)
	var hot keyplacement.Range
	for _, p := range parts {
		if p.From <= 5000 && p.To >= 5000 {
			hot = p
		}
	}
	g.Expect(hot.Server).To(Equal(id(3)))
	use := make(map[topology.ServerID]float64)
	for _, p := range parts {
		use[p.Server] += loads[p.To+1] - loads[p.From]
	}
	for i, s := range list {
		if i != 3 {
			g.Expect(use[s.ID]/s.Capacity).To(BeNumerically("<", 0.9), string(s.ID))
		}
	}
	g.Expect(use[id(3)]).To(BeNumerically("<", 2.9), "the other keys leave the server of the hot one")
}

// Guards against servers that join and get no keys while the load is low.
func TestNewServerGetsKeys(t *testing.T) {
	g := NewWithT(t)
	list := servers(2, 2, 2)
	parts := equal(2)
	plan := keyplacement.Plan(parts, list, sums(func(int) float64 { return 0.1 / keymap.KeyCount }), settings)
	g.Expect(plan).NotTo(BeEmpty())
	g.Expect(plan[0].Server).To(Equal(id(2)))
}

// Guards against keys of a leaving server that stay, overlap or leave the key
// space, at any load.
func TestHomelessKeysAreCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "servers")
		list := servers(make([]float64, n)...)
		for i := range list {
			list[i].Capacity = rapid.Float64Range(0.3, 4).Draw(t, "capacity")
		}
		parts := equal(n + 1)
		homeless := rapid.IntRange(0, n).Draw(t, "homeless")
		parts[homeless].NeedsServer = true
		parts[homeless].Server = "gone"
		peak := rapid.IntRange(0, keymap.KeyCount-1).Draw(t, "peak")
		loads := sums(func(k int) float64 {
			if k == peak {
				return 5
			}
			return 3.0 / keymap.KeyCount
		})
		next := parts[homeless].From
		for _, m := range keyplacement.Plan(parts, list, loads, settings) {
			if m.From > parts[homeless].To || m.To < parts[homeless].From {
				continue
			}
			if m.From != next || m.To < m.From || m.To > parts[homeless].To {
				t.Fatalf("move %+v where key %d is due", m, next)
			}
			next = m.To + 1
		}
		if next != parts[homeless].To+1 {
			t.Fatalf("keys from %d to %d have no server", next, parts[homeless].To)
		}
	})
}

// Guards against a measurement that forgets slowly: the load of a hot set must
// show within its first second and fade when it ends.
func TestMeterFollowsHotSets(t *testing.T) {
	g := NewWithT(t)
	m := keyplacement.NewMeter()
	at := func(now time.Duration) float64 { return m.PrefixSums(now)[keymap.KeyCount] }
	var now time.Duration
	for now = 0; now < time.Second; now += 10 * time.Millisecond {
		m.Add(7, 0.02, now) // two busy slots
	}
	g.Expect(at(now)).To(BeNumerically("~", 2, 1.1))
	g.Expect(at(now)).To(BeNumerically(">", 0.9))
	g.Expect(at(now + 5*time.Second)).To(BeNumerically("<", 0.1))
	g.Expect(at(now + 500*time.Second)).To(BeNumerically("<", 1e-9))
}
