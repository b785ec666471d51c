package grant

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/simnet"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	ms         = time.Millisecond
	shardCount = 8
)

type simHost struct {
	*simnet.Machine
	node      *election.Node
	lease     *logLease // replaces node in the runs with the log lease
	grants    *Manager
	epoch     topology.Fence
	seen      int
	noLog     bool
	pauseNext time.Duration // pause between the decision to send and the send
	nextFlush time.Duration
}

type simServer struct {
	*simnet.Machine
	srv *serverfake.Server
}

// sim is one partition with its cell, servers and log.
type sim struct {
	*simnet.Net
	hosts   []*simHost
	servers []*simServer
	leaving map[topology.ServerID]bool

	logDown, loseReplies, expire bool
	logSlow                      time.Duration
	lists                        []election.MemberList
	assigned                     map[topology.ShardRef]Assignment // fold of the assignment stream
	leaseLog                     leaseRecord

	simple      bool // leadership by a lease in the log
	noFences    bool
	unsafe      unsafeSwitches
	refs        []topology.ShardRef
	downSince   map[topology.ShardRef]time.Duration
	maxGap      time.Duration
	lastServer  map[topology.ShardRef]topology.ServerID
	lastSend    map[topology.ShardRef]time.Duration
	minHandOver time.Duration // shortest time between requests to two owners
	messages    int           // lease requests
}

func newSim(seed uint64, simple, noFences bool) *sim {
	s := &sim{
		Net: simnet.New(seed), leaving: make(map[topology.ServerID]bool), assigned: make(map[topology.ShardRef]Assignment),
		downSince: make(map[topology.ShardRef]time.Duration), lastServer: make(map[topology.ShardRef]topology.ServerID),
		lastSend: make(map[topology.ShardRef]time.Duration), simple: simple, noFences: noFences, minHandOver: time.Hour,
	}
	var members []topology.Member
	for i := range 5 {
		h := &simHost{Machine: s.Add(fmt.Sprintf("h%d", i))}
		s.hosts = append(s.hosts, h)
		s.startHost(h)
		members = append(members, s.member(h))
	}
	s.lists = []election.MemberList{{Version: 1, Members: members}}
	for i := range 4 {
		v := &simServer{Machine: s.Add(fmt.Sprintf("s%d", i))}
		s.servers = append(s.servers, v)
		s.startServer(v)
	}
	for i := range shardCount {
		s.refs = append(s.refs, topology.ShardRef{Service: "booking", Shard: topology.ShardID(i)})
	}
	return s
}

func (s *sim) member(h *simHost) topology.Member {
	return topology.Member{Host: topology.HostID(h.Name), Incarnation: topology.Incarnation(h.Starts)}
}

func (s *sim) startHost(h *simHost) {
	h.node = election.NewNode(election.Config{Self: s.member(h), Cell: "c", Partitions: 1, Params: election.DefaultParams()})
	h.lease = &logLease{}
	h.grants, h.seen = nil, 0
}

func (s *sim) startServer(v *simServer) {
	v.srv = serverfake.New(serverfake.Options{
		ID: topology.ServerID(v.Name), Incarnation: topology.Incarnation(v.Starts), ChecksFences: !s.noFences, Clock: s.Clock(v.Machine),
	})
}

func (s *sim) restartServer(v *simServer) {
	s.Restart(v.Machine)
	s.startServer(v)
}

func (s *sim) hostNamed(id topology.HostID) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.Name == string(id) })]
}

func (s *sim) serverNamed(id topology.ServerID) *simServer {
	return s.servers[slices.IndexFunc(s.servers, func(v *simServer) bool { return v.Name == string(id) })]
}

func (s *sim) logOK(h *simHost) bool { return !s.logDown && !h.noLog }

