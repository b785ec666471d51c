package lead

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const ms = time.Millisecond

// simHost is one host with its own clock.
type simHost struct {
	id     topology.HostID
	node   *Node
	rate   float64       // clock rate error
	offset time.Duration // clock origin
	seen   int           // lists applied
	dead   bool
	paused time.Duration // until
	noLog  bool
	inbox  []func() // messages that arrived during a pause
}

// sim is a cell with a log and a network in virtual time, in steps of 1 ms.
type sim struct {
	t       testing.TB
	now     time.Duration
	rng     *rand.Rand
	hosts   []*simHost
	queue   map[time.Duration][]func()
	lists   []List // accepted lists
	cut     map[[2]topology.HostID]bool
	logDown bool
	logSlow time.Duration
	drop    float64 // share of lost messages
	jitter  int     // additional delay of a message in ms, at most

	params    Params
	unsafe    unsafeSwitches
	owners    map[string]topology.HostID // host of each epoch
	newest    map[int]topology.Fence
	violation string
	gap       [2]time.Duration // current time without a leader per partition
	maxGap    time.Duration
}

func newSim(t testing.TB, seed uint64, hosts int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), queue: make(map[time.Duration][]func()),
		cut: make(map[[2]topology.HostID]bool), owners: make(map[string]topology.HostID),
		newest: make(map[int]topology.Fence), params: DefaultParams(),
	}
	var members []topology.Member
	for i := range hosts {
		h := &simHost{id: topology.HostID(fmt.Sprintf("h%d", i)), rate: []float64{0.0005, -0.0005, 0}[i%3], offset: time.Duration(i) * time.Hour}
		s.hosts = append(s.hosts, h)
		s.start(h, 1)
		members = append(members, h.node.self)
	}
	s.lists = []List{{Version: 1, Members: members, Offset: 0}}
	return s
}

func (s *sim) start(h *simHost, inc topology.Incarnation) {
	h.node = NewNode(Config{Self: topology.Member{Host: h.id, Incarnation: inc}, Cell: "c", Partitions: 2, Params: s.params})
	h.node.unsafe = s.unsafe
	h.seen, h.dead, h.inbox = 0, false, nil
}

func (h *simHost) clock(now time.Duration) time.Duration {
	return h.offset + now + time.Duration(float64(now)*h.rate)
}

func (s *sim) after(d time.Duration, f func()) { s.queue[s.now+d] = append(s.queue[s.now+d], f) }

// deliver runs f at h after the transit time, unless the link is cut or the
// host restarted meanwhile.
func (s *sim) deliver(from, to *simHost, f func()) {
	if s.rng.Float64() < s.drop {
		return
	}
	node := to.node
	s.after(time.Duration(1+s.rng.IntN(s.jitter+1))*ms, func() {
		run := func() {
			if !to.dead && to.node == node {
				f()
			}
		}
		switch {
		case s.cut[[2]topology.HostID{from.id, to.id}] || s.cut[[2]topology.HostID{to.id, from.id}]:
		case s.now < to.paused:
			to.inbox = append(to.inbox, run)
		default:
			run()
		}
	})
}

func (s *sim) host(id topology.HostID) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.id == id })
	return s.hosts[i]
}

func (s *sim) send(h *simHost, a Actions) {
	sent := h.clock(s.now)
	for _, m := range a.Support {
		to := s.host(m.To.Host)
		s.deliver(h, to, func() {
			r := to.node.HandleSupport(m.Request, to.clock(s.now))
			s.deliver(to, h, func() { h.node.HandleSupportReply(r, sent, h.clock(s.now)) })
		})
	}
	for _, m := range a.Pledge {
		to := s.host(m.To.Host)
		s.deliver(h, to, func() {
			r := to.node.HandlePledge(m.Request, to.clock(s.now))
			s.deliver(to, h, func() { s.send(h, h.node.HandlePledgeReply(r, h.clock(s.now))) })
		})
	}
	if s.logDown || h.noLog {
		return
	}
	if a.Propose != nil {
		s.after(2*ms+s.logSlow, func() { s.fold(*a.Propose) })
	}
	if a.ProbeLog {
		s.after(4*ms+s.logSlow, func() { h.node.AppendConfirmed(sent) })
	}
}

