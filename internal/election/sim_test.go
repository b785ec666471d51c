package election

import (
	"fmt"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/simnet"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const ms = time.Millisecond

// simHost is one simulated host of a cell.
type simHost struct {
	*simnet.Machine
	node           *Node
	appliedLists   int
	logUnreachable bool
}

// sim simulates a cell and its log.
type sim struct {
	*simnet.Net
	hosts          []*simHost
	lists          []MemberList // accepted lists
	logUnavailable bool
	logDelay       time.Duration

	params            Params
	epochHosts        map[string]string // host of each epoch
	newestEpoch       map[int]topology.Fence
	leaderlessTime    [2]time.Duration // per partition, since its last leader
	maxLeaderlessTime time.Duration
}

func newSim(seed uint64, hosts int) *sim {
	s := &sim{
		Net: simnet.New(seed), epochHosts: make(map[string]string), newestEpoch: make(map[int]topology.Fence), params: DefaultParams(),
	}
	var members []topology.Member
	for i := range hosts {
		h := &simHost{Machine: s.Add(fmt.Sprintf("h%d", i))}
		s.hosts = append(s.hosts, h)
		s.start(h)
		members = append(members, h.node.self)
	}
	s.lists = []MemberList{{Version: 1, Members: members, Offset: 0}}
	return s
}

// start creates the node of a host that was added or restarted.
func (s *sim) start(h *simHost) {
	self := topology.Member{Host: topology.HostID(h.Name), Incarnation: topology.Incarnation(h.Starts)}
	h.node = NewNode(Config{Self: self, Cell: "c", Partitions: 2, Params: s.params})
	h.appliedLists = 0
}

func (s *sim) restart(h *simHost) {
	s.Restart(h.Machine)
	s.start(h)
}

func (s *sim) host(id topology.HostID) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.Name == string(id) })]
}

func (s *sim) send(h *simHost, a Actions) {
	sent := s.Local(h.Machine)
	for _, m := range a.Support {
		to := s.host(m.To.Host)
		s.Deliver(h.Machine, to.Machine, func() {
			r := to.node.HandleSupport(m.Request, s.Local(to.Machine))
			s.Deliver(to.Machine, h.Machine, func() { h.node.HandleSupportReply(r, sent, s.Local(h.Machine)) })
		})
	}
	for _, m := range a.Pledge {
		to := s.host(m.To.Host)
		s.Deliver(h.Machine, to.Machine, func() {
			r := to.node.HandlePledge(m.Request, s.Local(to.Machine))
			s.Deliver(to.Machine, h.Machine, func() { s.send(h, h.node.HandlePledgeReply(r, s.Local(h.Machine))) })
		})
	}
	if s.logUnavailable || h.logUnreachable {
		return
	}
	if a.Proposal != nil {
		s.After(2*ms+s.logDelay, func() { s.appendList(*a.Proposal) })
	}
	if a.ProbeLog {
		s.After(4*ms+s.logDelay, func() { h.node.AppendConfirmed(sent) })
	}
}

// appendList appends a proposal to the log if the rules of the members stream
// accept it.
func (s *sim) appendList(p Proposal) {
	last := s.lists[len(s.lists)-1]
	if next, ok := last.Next(p, last.Offset+1); ok {
		s.lists = append(s.lists, next)
		for _, h := range s.hosts {
			s.readLog(h) // as the long poll returns
		}
	}
}

// readLog lets a host read the log. Hosts do so every 100 ms and, because they
// use long polling, immediately after an append.
func (s *sim) readLog(h *simHost) {
	if s.logUnavailable || h.logUnreachable {
		return
	}
	sent, node := s.Local(h.Machine), h.node
	s.After(1*ms+s.logDelay/2, func() {
		count := len(s.lists)
		s.After(1*ms+s.logDelay/2, func() {
			if h.Dead || h.node != node || s.Now < h.Paused {
				return
			}
			for ; h.appliedLists < count; h.appliedLists++ {
				h.node.ApplyList(s.lists[h.appliedLists], s.Local(h.Machine))
			}
			h.node.LogRead(sent, s.Local(h.Machine))
		})
	})
}

func (s *sim) run(d time.Duration) { s.Run(d, s.step) }

func (s *sim) step() {
	for i, h := range s.hosts {
		if !s.Running(h.Machine) {
			continue
		}
		phase := s.Now/ms + time.Duration(i)
		if phase%100 == 0 {
			s.readLog(h)
		}
		if phase%5 == 0 {
			s.send(h, h.node.Tick(s.Local(h.Machine)))
		}
	}
	s.check()
}

// check reports a violation if a partition has two leaders, and records how
// long it has had none.
func (s *sim) check() {
	for p := range 2 {
		var leader *simHost
		for _, h := range s.hosts {
			epoch, _, ok := h.node.Leads(p, s.Local(h.Machine))
			if h.Dead || !ok {
				continue
			}
			if leader != nil {
				s.Violate("%s and %s lead partition %d", leader.Name, h.Name, p)
			}
			leader = h
			s.checkEpoch(p, h, epoch)
		}
		if leader != nil && s.Now >= leader.Paused {
			s.leaderlessTime[p] = 0
			continue
		}
		s.leaderlessTime[p] += ms
		s.maxLeaderlessTime = max(s.maxLeaderlessTime, s.leaderlessTime[p])
	}
}

// checkEpoch reports a violation if two hosts use the same epoch, or if an epoch
// is older than one that was used before.
func (s *sim) checkEpoch(p int, h *simHost, epoch topology.Fence) {
	key := fmt.Sprint(p, epoch)
	if owner, ok := s.epochHosts[key]; ok && owner != h.Name {
		s.Violate("epoch %v of partition %d names %s and %s", epoch, p, owner, h.Name)
	}
	s.epochHosts[key] = h.Name
	if epoch.Compare(s.newestEpoch[p]) < 0 {
		s.Violate("epoch %v of partition %d after %v", epoch, p, s.newestEpoch[p])
	}
	s.newestEpoch[p] = epoch
}

// leader returns the host that leads partition 0, or nil if there is none.
func (s *sim) leader() *simHost {
	for _, h := range s.hosts {
		if _, _, ok := h.node.Leads(0, s.Local(h.Machine)); ok && !h.Dead {
			return h
		}
	}
	return nil
}

// settle gives the cell 5 s to elect leaders, resets the measured time without
// a leader and returns the leader of partition 0.
func (s *sim) settle() *simHost {
	s.run(5 * time.Second)
	s.maxLeaderlessTime = 0
	return s.leader()
}
