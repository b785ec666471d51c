package placement_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// checkSeeded checks the property with a fixed seed, so that runs are
// reproducible.
func checkSeeded(t *testing.T, prop func(*rapid.T)) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, prop)
}

func drawServers(t *rapid.T, states ...placement.State) []placement.Server {
	servers := make([]placement.Server, rapid.IntRange(1, 8).Draw(t, "servers"))
	for i := range servers {
		servers[i] = placement.Server{
			ID: topology.ServerID(fmt.Sprint("s", i)), Slots: 2,
			State:       rapid.SampledFrom(states).Draw(t, "state"),
			StateAge:    time.Duration(rapid.IntRange(0, 15000).Draw(t, "state age")) * time.Millisecond,
			NominalLoad: rapid.Float64Range(0, 2).Draw(t, "nominal load"),
			BusySlots:   rapid.Float64Range(0, 2).Draw(t, "busy slots"),
		}
		for _, b := range rapid.SliceOfN(rapid.Float64Range(0, 5), 0, 4).Draw(t, "reports") {
			servers[i].Reports = append(servers[i].Reports, placement.Report{BusySlots: b})
		}
	}
	return servers
}

func drawInput(t *rapid.T, states ...placement.State) placement.Input {
	in := placement.Input{
		Servers:       drawServers(t, states...),
		RecentChanges: rapid.IntRange(0, 20).Draw(t, "recent changes"),
		Seed:          rapid.Uint64().Draw(t, "seed"),
		Settings: rapid.SampledFrom([]placement.Settings{
			placement.KingstonSettings(), placement.HrJadranSettings(),
		}).Draw(t, "settings"),
	}
	owner := rapid.IntRange(-1, len(in.Servers)-1)
	for i := range rapid.IntRange(1, 64).Draw(t, "shards") {
		for _, ref := range []topology.ShardRef{shard(i), key(i)} {
			if ref.Key != "" && !rapid.Bool().Draw(t, "split") {
				continue
			}
			a := placement.Assignment{
				Ref: ref, Load: rapid.Float64Range(0, 0.5).Draw(t, "load") * rapid.SampledFrom([]float64{1, 1, 1, 20}).Draw(t, "factor"),
				OwnedFor: time.Duration(rapid.IntRange(0, 60).Draw(t, "owned for")) * time.Second,
			}
			if o := owner.Draw(t, "owner"); o >= 0 {
				a.Server = in.Servers[o].ID
			}
			in.Assignments = append(in.Assignments, a)
		}
		if rapid.Bool().Draw(t, "hot") {
			hot := placement.HotKey{Ref: key(i), Load: rapid.Float64Range(0, 10).Draw(t, "hot load")}
			hot.Error = rapid.Float64Range(0, hot.Load).Draw(t, "hot error")
			in.HotKeys = append(in.HotKeys, hot)
		}
	}
	return in
}

// changes returns the shards and keys that a plan changes, and their new owners.
func changes(p placement.Plan) (refs []topology.ShardRef, to []topology.ServerID) {
	for _, m := range p.Moves {
		refs, to = append(refs, m.Ref), append(to, m.To)
	}
	for _, s := range p.Splits {
		refs, to = append(refs, s.Key), append(to, s.To)
	}
	for _, j := range p.Joins {
		refs, to = append(refs, j.Key), append(to, j.To)
	}
	return refs, to
}

// checkOwners fails the test if a change names another server than the present
// owner. This happens if a plan changes a shard that it already moves.
func checkOwners(t *rapid.T, in placement.Input, p placement.Plan) {
	owner := make(map[topology.ShardRef]topology.ServerID)
	for _, a := range in.Assignments {
		owner[a.Ref] = a.Server
	}
	for _, m := range p.Moves {
		if m.From != owner[m.Ref] {
			t.Fatalf("move %v does not start at owner %s", m, owner[m.Ref])
		}
	}
	for _, s := range p.Splits {
		if o := owner[shard(int(s.Key.Shard))]; s.From != o {
			t.Fatalf("split %v does not start at owner %s", s, o)
		}
	}
	for _, j := range p.Joins {
		if o := owner[shard(int(j.Key.Shard))]; j.From != owner[j.Key] || j.To != o {
			t.Fatalf("join %v does not go from owner %s to owner %s", j, owner[j.Key], o)
		}
	}
}

