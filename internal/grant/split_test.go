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

// splitFixture is one leadership with two servers. Every third reply is lost.
type splitFixture struct {
	g           *WithT
	now         time.Duration
	manager     *Manager
	clocks      map[topology.ServerID]*clock.Manual
	servers     map[topology.ServerID]*serverfake.Server
	replies     int
	unreachable topology.ServerID
	unsafe      unsafeSwitches
	// maxOwners is the largest number of servers that owned the key at once.
	maxOwners int
}

var (
	hotShard = topology.ShardRef{Service: "booking", Shard: 0}
	hotKey   = topology.ShardRef{Service: "booking", Shard: 0, Key: "beach"}
)

func newSplitFixture(t *testing.T, disabled unsafeSwitches) *splitFixture {
	f := &splitFixture{g: NewWithT(t), unsafe: disabled, clocks: make(map[topology.ServerID]*clock.Manual), servers: make(map[topology.ServerID]*serverfake.Server)}
	for _, id := range []topology.ServerID{"s0", "s1"} {
		f.clocks[id] = &clock.Manual{}
		f.servers[id] = serverfake.New(serverfake.Options{ID: id, Incarnation: 1, ChecksFences: true, Clock: f.clocks[id]})
	}
	f.startLeadership(1, nil)
	f.run(2 * time.Second)
	return f
}

func (f *splitFixture) startLeadership(term uint32, preferred map[topology.ShardRef]topology.ServerID) {
	f.manager = newManager(Config{
		Partition: "p", Epoch: topology.Fence{List: 1, Term: term}, ChecksFences: true, Preferred: preferred,
		Shards: []topology.ShardRef{hotShard, {Service: "booking", Shard: 1}},
		// The support of the earlier leader when it released the partition.
		EarlierLeadersUntil: f.now + 800*time.Millisecond,
	}, f.now+800*time.Millisecond, f.now, f.unsafe)
	f.manager.SetServers([]Server{{ID: "s0"}, {ID: "s1"}})
}

func (f *splitFixture) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 5 * time.Millisecond {
		f.manager.SetSupport(f.now+800*time.Millisecond, f.now)
		f.send(f.manager.Tick(f.now))
		for _, c := range f.clocks {
			c.Advance(5 * time.Millisecond)
		}
	}
}

func (f *splitFixture) send(out []Outgoing) {
	for len(out) > 0 {
		o := out[0]
		out = out[1:]
		if o.Server == f.unreachable {
			f.manager.HandleFailure(o.Server, o.ID)
			continue
		}
		reply, err := f.servers[o.Server].UpdateLease(context.Background(), o.Request)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.check()
		if f.replies++; f.replies%3 == 0 {
			f.manager.HandleFailure(o.Server, o.ID)
			continue
		}
		out = append(out, f.manager.HandleReply(o.Server, o.ID, reply, f.now)...)
	}
}

// check counts the servers that accept requests for the key.
func (f *splitFixture) check() {
	owners := 0
	for _, s := range f.servers {
		reply, _ := s.Lease(context.Background())
		for _, h := range reply.Held {
			if h.Ref == hotKey || h.Ref == hotShard && !slices.Contains(h.Except, hotKey.Key) {
				owners++
			}
		}
	}
	f.maxOwners = max(f.maxOwners, owners)
}

func (f *splitFixture) owner(ref topology.ShardRef) topology.ServerID {
	id, _, _, ok := f.manager.Owner(ref, f.now)
	f.g.Expect(ok).To(BeTrue(), "%s has no owner: %+v", ref, f.manager.Shards())
	return id
}

// TestSplit guards against a key that two servers own while it is split off,
// moved, joined or adopted by another leader, against requests that are sent to
// the owner of the shard after the split, and against a key without an owner
// after its server has failed.
func TestSplit(t *testing.T) {
	f := newSplitFixture(t, unsafeSwitches{})
	shardOwner := f.owner(hotShard)
	other := map[topology.ServerID]topology.ServerID{"s0": "s1", "s1": "s0"}[shardOwner]
	f.g.Expect(f.manager.Unit(hotShard, "beach")).To(Equal(hotShard))

	f.g.Expect(f.manager.Split(hotKey, other, f.now)).To(Succeed())
	f.run(time.Second)
	f.g.Expect(f.manager.Unit(hotShard, "beach")).To(Equal(hotKey))
	f.g.Expect(f.manager.Unit(hotShard, "village")).To(Equal(hotShard))
	f.g.Expect(f.owner(hotKey)).To(Equal(other))
	f.g.Expect(f.owner(hotShard)).To(Equal(shardOwner))

	// The next leader adopts the split from the grants of the servers.
	f.startLeadership(2, nil)
	f.run(time.Second)
	f.g.Expect(f.owner(hotKey)).To(Equal(other))
	f.g.Expect(f.owner(hotShard)).To(Equal(shardOwner))

	// The key is served again after its server has failed, even if the leader
	// changes at the same time.
	f.unreachable = other
	f.startLeadership(3, nil)
	f.run(3 * time.Second)
	f.g.Expect(f.owner(hotKey)).To(Equal(shardOwner))
	f.unreachable = ""
	f.run(500 * time.Millisecond)

	f.g.Expect(f.manager.Join(hotKey, f.now)).To(Succeed())
	f.run(time.Second)
	f.g.Expect(f.manager.Unit(hotShard, "beach")).To(Equal(hotShard))
	f.g.Expect(f.owner(hotShard)).To(Equal(shardOwner))
	f.g.Expect(f.manager.TakeJoinedKeys()).To(ConsistOf(hotKey))
	f.g.Expect(f.maxOwners).To(Equal(1))
}

// TestSplitWait guards against a check in TestSplit that does not detect two
// owners. With noSplitWait, the key is granted before the owner of its shard has
// given it up.
func TestSplitWait(t *testing.T) {
	f := newSplitFixture(t, unsafeSwitches{noSplitWait: true})
	other := map[topology.ServerID]topology.ServerID{"s0": "s1", "s1": "s0"}[f.owner(hotShard)]
	f.g.Expect(f.manager.Split(hotKey, other, f.now)).To(Succeed())
	f.run(time.Second)
	f.g.Expect(f.maxOwners).To(Equal(2))
}
