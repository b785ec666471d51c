package grant

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/lead"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	ms         = time.Millisecond
	shardCount = 8
)

// machine is a host or a server: it can die, pause and be cut off.
type machine struct {
	name   string
	dead   bool
	paused time.Duration // until
	inbox  []func()
	inc    topology.Incarnation
}

type simHost struct {
	machine
	node      *lead.Node
	lease     *logLease // replaces node in the runs with the log lease
	grants    *Leader
	epoch     topology.Fence
	offset    time.Duration
	seen      int
	noLog     bool
	pauseNext time.Duration // pause between the decision to send and the send
	nextFlush time.Duration
}

type simServer struct {
	machine
	srv   *serverfake.Server
	clock *clock.Manual
}

// sim is one partition with its cell, servers, log and network in virtual
// time, in steps of 1 ms.
type sim struct {
	now     time.Duration
	rng     *rand.Rand
	hosts   []*simHost
	servers []*simServer
	leaving map[topology.ServerID]bool
	queue   map[time.Duration][]func()
	cut     map[[2]string]bool

	logDown, loseReplies, expire bool
	logSlow                      time.Duration
	lists                        []lead.List
	assigned                     map[topology.ShardRef]Change // fold of the assignment stream
	leaseLog                     leaseRecord

	simple      bool // leadership by a lease in the log
	noFences    bool
	unsafe      unsafeSwitches
	refs        []topology.ShardRef
	violation   string
	downSince   map[topology.ShardRef]time.Duration
	maxGap      time.Duration
	lastServer  map[topology.ShardRef]topology.ServerID
	lastSend    map[topology.ShardRef]time.Duration
	minHandOver time.Duration // shortest time between requests to two owners
	messages    int           // lease requests
}

func newSim(seed uint64, simple, noFences bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 2)), queue: make(map[time.Duration][]func()), cut: make(map[[2]string]bool),
		leaving: make(map[topology.ServerID]bool), assigned: make(map[topology.ShardRef]Change),
		downSince: make(map[topology.ShardRef]time.Duration), lastServer: make(map[topology.ShardRef]topology.ServerID),
		lastSend: make(map[topology.ShardRef]time.Duration), simple: simple, noFences: noFences, minHandOver: time.Hour,
	}
	var members []topology.Member
	for i := range 5 {
		h := &simHost{machine: machine{name: fmt.Sprintf("h%d", i)}, offset: time.Duration(i) * time.Minute}
		s.hosts = append(s.hosts, h)
		s.startHost(h)
		members = append(members, s.member(h))
	}
	s.lists = []lead.List{{Version: 1, Members: members}}
	for i := range 4 {
		v := &simServer{machine: machine{name: fmt.Sprintf("s%d", i)}, clock: &clock.Manual{}}
		s.servers = append(s.servers, v)
		s.startServer(v)
	}
	for i := range shardCount {
		s.refs = append(s.refs, topology.ShardRef{Service: "booking", Shard: topology.ShardID(i)})
	}
	return s
}

func (s *sim) member(h *simHost) topology.Member {
	return topology.Member{Host: topology.HostID(h.name), Incarnation: h.inc}
}

func (s *sim) startHost(h *simHost) {
	h.inc++
	h.node = lead.NewNode(lead.Config{Self: s.member(h), Cell: "c", Partitions: 1, Params: lead.DefaultParams()})
	h.lease = &logLease{}
	h.grants, h.seen, h.dead, h.inbox, h.paused = nil, 0, false, nil, 0
}

func (s *sim) startServer(v *simServer) {
	v.inc++
	v.dead, v.inbox, v.paused = false, nil, 0
	v.srv = serverfake.New(serverfake.Options{
		ID: topology.ServerID(v.name), Incarnation: v.inc, ChecksFences: !s.noFences, Clock: v.clock,
	})
}

// local returns the clock of a host: hosts differ by offset and by 0.05% rate.
func (s *sim) local(h *simHost) time.Duration {
	rate := []time.Duration{0, 1, -1}[int(h.offset/time.Minute)%3]
	return h.offset + s.now + rate*s.now/2000
}

func (s *sim) after(d time.Duration, f func()) { s.queue[s.now+d] = append(s.queue[s.now+d], f) }

// deliver runs f at a machine after 1 ms. A paused sender sends, and a paused
// receiver processes, when it resumes. Messages to an earlier incarnation or
// over a cut link are lost.
func (s *sim) deliver(from, to *machine, f func()) {
	if s.now < from.paused {
		inc := from.inc
		s.after(from.paused-s.now, func() {
			if from.inc == inc && !from.dead {
				s.deliver(from, to, f)
			}
		})
		return
	}
	inc := to.inc
	s.after(ms, func() {
		run := func() {
			if !to.dead && to.inc == inc {
				f()
			}
		}
		switch {
		case s.isCut(from, to):
		case s.now < to.paused:
			to.inbox = append(to.inbox, run)
		default:
			run()
		}
	})
}

