package placement

import "github.com/lycheerudder/lycheerudder/internal/topology"

// Apply returns the assignments after a plan was carried out. Changed units
// have been held for no time; splits and joins carry the load of their key
// along. The input is not changed.
func Apply(in []Assignment, p Plan) []Assignment {
	out := make([]Assignment, 0, len(in)+len(p.Splits))
	joined := make(map[topology.ShardRef]bool, len(p.Joins))
	for _, j := range p.Joins {
		joined[j.Key] = true
	}
	returned := make(map[topology.ShardRef]float64)
	for _, a := range in {
		if joined[a.Ref] {
			returned[shardOf(a.Ref)] += a.Load
			continue
		}
		out = append(out, a)
	}
	index := make(map[topology.ShardRef]int, len(out))
	for i, a := range out {
		index[a.Ref] = i
		out[i].Load += returned[a.Ref]
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

func shardOf(ref topology.ShardRef) topology.ShardRef {
	ref.Key = ""
	return ref
}
