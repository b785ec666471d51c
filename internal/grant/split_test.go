package grant

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// splitRig is one leader with two servers. Every third reply is lost.
type splitRig struct {
	g       *WithT
	now     time.Duration
	leader  *Manager
	clocks  map[topology.ServerID]*clock.Manual
	servers map[topology.ServerID]*serverfake.Server
	calls   int
	dead    topology.ServerID
	unsafe  unsafeSwitches
	// owners is the largest number of servers that owned the key at once.
	owners int
}

var (
	hotShard = topology.ShardRef{Service: "booking", Shard: 0}
	hotKey   = topology.ShardRef{Service: "booking", Shard: 0, Key: "beach"}
)

func newSplitRig(t *testing.T, off unsafeSwitches) *splitRig {
	r := &splitRig{g: NewWithT(t), unsafe: off, clocks: make(map[topology.ServerID]*clock.Manual), servers: make(map[topology.ServerID]*serverfake.Server)}
	for _, id := range []topology.ServerID{"s0", "s1"} {
		r.clocks[id] = &clock.Manual{}
		r.servers[id] = serverfake.New(serverfake.Options{ID: id, Incarnation: 1, ChecksFences: true, Clock: r.clocks[id]})
	}
	r.lead(1, nil)
	r.run(2 * time.Second)
	return r
}

func (r *splitRig) lead(term uint32, preferred map[topology.ShardRef]topology.ServerID) {
	r.leader = newManager(Config{
		Partition: "p", Epoch: topology.Fence{List: 1, Term: term}, ChecksFences: true, Preferred: preferred,
		Shards: []topology.ShardRef{hotShard, {Service: "booking", Shard: 1}},
		// The earlier leader was supported for that long when it released.
		EarlierLeadersUntil: r.now + 800*time.Millisecond,
	}, r.now+800*time.Millisecond, r.now, r.unsafe)
	r.leader.SetServers([]Server{{ID: "s0"}, {ID: "s1"}})
}

func (r *splitRig) run(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += 5 * time.Millisecond {
		r.leader.SetSupport(r.now+800*time.Millisecond, r.now)
		r.send(r.leader.Tick(r.now))
		for _, c := range r.clocks {
			c.Advance(5 * time.Millisecond)
		}
	}
}

func (r *splitRig) send(out []Outgoing) {
	for len(out) > 0 {
		o := out[0]
		out = out[1:]
		if o.Server == r.dead {
			r.leader.HandleFailure(o.Server, o.ID)
			continue
		}
		reply, err := r.servers[o.Server].UpdateLease(context.Background(), o.Request)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.check()
		if r.calls++; r.calls%3 == 0 {
			r.leader.HandleFailure(o.Server, o.ID)
			continue
		}
		out = append(out, r.leader.HandleReply(o.Server, o.ID, reply, r.now)...)
	}
}

// check counts the servers that accept requests for the key.
func (r *splitRig) check() {
	owners := 0
	for _, s := range r.servers {
		reply, _ := s.Lease(context.Background())
		for _, h := range reply.Held {
			if h.Ref == hotKey || h.Ref == hotShard && !slices.Contains(h.Except, hotKey.Key) {
				owners++
			}
		}
	}
	r.owners = max(r.owners, owners)
}

func (r *splitRig) owner(ref topology.ShardRef) topology.ServerID {
	id, _, _, ok := r.leader.Owner(ref, r.now)
	r.g.Expect(ok).To(BeTrue(), "%s has no owner: %+v", ref, r.leader.Shards())
	return id
}

// TestSplit guards against a key that two servers own while it is split off,
// moved, joined or taken over by another leader, against requests that are
// sent to the owner of the shard after the split, and against a key without an
// owner after the loss of its server.
func TestSplit(t *testing.T) {
	r := newSplitRig(t, unsafeSwitches{})
	shardOwner := r.owner(hotShard)
	other := map[topology.ServerID]topology.ServerID{"s0": "s1", "s1": "s0"}[shardOwner]
	r.g.Expect(r.leader.Unit(hotShard, "beach")).To(Equal(hotShard))

	r.g.Expect(r.leader.Split(hotKey, other, r.now)).To(Succeed())
	r.run(time.Second)
	r.g.Expect(r.leader.Unit(hotShard, "beach")).To(Equal(hotKey))
	r.g.Expect(r.leader.Unit(hotShard, "village")).To(Equal(hotShard))
	r.g.Expect(r.owner(hotKey)).To(Equal(other))
	r.g.Expect(r.owner(hotShard)).To(Equal(shardOwner))

	// The next leader learns of the split from the servers.
	r.lead(2, nil)
	r.run(time.Second)
	r.g.Expect(r.owner(hotKey)).To(Equal(other))
	r.g.Expect(r.owner(hotShard)).To(Equal(shardOwner))

	// The key is served again after the loss of its server, also if the
	// leader changes at the same time.
	r.dead = other
	r.lead(3, nil)
	r.run(3 * time.Second)
	r.g.Expect(r.owner(hotKey)).To(Equal(shardOwner))
	r.dead = ""
	r.run(500 * time.Millisecond)

	r.g.Expect(r.leader.Join(hotKey, r.now)).To(Succeed())
	r.run(time.Second)
	r.g.Expect(r.leader.Unit(hotShard, "beach")).To(Equal(hotShard))
	r.g.Expect(r.owner(hotShard)).To(Equal(shardOwner))
	r.g.Expect(r.leader.TakeJoinedKeys()).To(ConsistOf(hotKey))
	r.g.Expect(r.owners).To(Equal(1))
}

// TestSplitWait shows that the check of TestSplit finds a key that is granted
// before the owner of its shard has given it up.
func TestSplitWait(t *testing.T) {
	r := newSplitRig(t, unsafeSwitches{noSplitWait: true})
	other := map[topology.ServerID]topology.ServerID{"s0": "s1", "s1": "s0"}[r.owner(hotShard)]
	r.g.Expect(r.leader.Split(hotKey, other, r.now)).To(Succeed())
	r.run(time.Second)
	r.g.Expect(r.owners).To(Equal(2))
}