func (s *sim) isCut(a, b *machine) bool {
	return len(s.cut) > 0 && (s.cut[[2]string{a.name, b.name}] || s.cut[[2]string{b.name, a.name}])
}

func (s *sim) hostNamed(id topology.HostID) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == string(id) })]
}

func (s *sim) serverNamed(id topology.ServerID) *simServer {
	return s.servers[slices.IndexFunc(s.servers, func(v *simServer) bool { return v.name == string(id) })]
}

func (s *sim) logOK(h *simHost) bool { return !s.logDown && !h.noLog }

func (s *sim) sendLead(h *simHost, a lead.Actions) {
	sent := s.local(h)
	for _, m := range a.Support {
		to := s.hostNamed(m.To.Host)
		s.deliver(&h.machine, &to.machine, func() {
			r := to.node.HandleSupport(m.Request, s.local(to))
			s.deliver(&to.machine, &h.machine, func() {
				h.node.HandleSupportReply(r, sent, s.local(h))
				s.stepGrants(h)
			})
		})
	}
	for _, m := range a.Pledge {
		to := s.hostNamed(m.To.Host)
		s.deliver(&h.machine, &to.machine, func() {
			r := to.node.HandlePledge(m.Request, s.local(to))
			s.deliver(&to.machine, &h.machine, func() { s.sendLead(h, h.node.HandlePledgeReply(r, s.local(h))) })
		})
	}
	if a.Propose != nil && s.logOK(h) {
		s.after(2*ms+s.logSlow, func() { s.foldList(*a.Propose) })
	}
	if a.ProbeLog && s.logOK(h) && !s.loseReplies {
		s.after(4*ms+s.logSlow, func() { h.node.AppendConfirmed(sent) })
	}
}

func (s *sim) foldList(p lead.Proposal) {
	last := s.lists[len(s.lists)-1]
	normal := slices.ContainsFunc(p.Pledges, func(x lead.Pledge) bool { return x.Mode == lead.ModeNormal })
	if p.Base == last.Offset && p.Version == last.Version+1 && (normal || len(p.Pledges) >= last.Blocking()) {
		s.lists = append(s.lists, lead.List{Version: p.Version, Members: p.Members, Offset: last.Offset + 1})
		for _, h := range s.hosts {
			s.read(h)
		}
	}
}

func (s *sim) read(h *simHost) {
	if !s.logOK(h) {
		return
	}
	sent, inc := s.local(h), h.inc
	s.after(ms+s.logSlow/2, func() {
		lists, lease := slices.Clone(s.lists), s.leaseLog
		s.after(ms+s.logSlow/2, func() {
			if h.dead || h.inc != inc || s.now < h.paused {
				return
			}
			if s.expire {
				h.seen = max(h.seen, len(lists)-1) // earlier records have expired
			}
			for ; h.seen < len(lists); h.seen++ {
				h.node.ApplyList(lists[h.seen], s.local(h))
			}
			h.node.LogRead(sent, s.local(h))
			h.lease.read(h.name, lease, s.local(h))
		})
	})
}

// leads returns the leadership of a host, from the cell or from the log lease.
func (s *sim) leads(h *simHost) (topology.Fence, time.Duration, bool) {
	if s.simple {
		return h.lease.leads(s.local(h))
	}
	return h.node.Leads(0, s.local(h))
}

// stepGrants starts, continues and drives the grants of a leading host.
func (s *sim) stepGrants(h *simHost) {
	now := s.local(h)
	epoch, until, ok := s.leads(h)
	switch {
	case !ok:
		h.grants = nil
		return
	case h.grants != nil && epoch == h.epoch:
		h.grants.SetSupport(until, now)
	case h.grants != nil && h.grants.Continue(epoch, until, now):
	default:
		preferred := make(map[topology.ShardRef]topology.ServerID)
		for ref, c := range s.assigned {
			preferred[ref] = c.Server
		}
		h.grants = newLeader(Config{
			Partition: "booking.a.0", Shards: s.refs, Epoch: epoch, Preferred: preferred,
			ChecksFences: !s.noFences, MaxExchange: time.Second,
		}, until, now, s.unsafe)
	}
	h.epoch = epoch
	var list []Server
	for _, v := range s.servers {
		id := topology.ServerID(v.name)
		list = append(list, Server{ID: id, Leaving: s.leaving[id]})
	}
	h.grants.SetServers(list)
	if h.grants.CutOff(now) && !s.simple {
		h.node.Release(0, now)
		h.grants = nil
		return
	}
	s.sendLeases(h, h.grants.Tick(now))
	s.flush(h, now)
}

func (s *sim) sendLeases(h *simHost, out []Outgoing) {
	if len(out) > 0 && h.pauseNext > 0 {
		h.paused, h.pauseNext = s.now+h.pauseNext, 0
	}
	leader := h.grants
	s.messages += len(out)
	for _, o := range out {
		v := s.serverNamed(o.Server)
		s.deliver(&h.machine, &v.machine, func() {
			r, _ := v.srv.UpdateLease(context.Background(), o.Request)
			s.deliver(&v.machine, &h.machine, func() {
				if h.grants == leader {
					s.sendLeases(h, leader.HandleReply(o.Server, o.ID, r, s.local(h)))
				}
			})
		})
	}
}

