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

var settings = keyplacement.Settings{MinMoves: 3, ServersPerMove: 7, MinUtilisationGap: 0.15, MinUtilisation: 0.3, MaxRangesPerServer: 2.5}

func servers(capacities ...float64) []keyplacement.Server {
	var list []keyplacement.Server
	for i, c := range capacities {
		list = append(list, keyplacement.Server{ID: id(i), Capacity: c})
	}
	return list
}

func id(i int) topology.ServerID { return topology.ServerID(fmt.Sprintf("s%02d", i)) }

// evenRanges divides the keys evenly among n servers.
func evenRanges(n int) []keyplacement.Range {
	var ranges []keyplacement.Range
	for i := range n {
		ranges = append(ranges, keyplacement.Range{
			From: i * keymap.KeyCount / n, To: (i+1)*keymap.KeyCount/n - 1, Server: id(i), Movable: true,
		})
	}
	return ranges
}

// sums returns the prefix sums of the load f(key) of each key.
func sums(f func(key int) float64) []float64 {
	out := make([]float64, keymap.KeyCount+1)
	for k := range keymap.KeyCount {
		out[k+1] = out[k] + f(k)
	}
	return out
}

// applyPlans applies plans until one is empty, at most rounds of them. Each move is
// complete before the next plan. It also returns the number of moves.
func applyPlans(ranges []keyplacement.Range, list []keyplacement.Server, prefixSums []float64, rounds int) ([]keyplacement.Range, int) {
	moves := 0
	for range rounds {
		plan := keyplacement.Plan(ranges, list, prefixSums, settings)
		if len(plan) == 0 {
			break
		}
		moves += len(plan)
		for _, m := range plan {
			ranges = applyMove(ranges, m)
		}
	}
	return ranges, moves
}

