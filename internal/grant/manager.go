package grant

import (
	"slices"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// shard is the state of one unit of ownership: a shard, or a key that was split
// off its shard.
type shard struct {
	ref       topology.ShardRef
	splitKeys []string // keys of the shard that are split off
	// parent is the shard of a split-off key. splitFence is the first grant of
	// the parent that does not cover the key.
	parent      *shard
	splitFence  topology.Fence
	joining     bool // the key returns to its parent
	state       ShardState
	server      topology.ServerID // owner, or last or preferred owner
	incarnation topology.Incarnation
	moveTarget  topology.ServerID
	fence       topology.Fence
	// freeAt is the time at which no server can hold an earlier grant any more.
	// In state Waiting, only the last owner may get the shard before that.
	freeAt      time.Duration
	extendOnly  bool // the order extends a grant of an earlier leader
	nextOrderAt time.Duration
	// revokedAt is the start of the last revoke; no request is sent to the owner
	// from then on.
	revokedAt       time.Duration
	ackedAt         time.Duration     // receipt of the acknowledgement
	lastAckedServer topology.ServerID // server of the last acknowledged grant
	recordedFence   topology.Fence
	// unavailable is true while no request of the shard can be sent to an owner.
	unavailable      bool
	unavailableSince time.Duration
}

// order is one grant or revoke in a lease request.
type order struct {
	shard  *shard
	fence  topology.Fence
	revoke bool
}

// leaseCall is a lease request that has no reply yet.
type leaseCall struct {
	sentAt      time.Duration
	tickSentAt  time.Duration // lower bound of the time at which the server read its clock
	duration    time.Duration
	orders      []order
	conflicting []topology.ShardRef // copy of server.conflicting in the request
	withHeld    bool
}

// server is the state of one server of the partition.
type server struct {
	id               topology.ServerID
	listed           bool
	listedDraining   bool // according to the host list
	reportedDraining bool // according to the server
	incarnation      topology.Incarnation
	adopted          bool // the grants that it held of earlier leaders are known
	load             serverapi.LoadReport

	// tick is the newest reading of the server's clock. It was read between
	// tickSentAt and tickReceivedAt.
	tick, tickSentAt, tickReceivedAt time.Duration
	hasReplied                       bool
	lastReply                        time.Duration
	// leaseUntil is the time until which the server certainly holds its lease;
	// from mayHoldUntil on it certainly does not.
	leaseUntil, mayHoldUntil time.Duration

	pending    map[uint64]*leaseCall
	awaiting   uint64 // id of the newest request, 0 if it has a reply
	sentAt     time.Duration
	renewalDue bool
	shardCount int
	// conflicting are grants to revoke that the server holds, but whose shard is
	// unknown or already assigned.
	conflicting []topology.ShardRef
}

// Manager manages the grants of one leadership of a partition. It is not safe
// for concurrent use.
type Manager struct {
	cfg       Config
	startedAt time.Duration
	// earlierGrantsUntil is the time at which all grants of earlier leaders have
	// expired.
	earlierGrantsUntil time.Duration
	supportedUntil     time.Duration
	// laterLeaderSeen is true after a server has reported a later epoch.
	laterLeaderSeen bool
	seq             uint64
	nextID          uint64
	nextRound       time.Duration
	servers         []*server
	shards          []*shard
	byID            map[topology.ServerID]*server
	byRef           map[topology.ShardRef]*shard
	assignments     []Assignment
	joinedKeys      []topology.ShardRef
	counters        Counters
	unsafe          unsafeSwitches
}

// unsafeSwitches disable safety mechanisms. Only tests set them, to show that
// their checks detect the consequences.
type unsafeSwitches struct {
	noStartWait       bool // grant unclaimed shards at once
	noGrantWait       bool // move shards of an unresponsive server at once
	noRevoke          bool // move shards without a revoke
	noSplitWait       bool // grant split-off keys before the shard gives them up
	noSupportLimit    bool // do not limit grants by the leader's support
	noReleasedSupport bool // ignore Config.EarlierLeadersUntil
}

// New returns the Manager of a leadership that began at now and is supported
// until supportedUntil.
func New(cfg Config, supportedUntil, now time.Duration) *Manager {
	return newManager(cfg, supportedUntil, now, unsafeSwitches{})
}

func newManager(cfg Config, supportedUntil, now time.Duration, unsafe unsafeSwitches) *Manager {
	m := &Manager{
		cfg: cfg, startedAt: now, supportedUntil: supportedUntil, nextRound: now, unsafe: unsafe,
		byID: make(map[topology.ServerID]*server), byRef: make(map[topology.ShardRef]*shard),
	}
	if unsafe.noReleasedSupport {
		cfg.EarlierLeadersUntil = 0
	}
	m.earlierGrantsUntil = max(now, cfg.EarlierLeadersUntil) + SupportGrace + driftMargin
	freeAt := m.earlierGrantsUntil + m.exchangeWait()
	if m.unsafe.noStartWait {
		freeAt = now
	}
	for _, ref := range cfg.Shards {
		m.addShard(ref, freeAt, now)
	}
	for ref := range cfg.Preferred {
		if parent, ok := m.byRef[wholeShard(ref)]; ok && ref.Key != "" {
			m.addKey(ref, parent, freeAt, now)
		}
	}
	return m
}

// addShard adds a shard or key without an owner. Servers other than the last
// owner may get it from freeAt on.
func (m *Manager) addShard(ref topology.ShardRef, freeAt, now time.Duration) *shard {
	s := &shard{ref: ref, freeAt: freeAt, server: m.cfg.Preferred[ref], unavailable: true, unavailableSince: now}
	m.byRef[ref] = s
	m.shards = append(m.shards, s)
	return s
}

// exchangeWait returns the additional delay before a shard moves away from a
// server that does not check fences and has not acknowledged a revoke. Requests
// that the server starts before their not-after time end within
// Config.MaxExchange, and the not-after time is not later than the end of the
// grant plus the error of the wall clocks.
func (m *Manager) exchangeWait() time.Duration {
	if m.cfg.ChecksFences {
		return 0
	}
	return max(m.cfg.MaxExchange, maxWallClockError)
}

// freeAfterRevoke returns the time at which another server may get a shard whose
// owner has acknowledged a revoke. If servers do not check fences, the
// acknowledgement does not stop requests of this leader or of earlier ones that
// are still in the network.
func (m *Manager) freeAfterRevoke(s *shard, now time.Duration) time.Duration {
	if m.cfg.ChecksFences {
		return now
	}
	return max(now, max(s.revokedAt, m.startedAt)+m.cfg.MaxExchange+maxWallClockError)
}

// SetServers sets the servers of the partition according to the host list. A
// server that is no longer listed counts as draining.
func (m *Manager) SetServers(list []Server) {
	for _, s := range m.servers {
		s.listed = false
	}
	for _, listed := range list {
		s, ok := m.byID[listed.ID]
		if !ok {
			s = &server{id: listed.ID, pending: make(map[uint64]*leaseCall), renewalDue: true}
			m.byID[listed.ID] = s
			m.servers = append(m.servers, s)
		}
		s.listed, s.listedDraining = true, listed.Draining
	}
	m.servers = slices.DeleteFunc(m.servers, func(s *server) bool {
		if s.listed || s.shardCount > 0 {
			return false
		}
		delete(m.byID, s.id)
		return true
	})
	slices.SortFunc(m.servers, func(a, b *server) int { return strings.Compare(string(a.id), string(b.id)) })
}

// SetSupport sets the end of the leader's support. The runtime calls it after
// every event of election.Node. Renewals follow a support round, so that grants
// outlive a failed leader for long enough that its successor can extend them.
func (m *Manager) SetSupport(until, now time.Duration) {
	if until <= m.supportedUntil {
		return
	}
	m.supportedUntil = until
	if now >= m.nextRound-roundTolerance {
		m.startRound(now)
	}
}

// Continue changes to a later epoch of the same host without an interruption. It
// returns false if this leadership has ended; the runtime then creates a new
// Manager.
func (m *Manager) Continue(epoch topology.Fence, until, now time.Duration) bool {
	if now >= m.supportedUntil || m.laterLeaderSeen || epoch.Compare(m.cfg.Epoch) < 0 {
		return false
	}
	m.cfg.Epoch = epoch.Epoch()
	m.SetSupport(until, now)
	return true
}

// startRound makes a renewal due for every server.
func (m *Manager) startRound(now time.Duration) {
	m.nextRound = now + RenewInterval
	for _, s := range m.servers {
		s.renewalDue = true
	}
}

// mayAct reports whether the host may still act as leader.
func (m *Manager) mayAct(now time.Duration) bool { return now < m.supportedUntil && !m.laterLeaderSeen }

// nextFence returns a fence of this epoch that is greater than all before.
func (m *Manager) nextFence() topology.Fence {
	m.seq++
	f := m.cfg.Epoch
	f.Seq = m.seq
	return f
}

// Tick handles timers that have expired and returns the requests to send. It
// must be called at least every 10 ms while the host leads.
func (m *Manager) Tick(now time.Duration) []Outgoing {
	if !m.mayAct(now) {
		m.updateAvailability(now)
		return nil
	}
	if now >= m.nextRound+maxRoundDelay {
		m.startRound(now)
	}
	m.freeExpired(now)
	m.finishJoins(now)
	m.moveFromDraining(now)
	m.assignFree(now)
	m.updateAvailability(now)
	var out []Outgoing
	for _, s := range m.servers {
		out = m.nextRequest(s, now, out)
	}
	return out
}

// updateAvailability records when shards become available or unavailable.
func (m *Manager) updateAvailability(now time.Duration) {
	for _, s := range m.shards {
		_, _, ok := m.usableOwner(s, now)
		switch {
		case ok && s.unavailable:
			s.unavailable = false
			m.counters.Unavailable++
			m.counters.UnavailableTime += now - s.unavailableSince
		case !ok && !s.unavailable:
			s.unavailable, s.unavailableSince = true, now
		}
	}
}

// usableOwner returns the server to which requests of the shard can be sent, and
// until when.
func (m *Manager) usableOwner(s *shard, now time.Duration) (*server, time.Duration, bool) {
	if s.state != Owned || !m.mayAct(now) {
		return nil, 0, false
	}
	srv := m.byID[s.server]
	until := min(srv.leaseUntil, m.supportedUntil)
	return srv, until, now < until
}

// Owner returns the server that owns the shard, the fence to send with requests,
// and the time until which the ownership is certain. It must be called again
// before every send.
func (m *Manager) Owner(ref topology.ShardRef, now time.Duration) (id topology.ServerID, fence topology.Fence, until time.Duration, ok bool) {
	s, found := m.byRef[ref]
	if !found {
		return "", topology.Fence{}, 0, false
	}
	srv, until, ok := m.usableOwner(s, now)
	if !ok {
		return "", topology.Fence{}, 0, false
	}
	return srv.id, s.fence, until, true
}

// TakeAssignments returns the assignments that were acknowledged since the last
// call.
func (m *Manager) TakeAssignments() []Assignment {
	assignments := m.assignments
	m.assignments = nil
	return assignments
}

// AssignmentsRecorded reports assignments that were read back from the log.
func (m *Manager) AssignmentsRecorded(assignments []Assignment) {
	for _, a := range assignments {
		if s, ok := m.byRef[a.Ref]; ok && s.recordedFence.Compare(a.Fence) < 0 {
			s.recordedFence = a.Fence
		}
	}
}

// Counters returns the counters of this leadership.
func (m *Manager) Counters() Counters { return m.counters }

// LaterLeaderSeen reports whether a server has seen the epoch of a later leader.
func (m *Manager) LaterLeaderSeen() bool { return m.laterLeaderSeen }

// ServersUnreachable reports whether no server has replied for unreachableAfter.
// The runtime then releases the partition (election.Node.Release), because
// another member may reach the servers, whose grants are still valid at that
// time.
func (m *Manager) ServersUnreachable(now time.Duration) bool {
	last := m.startedAt
	for _, s := range m.servers {
		if s.hasReplied {
			last = max(last, s.lastReply)
		}
	}
	return len(m.servers) > 0 && now-last >= unreachableAfter
}

// Shards returns the status of all shards and split-off keys.
func (m *Manager) Shards() []ShardStatus {
	out := make([]ShardStatus, 0, len(m.shards))
	for _, s := range m.shards {
		out = append(out, ShardStatus{
			Ref: s.ref, State: s.state, Server: s.server, MoveTarget: s.moveTarget, Fence: s.fence, FreeAt: s.freeAt,
			Recorded: s.state == Owned && s.recordedFence == s.fence,
		})
	}
	return out
}

// Servers returns the status of all servers.
func (m *Manager) Servers(now time.Duration) []ServerStatus {
	out := make([]ServerStatus, 0, len(m.servers))
	for _, s := range m.servers {
		out = append(out, ServerStatus{
			ID: s.id, Incarnation: s.incarnation, Responsive: s.responsive(now), Draining: s.isDraining(), Shards: s.shardCount, LeaseLeft: max(0, s.leaseUntil-now), Load: s.load,
		})
	}
	return out
}