// flush appends the changed assignments every 500 ms and reports them as in
// place after they were read back.
func (s *sim) flush(h *simHost, now time.Duration) {
	if now < h.nextFlush || !s.logOK(h) {
		return
	}
	h.nextFlush = now + 500*ms
	changes, leader, lost := h.grants.Changes(), h.grants, s.loseReplies
	s.after(2*ms+s.logSlow, func() {
		for _, c := range changes {
			if s.assigned[c.Ref].Fence.Compare(c.Fence) < 0 {
				s.assigned[c.Ref] = c
			}
		}
		if !lost && h.grants == leader {
			leader.Recorded(changes)
		}
	})
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += ms {
		for _, v := range s.servers {
			v.clock.Advance(ms)
			s.resume(&v.machine)
		}
		for i := 0; i < len(s.queue[s.now]); i++ {
			s.queue[s.now][i]()
		}
		delete(s.queue, s.now)
		for i, h := range s.hosts {
			if !s.resume(&h.machine) {
				continue
			}
			phase := s.now/ms + time.Duration(i)
			if phase%100 == 0 {
				s.read(h)
			}
			if phase%5 == 0 {
				s.tickHost(h)
			}
		}
		s.check()
	}
}

// resume delivers what arrived during a pause, and reports whether the machine
// runs.
func (s *sim) resume(m *machine) bool {
	if m.dead || s.now < m.paused {
		return false
	}
	inbox := m.inbox
	m.inbox = nil
	for _, f := range inbox {
		f()
	}
	return true
}

func (s *sim) tickHost(h *simHost) {
	if s.simple {
		h.lease.tick(s, h)
	} else {
		s.sendLead(h, h.node.Tick(s.local(h)))
	}
	s.stepGrants(h)
}

// check looks for two leaders, two owners and lost assignments, and measures
// the time without a usable owner.
func (s *sim) check() {
	var leader *simHost
	for _, h := range s.hosts {
		if _, _, ok := s.leads(h); ok && !h.dead {
			if leader != nil {
				s.violate("%v: %s and %s lead", s.now, leader.name, h.name)
			}
			leader = h
		}
	}
	if s.now/ms%2 != 0 {
		return
	}
	if s.now/ms%10 == 0 {
		s.checkOwners()
	}
	for _, ref := range s.refs {
		if leader != nil && s.served(leader, ref) {
			delete(s.downSince, ref)
			continue
		}
		if _, down := s.downSince[ref]; !down {
			s.downSince[ref] = s.now
		}
		s.maxGap = max(s.maxGap, s.now-s.downSince[ref])
	}
}

func (s *sim) checkOwners() {
	owners := make(map[topology.ShardRef]string)
	for _, v := range s.servers {
		if v.dead || s.noFences {
			continue
		}
		r, _ := v.srv.Lease(context.Background())
		for _, held := range r.Held {
			if o, ok := owners[held.Ref]; ok {
				s.violate("%v: %s and %s hold %v", s.now, o, v.name, held.Ref)
			}
			owners[held.Ref] = v.name
		}
	}
	for _, h := range s.hosts {
		if h.grants == nil || h.dead {
			continue
		}
		for _, st := range h.grants.Shards() {
			if st.InPlace && s.assigned[st.Ref].Fence.Compare(st.Fence) < 0 {
				s.violate("%v: %v is reported as in place but not recorded", s.now, st.Ref)
			}
		}
	}
}

// served reports whether a request that reaches the leader now is run.
func (s *sim) served(h *simHost, ref topology.ShardRef) bool {
	if h.grants == nil || s.now < h.paused {
		return false
	}
	id, fence, _, ok := h.grants.Owner(ref, s.local(h))
	if !ok {
		return false
	}
	if last := s.lastServer[ref]; last != "" && last != id {
		s.minHandOver = min(s.minHandOver, s.now-s.lastSend[ref])
	}
	s.lastServer[ref], s.lastSend[ref] = id, s.now
	v := s.serverNamed(id)
	if v.dead || s.now < v.paused || s.isCut(&h.machine, &v.machine) {
		return false
	}
	return v.srv.Commit(ref, "", fence) == nil
}

func (s *sim) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// isolate cuts a host off from all machines whose name begins with prefix.
func (s *sim) isolate(name, prefix string) {
	for _, h := range s.hosts {
		s.cut[[2]string{name, h.name}] = s.cut[[2]string{name, h.name}] || strings.HasPrefix(h.name, prefix)
	}
	for _, v := range s.servers {
		s.cut[[2]string{name, v.name}] = s.cut[[2]string{name, v.name}] || strings.HasPrefix(v.name, prefix)
	}
}

func (s *sim) leader() *simHost {
	for _, h := range s.hosts {
		if _, _, ok := s.leads(h); ok && !h.dead && s.now >= h.paused {
			return h
		}
	}
	return nil
}
