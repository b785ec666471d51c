package placement

import "github.com/lycheerudder/lycheerudder/internal/topology"

// Apply returns the assignments after all changes of a plan. OwnedFor of moved
// and of newly split-off units is zero. A split subtracts the load of the key
// from its shard, a join adds it again. Apply does not modify its input.
func Apply(in []Assignment, p Plan) []Assignment {
	out := make([]Assignment, 0, len(in)+len(p.Splits))
	joined := make(map[topology.ShardRef]bool, len(p.Joins))
	for _, j := range p.Joins {
		joined[j.Key] = true
	}
	joinedLoad := make(map[topology.ShardRef]float64)
	for _, a := range in {
		if joined[a.Ref] {
			joinedLoad[shardOf(a.Ref)] += a.Load
			continue
		}
		out = append(out, a)
	}
	index := make(map[topology.ShardRef]int, len(out))
	for i, a := range out {
		index[a.Ref] = i
		out[i].Load += joinedLoad[a.Ref]
	}
	for _, m := range p.Moves {
		i := index[m.Ref]
		out[i].Server, out[i].OwnedFor = m.To, 0
	}
	for _, s := range p.Splits {
		out[index[shardOf(s.Key)]].Load -= s.Load
		out = append(out, Assignment{Ref: s.Key, Server: s.To, Load: s.Load})
	}
	return out
}

// shardOf returns the shard of a key.
func shardOf(ref topology.ShardRef) topology.ShardRef {
	ref.Key = ""
	return ref
}