func applyMove(ranges []keyplacement.Range, m keyplacement.Move) []keyplacement.Range {
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
	for _, p := range ranges {
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

// maxUtilisation returns the highest utilisation of a server.
func maxUtilisation(ranges []keyplacement.Range, list []keyplacement.Server, prefixSums []float64) float64 {
	load := make(map[topology.ServerID]float64)
	for _, p := range ranges {
		load[p.Server] += prefixSums[p.To+1] - prefixSums[p.From]
	}
	highest := 0.0
	for _, s := range list {
		highest = max(highest, load[s.ID]/s.Capacity)
	}
	return highest
}

// Guards against balancing ranges by width instead of load. 200 adjacent keys get 40%
// of the load, on 19 servers whose capacities differ by a factor of up to three; with
// ranges of equal width one server would have 7 times the mean utilisation.
func TestAdjacentHotKeys(t *testing.T) {
	g := NewWithT(t)
	list := servers(1, 2, 2, 3, 1, 2, 2, 3, 1, 2, 2, 3, 1, 2, 2, 3, 1, 2, 2)
	prefixSums := sums(func(k int) float64 {
		if k >= 30000 && k < 30200 {
			return 8.0 / 200
		}
		return 12.0 / keymap.KeyCount
	})
	initial := maxUtilisation(evenRanges(19), list, prefixSums)
	ranges, moves := applyPlans(evenRanges(19), list, prefixSums, 60)
	mean := 20.0 / 37
	g.Expect(initial).To(BeNumerically(">", 5*mean))
	g.Expect(maxUtilisation(ranges, list, prefixSums)).To(BeNumerically("<", mean+2*settings.MinUtilisationGap))
	g.Expect(moves).To(BeNumerically("<", 100))
}

// Guards against a planner that stops because the server with the highest utilisation
// has no range to move. A single key has more load than its server's capacity: it must
// move to a server with more capacity, the other keys of that server must move away,
// and the other servers must be balanced too.
func TestOneHotKey(t *testing.T) {
	g := NewWithT(t)
	list := servers(1, 2, 2, 3, 2, 2)
	prefixSums := sums(func(k int) float64 {
		switch {
		case k == 5000: // at server s00, of capacity 1
			return 2.5
		case k > 40000 && k < 41000:
			return 3.0 / 1000
		}
		return 2.0 / keymap.KeyCount
	})
	ranges, _ := applyPlans(evenRanges(6), list, prefixSums, 100)
	var hot keyplacement.Range
	for _, p := range ranges {
		if p.From <= 5000 && p.To >= 5000 {
			hot = p
		}
	}
	g.Expect(hot.Server).To(Equal(id(3)))
	load := make(map[topology.ServerID]float64)
	for _, p := range ranges {
		load[p.Server] += prefixSums[p.To+1] - prefixSums[p.From]
	}
	for i, s := range list {
		if i != 3 {
			g.Expect(load[s.ID]/s.Capacity).To(BeNumerically("<", 0.9), string(s.ID))
		}
	}
	g.Expect(load[id(3)]).To(BeNumerically("<", 2.9), "other keys remain on the server of the hot key")
}

// Gives two keys of one range 12 busy slots each, more than twice what the fastest server
// has. Guards against hot keys that share a server with each other or with other keys,
// and against one that gets a fast server only after several plans.
func TestHotKeysHaveTheirOwnServers(t *testing.T) {
	g := NewWithT(t)
	capacities := make(map[topology.ServerID]float64)
	var list []keyplacement.Server
	for i := range 24 {
		list = append(list, keyplacement.Server{ID: id(i), Capacity: []float64{2.4, 4, 5.6}[i%3]})
		capacities[id(i)] = list[i].Capacity
	}
	prefixSums := sums(func(k int) float64 {
		if k == 30000 || k == 30007 {
			return 12
		}
		return 48.0 / keymap.KeyCount
	})
	ranges, _ := applyPlans(evenRanges(24), list, prefixSums, 2)
	keys, owners := make(map[topology.ServerID]int), make(map[topology.ServerID]bool)
	for _, r := range ranges {
		keys[r.Server] += r.To - r.From + 1
		for _, key := range []int{30000, 30007} {
			if r.From <= key && key <= r.To {
				owners[r.Server] = true
			}
		}
	}
	g.Expect(owners).To(HaveLen(2))
	for owner := range owners {
		g.Expect(capacities[owner]).To(Equal(5.6))
		g.Expect(keys[owner]).To(Equal(1))
	}
}

// Guards against a new server that gets no keys while the load is low.
func TestNewServerGetsKeys(t *testing.T) {
	g := NewWithT(t)
	list := servers(2, 2, 2)
	ranges := evenRanges(2)
	plan := keyplacement.Plan(ranges, list, sums(func(int) float64 { return 0.1 / keymap.KeyCount }), settings)
	g.Expect(plan).NotTo(BeEmpty())
	g.Expect(plan[0].Server).To(Equal(id(2)))
}

// Guards against moves that leave keys of a draining server unassigned, assign a key
// twice or lie outside the server's range.
func TestKeysOfDrainingServerAreAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "servers")
		list := servers(make([]float64, n)...)
		for i := range list {
			list[i].Capacity = rapid.Float64Range(0.3, 4).Draw(t, "capacity")
		}
		ranges := evenRanges(n + 1)
		affected := rapid.IntRange(0, n).Draw(t, "affected")
		ranges[affected].NeedsServer = true
		ranges[affected].Server = "gone"
		hotKey := rapid.IntRange(0, keymap.KeyCount-1).Draw(t, "hot key")
		prefixSums := sums(func(k int) float64 {
			if k == hotKey {
				return 5
			}
			return 3.0 / keymap.KeyCount
		})
		next := ranges[affected].From
		for _, m := range keyplacement.Plan(ranges, list, prefixSums, settings) {
			if m.From > ranges[affected].To || m.To < ranges[affected].From {
				continue
			}
			if m.From != next || m.To < m.From || m.To > ranges[affected].To {
				t.Fatalf("move %+v, want one that starts at key %d", m, next)
			}
			next = m.To + 1
		}
		if next != ranges[affected].To+1 {
			t.Fatalf("keys %d to %d are not assigned to a server", next, ranges[affected].To)
		}
	})
}