func (s *sim) sendLead(h *simHost, a election.Actions) {
	sent := s.Local(h.Machine)
	for _, m := range a.Support {
		to := s.hostNamed(m.To.Host)
		s.Deliver(h.Machine, to.Machine, func() {
			r := to.node.HandleSupport(m.Request, s.Local(to.Machine))
			s.Deliver(to.Machine, h.Machine, func() {
				h.node.HandleSupportReply(r, sent, s.Local(h.Machine))
				s.stepGrants(h)
			})
		})
	}
	for _, m := range a.Pledge {
		to := s.hostNamed(m.To.Host)
		s.Deliver(h.Machine, to.Machine, func() {
			r := to.node.HandlePledge(m.Request, s.Local(to.Machine))
			s.Deliver(to.Machine, h.Machine, func() { s.sendLead(h, h.node.HandlePledgeReply(r, s.Local(h.Machine))) })
		})
	}
	if a.Proposal != nil && s.logOK(h) {
		s.After(2*ms+s.logSlow, func() { s.foldList(*a.Proposal) })
	}
	if a.ProbeLog && s.logOK(h) && !s.loseReplies {
		s.After(4*ms+s.logSlow, func() { h.node.AppendConfirmed(sent) })
	}
}

func (s *sim) foldList(p election.Proposal) {
	last := s.lists[len(s.lists)-1]
	if next, ok := last.Next(p, last.Offset+1); ok {
		s.lists = append(s.lists, next)
		for _, h := range s.hosts {
			s.read(h)
		}
	}
}

func (s *sim) read(h *simHost) {
	if !s.logOK(h) {
		return
	}
	sent, starts := s.Local(h.Machine), h.Starts
	s.After(ms+s.logSlow/2, func() {
		lists, lease := slices.Clone(s.lists), s.leaseLog
		s.After(ms+s.logSlow/2, func() {
			if h.Dead || h.Starts != starts || s.Now < h.Paused {
				return
			}
			if s.expire {
				h.seen = max(h.seen, len(lists)-1) // earlier records have expired
			}
			for ; h.seen < len(lists); h.seen++ {
				h.node.ApplyList(lists[h.seen], s.Local(h.Machine))
			}
			h.node.LogRead(sent, s.Local(h.Machine))
			h.lease.read(h.Name, lease, s.Local(h.Machine))
		})
	})
}

// leads returns the leadership of a host, from the cell or from the log lease.
func (s *sim) leads(h *simHost) (topology.Fence, time.Duration, bool) {
	if s.simple {
		return h.lease.leads(s.Local(h.Machine))
	}
	return h.node.Leads(0, s.Local(h.Machine))
}

// stepGrants starts, continues and drives the grants of a leading host.
func (s *sim) stepGrants(h *simHost) {
	now := s.Local(h.Machine)
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
		h.grants = newManager(Config{
			Partition: "booking.a.0", Shards: s.refs, Epoch: epoch, Preferred: preferred, EarlierLeadersUntil: h.node.EarlierLeadersUntil(0),
			ChecksFences: !s.noFences, MaxExchange: time.Second,
		}, until, now, s.unsafe)
	}
	h.epoch = epoch
	var list []Server
	for _, v := range s.servers {
		id := topology.ServerID(v.Name)
		list = append(list, Server{ID: id, Draining: s.leaving[id]})
	}
	h.grants.SetServers(list)
	if h.grants.ServersUnreachable(now) && !s.simple {
		h.node.Release(0, now)
		h.grants = nil
		return
	}
	s.sendLeases(h, h.grants.Tick(now))
	s.flush(h, now)
}

