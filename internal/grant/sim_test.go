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

// simHost is one simulated host of the cell.
type simHost struct {
	*simnet.Machine
	node            *election.Node
	lease           *logLease // replaces node in the runs with the log lease
	manager         *Manager
	epoch           topology.Fence
	appliedLists    int
	logUnreachable  bool
	pauseBeforeSend time.Duration // pause between the decision to send and the send
	nextRecording   time.Duration
}

// simServer is one simulated server of the partition.
type simServer struct {
	*simnet.Machine
	srv *serverfake.Server
}

// sim simulates one partition with its cell, servers and log.
type sim struct {
	*simnet.Net
	hosts    []*simHost
	servers  []*simServer
	draining map[topology.ServerID]bool

	logUnavailable, loseReplies, expireRecords bool
	logDelay                                   time.Duration
	lists                                      []election.MemberList
	assigned                                   map[topology.ShardRef]Assignment // latest records of the assignment stream
	leaseLog                                   leaseRecord

	useLogLease      bool // leadership by a lease in the log
	noFenceChecks    bool
	unsafe           unsafeSwitches
	refs             []topology.ShardRef
	unavailableSince map[topology.ShardRef]time.Duration
	maxUnavailable   time.Duration
	lastServer       map[topology.ShardRef]topology.ServerID
	lastServedAt     map[topology.ShardRef]time.Duration
	minOwnerChange   time.Duration // shortest time between requests to the old and the new owner of a shard
	leaseRequests    int
}