// fold applies the rules of the members stream.
func (s *sim) fold(p Proposal) {
	last := s.lists[len(s.lists)-1]
	pledged := 0
	for _, x := range p.Pledges {
		if x.List != last.Version || last.index(x.Member) < 0 {
			return
		}
		if pledged++; x.Mode == ModeNormal {
			pledged += last.Blocking()
		}
	}
	if p.Base == last.Offset && p.Version == last.Version+1 && pledged >= last.Blocking() {
		s.lists = append(s.lists, List{Version: p.Version, Members: p.Members, Offset: last.Offset + 1})
		for _, h := range s.hosts {
			s.read(h) // the long poll returns
		}
	}
}

// read reads the log of one host. Hosts do so every 100 ms and, because they
// poll with a long wait, at once after an append.
func (s *sim) read(h *simHost) {
	if s.logDown || h.noLog {
		return
	}
	sent, node := h.clock(s.now), h.node
	s.after(1*ms+s.logSlow/2, func() {
		count := len(s.lists)
		s.after(1*ms+s.logSlow/2, func() {
			if h.dead || h.node != node || s.now < h.paused {
				return
			}
			for ; h.seen < count; h.seen++ {
				h.node.ApplyList(s.lists[h.seen], h.clock(s.now))
			}
			h.node.LogRead(sent, h.clock(s.now))
		})
	})
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += ms {
		for i := 0; i < len(s.queue[s.now]); i++ {
			s.queue[s.now][i]()
		}
		delete(s.queue, s.now)
		for i, h := range s.hosts {
			if h.dead || s.now < h.paused {
				continue
			}
			for _, f := range h.inbox {
				f()
			}
			h.inbox = nil
			if (s.now/ms+time.Duration(i)*7)%100 == 0 {
				s.read(h)
			}
			if (s.now/ms+time.Duration(i))%5 == 0 {
				s.send(h, h.node.Tick(h.clock(s.now)))
			}
		}
		s.check()
	}
}

// check records two leaders of a partition, and an epoch that is used twice or
// is not newer than the one before.
func (s *sim) check() {
	for p := range 2 {
		var leader *simHost
		for _, h := range s.hosts {
			epoch, _, ok := h.node.Leads(p, h.clock(s.now))
			if h.dead || !ok {
				continue
			}
			if leader != nil {
				s.violate("%v: %s and %s lead partition %d", s.now, leader.id, h.id, p)
			}
			leader = h
			s.checkEpoch(p, h, epoch)
		}
		if leader != nil && s.now >= leader.paused {
			s.gap[p] = 0
			continue
		}
		s.gap[p] += ms
		s.maxGap = max(s.maxGap, s.gap[p])
	}
}

func (s *sim) checkEpoch(p int, h *simHost, epoch topology.Fence) {
	key := fmt.Sprint(p, epoch)
	if owner, ok := s.owners[key]; ok && owner != h.id {
		s.violate("%v: epoch %v of partition %d names %s and %s", s.now, epoch, p, owner, h.id)
	}
	s.owners[key] = h.id
	if epoch.Compare(s.newest[p]) < 0 {
		s.violate("%v: epoch %v of partition %d after %v", s.now, epoch, p, s.newest[p])
	}
	s.newest[p] = epoch
}

func (s *sim) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// leader returns the host that leads partition 0, or nil.
func (s *sim) leader() *simHost {
	for _, h := range s.hosts {
		if _, _, ok := h.node.Leads(0, h.clock(s.now)); ok && !h.dead {
			return h
		}
	}
	return nil
}

// settle runs until both partitions have leaders and starts to measure.
func (s *sim) settle() *simHost {
	s.run(5 * time.Second)
	s.maxGap = 0
	return s.leader()
}

// isolate cuts a host off from all other hosts.
func (s *sim) isolate(h *simHost) {
	for _, o := range s.hosts {
		s.cut[[2]topology.HostID{h.id, o.id}] = true
	}
}