// Guards against a meter that follows changes of load too slowly: load must show
// within its first second and decay within five seconds of its end.
func TestMeterFollowsChangingLoad(t *testing.T) {
	g := NewWithT(t)
	m := keyplacement.NewMeter()
	totalAt := func(now time.Duration) float64 { return m.PrefixSums(now)[keymap.KeyCount] }
	var now time.Duration
	for now = 0; now < time.Second; now += 10 * time.Millisecond {
		m.Add(7, 0.02, now) // two slots in use
	}
	g.Expect(totalAt(now)).To(BeNumerically("~", 2, 1.1))
	g.Expect(totalAt(now)).To(BeNumerically(">", 0.9))
	g.Expect(totalAt(now + 5*time.Second)).To(BeNumerically("<", 0.1))
	g.Expect(totalAt(now + 500*time.Second)).To(BeNumerically("<", 1e-9))
}

// Gives one eighth of the keys, adjacent ones, most of the load of 22 and of 154
// servers. Guards against a service with many servers that takes longer to follow a
// change of its load than one with few: the sets of busy keys change within seconds.
func TestPlansNeededDoNotGrowWithServers(t *testing.T) {
	for _, n := range []int{22, 154} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			capacities := make([]float64, n)
			for i := range capacities {
				capacities[i] = 2
			}
			list := servers(capacities...)
			load := 1.2 * float64(n) // 0.6 of the slots
			prefixSums := sums(func(k int) float64 {
				if k < keymap.KeyCount/8 {
					return 0.6 * load / (keymap.KeyCount / 8)
				}
				return 0.4 * load / (keymap.KeyCount * 7 / 8)
			})
			ranges, _ := applyPlans(evenRanges(n), list, prefixSums, 16) // 4 s at four plans a second
			g.Expect(maxUtilisation(ranges, list, prefixSums)).To(BeNumerically("<", 1))
		})
	}
}

// Guards against keys that move back and forth between servers that are all saturated,
// as when each server of a service limits its requests: no move lets it serve more.
func TestNoMovesBetweenSaturatedServers(t *testing.T) {
	g := NewWithT(t)
	skewed := sums(func(key int) float64 { return (4 + 8*float64(key)/keymap.KeyCount) / keymap.KeyCount })
	limited := servers(0.2, 0.2, 0.2, 0.2, 0.2, 0.2)
	_, moves := applyPlans(evenRanges(6), limited, skewed, 40)
	g.Expect(moves).To(BeZero())

	ranges, moves := applyPlans(evenRanges(6), append(limited, keyplacement.Server{ID: id(6), Capacity: 2}), skewed, 40)
	g.Expect(moves).To(BeNumerically(">", 0), "a server with room gets keys")
	owned := 0
	for _, r := range ranges {
		if r.Server == id(6) {
			owned += r.To - r.From + 1
		}
	}
	g.Expect(owned).To(BeNumerically(">", 0))
}

// Replaces the set of busy keys once a second, for a minute. Guards against ranges
// whose number grows with time: each one is renewed by the leader several times a
// second, on a host that may have a sixth of a core.
func TestRangesDoNotGrowWithTime(t *testing.T) {
	for _, n := range []int{22, 154} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := NewWithT(t)
			capacities := make([]float64, n)
			for i := range capacities {
				capacities[i] = 2
			}
			list, ranges := servers(capacities...), evenRanges(n)
			load := 1.2 * float64(n) // 0.6 of the slots
			most := 0
			for second := range 60 {
				first := second * 7919 % (keymap.KeyCount - 1000)
				prefixSums := sums(func(k int) float64 {
					if k >= first && k < first+1000 {
						return 0.5 * load / 1000
					}
					return 0.5 * load / (keymap.KeyCount - 1000)
				})
				ranges, _ = applyPlans(ranges, list, prefixSums, 4)
				most = max(most, len(ranges))
			}
			g.Expect(most).To(BeNumerically("<", 2*settings.MaxRangesPerServer*float64(n)))
		})
	}
}