func (s *sim) sendLeases(h *simHost, out []Outgoing) {
	if len(out) > 0 && h.pauseNext > 0 {
		h.Paused, h.pauseNext = s.Now+h.pauseNext, 0
	}
	leader := h.grants
	s.messages += len(out)
	for _, o := range out {
		v := s.serverNamed(o.Server)
		s.Deliver(h.Machine, v.Machine, func() {
			r, _ := v.srv.UpdateLease(context.Background(), o.Request)
			s.Deliver(v.Machine, h.Machine, func() {
				if h.grants == leader {
					s.sendLeases(h, leader.HandleReply(o.Server, o.ID, r, s.Local(h.Machine)))
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
	changes, leader, lost := h.grants.TakeAssignments(), h.grants, s.loseReplies
	s.After(2*ms+s.logSlow, func() {
		for _, c := range changes {
			if s.assigned[c.Ref].Fence.Compare(c.Fence) < 0 {
				s.assigned[c.Ref] = c
			}
		}
		if !lost && h.grants == leader {
			leader.AssignmentsRecorded(changes)
		}
	})
}

func (s *sim) run(d time.Duration) { s.Run(d, s.step) }

func (s *sim) step() {
	for _, v := range s.servers {
		s.Running(v.Machine)
	}
	for i, h := range s.hosts {
		if !s.Running(h.Machine) {
			continue
		}
		phase := s.Now/ms + time.Duration(i)
		if phase%100 == 0 {
			s.read(h)
		}
		if phase%5 == 0 {
			s.tickHost(h)
		}
	}
	s.check()
}

func (s *sim) tickHost(h *simHost) {
	if s.simple {
		h.lease.tick(s, h)
	} else {
		s.sendLead(h, h.node.Tick(s.Local(h.Machine)))
	}
	s.stepGrants(h)
}

// check looks for two leaders, two owners and lost assignments, and measures
// the time without a usable owner.
func (s *sim) check() {
	var leader *simHost
	for _, h := range s.hosts {
		if _, _, ok := s.leads(h); ok && !h.Dead {
			if leader != nil {
				s.Violate("%s and %s lead", leader.Name, h.Name)
			}
			leader = h
		}
	}
	if s.Now/ms%2 != 0 {
		return
	}
	if s.Now/ms%10 == 0 {
		s.checkOwners()
	}
	for _, ref := range s.refs {
		if leader != nil && s.served(leader, ref) {
			delete(s.downSince, ref)
			continue
		}
		if _, down := s.downSince[ref]; !down {
			s.downSince[ref] = s.Now
		}
		s.maxGap = max(s.maxGap, s.Now-s.downSince[ref])
	}
}

func (s *sim) checkOwners() {
	owners := make(map[topology.ShardRef]string)
	for _, v := range s.servers {
		if v.Dead || s.noFences {
			continue
		}
		r, _ := v.srv.Lease(context.Background())
		for _, held := range r.Held {
			if o, ok := owners[held.Ref]; ok {
				s.Violate("%s and %s hold %v", o, v.Name, held.Ref)
			}
			owners[held.Ref] = v.Name
		}
	}
	for _, h := range s.hosts {
		if h.grants == nil || h.Dead {
			continue
		}
		for _, st := range h.grants.Shards() {
			if st.Recorded && s.assigned[st.Ref].Fence.Compare(st.Fence) < 0 {
				s.Violate("%v is reported as in place but not recorded", st.Ref)
			}
		}
	}
}

// served reports whether a request that reaches the leader now is run.
func (s *sim) served(h *simHost, ref topology.ShardRef) bool {
	if h.grants == nil || s.Now < h.Paused {
		return false
	}
	id, fence, _, ok := h.grants.Owner(ref, s.Local(h.Machine))
	if !ok {
		return false
	}
	if last := s.lastServer[ref]; last != "" && last != id {
		s.minHandOver = min(s.minHandOver, s.Now-s.lastSend[ref])
	}
	s.lastServer[ref], s.lastSend[ref] = id, s.Now
	v := s.serverNamed(id)
	if v.Dead || s.Now < v.Paused || s.IsCut(h.Machine, v.Machine) {
		return false
	}
	return v.srv.Commit(ref, "", fence) == nil
}

func (s *sim) leader() *simHost {
	for _, h := range s.hosts {
		if _, _, ok := s.leads(h); ok && !h.Dead && s.Now >= h.Paused {
			return h
		}
	}
	return nil
}