// Guards against invalid plans for arbitrary inputs: targets that may not own
// shards, more changes than the limit, shards with two owners, shards without an
// owner, and different plans for equal inputs.
func TestDecideReturnsValidPlans(t *testing.T) {
	checkSeeded(t, func(t *rapid.T) {
		in := drawInput(t, placement.Live, placement.Live, placement.Draining, placement.Lost)
		p := placement.Decide(in)
		if again := placement.Decide(in); fmt.Sprint(again) != fmt.Sprint(p) {
			t.Fatalf("plans differ: %v and %v", p, again)
		}
		if n, limit := p.RebalancingChanges(), max(0, in.Settings.MaxChanges-in.RecentChanges); n > limit {
			t.Fatalf("%d rebalancing changes, limit %d", n, limit)
		}
		checkOwners(t, in, p)
		state := make(map[topology.ServerID]placement.State)
		live := 0
		for _, s := range in.Servers {
			state[s.ID] = s.State
			if s.State == placement.Live {
				live++
			}
		}
		refs, to := changes(p)
		seen := make(map[topology.ShardRef]bool)
		for i, ref := range refs {
			if seen[ref] || state[to[i]] != placement.Live {
				t.Fatalf("%s goes to server %s in state %d, changed twice: %t", ref, to[i], state[to[i]], seen[ref])
			}
			seen[ref] = true
		}
		placed := make(map[topology.ShardRef]bool)
		for _, a := range placement.Apply(in.Assignments, p) {
			if placed[a.Ref] {
				t.Fatalf("%s is placed twice", a.Ref)
			}
			placed[a.Ref] = true
			if s, ok := state[a.Server]; live > 0 && (!ok || s == placement.Lost) {
				t.Fatalf("%s has no live owner", a.Ref)
			}
		}
	})
}

// Guards against a plan that gives a server more load than its warm-up allows
// while there are warm servers.
func TestDecideKeepsWarmupLimit(t *testing.T) {
	checkSeeded(t, func(t *rapid.T) {
		in := drawInput(t, placement.Live)
		in.Servers[0].StateAge = warm
		before := loads(in.Assignments)
		after := loads(placement.Apply(in.Assignments, placement.Decide(in)))
		var load, totalCapacity float64
		capacity := make(map[topology.ServerID]float64)
		for _, s := range in.Servers {
			capacity[s.ID] = placement.Capacity(s, in.Settings) * placement.WarmupFraction(s.StateAge, in.Settings.Warmup)
			totalCapacity += capacity[s.ID]
		}
		for _, l := range before {
			load += l
		}
		for _, s := range in.Servers {
			limit := capacity[s.ID] * load / totalCapacity
			if s.StateAge < in.Settings.Warmup && after[s.ID] > limit+1e-9 && after[s.ID] > before[s.ID]+1e-9 {
				t.Fatalf("the load of started server %s went from %g to %g, its warm-up allows %g", s.ID, before[s.ID], after[s.ID], limit)
			}
		}
	})
}

// Guards against oscillation: under constant load the changes have to end.
func TestDecideConverges(t *testing.T) {
	const ticks, ticksWithoutChanges = 600, 120
	checkSeeded(t, func(t *rapid.T) {
		in := drawInput(t, placement.Live)
		var changedAt []int
		for tick := range ticks {
			for i := range in.Servers {
				in.Servers[i].StateAge += placement.Tick
			}
			for i := range in.Assignments {
				in.Assignments[i].OwnedFor += placement.Tick
			}
			p := placement.Decide(in)
			if refs, _ := changes(p); len(refs) > 0 {
				changedAt = append(changedAt, tick)
			}
			in.RecentChanges = p.RebalancingChanges()
			in.Assignments = placement.Apply(in.Assignments, p)
		}
		if n := len(changedAt); n > 0 && changedAt[n-1] >= ticks-ticksWithoutChanges {
			t.Fatalf("changes at ticks %v", changedAt)
		}
	})
}