func newSim(seed uint64, useLogLease, noFenceChecks bool) *sim {
	s := &sim{
		Net: simnet.New(seed), draining: make(map[topology.ServerID]bool), assigned: make(map[topology.ShardRef]Assignment),
		unavailableSince: make(map[topology.ShardRef]time.Duration), lastServer: make(map[topology.ShardRef]topology.ServerID),
		lastServedAt: make(map[topology.ShardRef]time.Duration), useLogLease: useLogLease, noFenceChecks: noFenceChecks, minOwnerChange: time.Hour,
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
	h.manager, h.appliedLists = nil, 0
}

func (s *sim) startServer(v *simServer) {
	v.srv = serverfake.New(serverfake.Options{
		ID: topology.ServerID(v.Name), Incarnation: topology.Incarnation(v.Starts), ChecksFences: !s.noFenceChecks, Clock: s.Clock(v.Machine),
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

func (s *sim) logReachable(h *simHost) bool { return !s.logUnavailable && !h.logUnreachable }

func (s *sim) sendElection(h *simHost, a election.Actions) {
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
			s.Deliver(to.Machine, h.Machine, func() { s.sendElection(h, h.node.HandlePledgeReply(r, s.Local(h.Machine))) })
		})
	}
	if a.Proposal != nil && s.logReachable(h) {
		s.After(2*ms+s.logDelay, func() { s.appendList(*a.Proposal) })
	}
	if a.ProbeLog && s.logReachable(h) && !s.loseReplies {
		s.After(4*ms+s.logDelay, func() { h.node.AppendConfirmed(sent) })
	}
}

// appendList appends a proposal to the log if the rules of the members stream
// accept it.
func (s *sim) appendList(p election.Proposal) {
	last := s.lists[len(s.lists)-1]
	if next, ok := last.Next(p, last.Offset+1); ok {
		s.lists = append(s.lists, next)
		for _, h := range s.hosts {
			s.readLog(h)
		}
	}
}

// readLog lets a host read the log.
func (s *sim) readLog(h *simHost) {
	if !s.logReachable(h) {
		return
	}
	sent, starts := s.Local(h.Machine), h.Starts
	s.After(ms+s.logDelay/2, func() {
		lists, lease := slices.Clone(s.lists), s.leaseLog
		s.After(ms+s.logDelay/2, func() {
			if h.Dead || h.Starts != starts || s.Now < h.Paused {
				return
			}
			if s.expireRecords {
				h.appliedLists = max(h.appliedLists, len(lists)-1) // earlier records have expired
			}
			for ; h.appliedLists < len(lists); h.appliedLists++ {
				h.node.ApplyList(lists[h.appliedLists], s.Local(h.Machine))
			}
			h.node.LogRead(sent, s.Local(h.Machine))
			h.lease.read(h.Name, lease, s.Local(h.Machine))
		})
	})
}

// leads returns the leadership of a host by the election or by the log lease.
func (s *sim) leads(h *simHost) (topology.Fence, time.Duration, bool) {
	if s.useLogLease {
		return h.lease.leads(s.Local(h.Machine))
	}
	return h.node.Leads(0, s.Local(h.Machine))
}

// stepGrants creates, continues or drops the grant manager of a host, and
// advances it.
func (s *sim) stepGrants(h *simHost) {
	now := s.Local(h.Machine)
	epoch, until, ok := s.leads(h)
	switch {
	case !ok:
		h.manager = nil
		return
	case h.manager != nil && epoch == h.epoch:
		h.manager.SetSupport(until, now)
	case h.manager != nil && h.manager.Continue(epoch, until, now):
	default:
		preferred := make(map[topology.ShardRef]topology.ServerID)
		for ref, c := range s.assigned {
			preferred[ref] = c.Server
		}
		h.manager = newManager(Config{
			Partition: "booking.a.0", Shards: s.refs, Epoch: epoch, Preferred: preferred, EarlierLeadersUntil: h.node.EarlierLeadersUntil(0),
			ChecksFences: !s.noFenceChecks, MaxExchange: time.Second,
		}, until, now, s.unsafe)
	}
	h.epoch = epoch
	var list []Server
	for _, v := range s.servers {
		id := topology.ServerID(v.Name)
		list = append(list, Server{ID: id, Draining: s.draining[id]})
	}
	h.manager.SetServers(list)
	if h.manager.ServersUnreachable(now) && !s.useLogLease {
		h.node.Release(0, now)
		h.manager = nil
		return
	}
	s.sendLeases(h, h.manager.Tick(now))
	s.recordAssignments(h, now)
}

func (s *sim) sendLeases(h *simHost, out []Outgoing) {
	if len(out) > 0 && h.pauseBeforeSend > 0 {
		h.Paused, h.pauseBeforeSend = s.Now+h.pauseBeforeSend, 0
	}
	manager := h.manager
	s.leaseRequests += len(out)
	for _, o := range out {
		v := s.serverNamed(o.Server)
		s.Deliver(h.Machine, v.Machine, func() {
			r, _ := v.srv.UpdateLease(context.Background(), o.Request)
			s.Deliver(v.Machine, h.Machine, func() {
				if h.manager == manager {
					s.sendLeases(h, manager.HandleReply(o.Server, o.ID, r, s.Local(h.Machine)))
				}
			})
		})
	}
}

// recordAssignments appends the changed assignments every 500 ms and reports
// them to the manager after they were read back.
func (s *sim) recordAssignments(h *simHost, now time.Duration) {
	if now < h.nextRecording || !s.logReachable(h) {
		return
	}
	h.nextRecording = now + 500*ms
	assignments, manager, loseReply := h.manager.TakeAssignments(), h.manager, s.loseReplies
	s.After(2*ms+s.logDelay, func() {
		for _, c := range assignments {
			if s.assigned[c.Ref].Fence.Compare(c.Fence) < 0 {
				s.assigned[c.Ref] = c
			}
		}
		if !loseReply && h.manager == manager {
			manager.AssignmentsRecorded(assignments)
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
			s.readLog(h)
		}
		if phase%5 == 0 {
			s.tickHost(h)
		}
	}
	s.check()
}

func (s *sim) tickHost(h *simHost) {
	if s.useLogLease {
		h.lease.tick(s, h)
	} else {
		s.sendElection(h, h.node.Tick(s.Local(h.Machine)))
	}
	s.stepGrants(h)
}

// check reports a violation if there are two leaders, two owners or a lost
// assignment, and measures the time without a usable owner.
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
		if leader != nil && s.isServed(leader, ref) {
			delete(s.unavailableSince, ref)
			continue
		}
		if _, down := s.unavailableSince[ref]; !down {
			s.unavailableSince[ref] = s.Now
		}
		s.maxUnavailable = max(s.maxUnavailable, s.Now-s.unavailableSince[ref])
	}
}

func (s *sim) checkOwners() {
	owners := make(map[topology.ShardRef]string)
	for _, v := range s.servers {
		if v.Dead || s.noFenceChecks {
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
		if h.manager == nil || h.Dead {
			continue
		}
		for _, st := range h.manager.Shards() {
			if st.Recorded && s.assigned[st.Ref].Fence.Compare(st.Fence) < 0 {
				s.Violate("the assignment of %v is reported as recorded but is not in the log", st.Ref)
			}
		}
	}
}

// isServed reports whether a server would run a request that reaches the leader
// now.
func (s *sim) isServed(h *simHost, ref topology.ShardRef) bool {
	if h.manager == nil || s.Now < h.Paused {
		return false
	}
	id, fence, _, ok := h.manager.Owner(ref, s.Local(h.Machine))
	if !ok {
		return false
	}
	if last := s.lastServer[ref]; last != "" && last != id {
		s.minOwnerChange = min(s.minOwnerChange, s.Now-s.lastServedAt[ref])
	}
	s.lastServer[ref], s.lastServedAt[ref] = id, s.Now
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
