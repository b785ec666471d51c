package grant

import (
	"slices"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

type shard struct {
	ref    topology.ShardRef
	except []string // keys of the shard that are split off
	// parent is the shard of a split-off key. splitFence is the first grant of
	// the parent that does not cover the key.
	parent     *shard
	splitFence topology.Fence
	joining    bool // the key returns to its parent
	state      ShardState
	server     topology.ServerID // owner, or last owner
	inc        topology.Incarnation
	to         topology.ServerID
	fence      topology.Fence
	// freeAt is the time from which on no server can hold an earlier grant. In
	// state Waiting the last owner may get the shard before that.
	freeAt  time.Duration
	onlyIf  bool // the grant extends one of an earlier leader
	nextTry time.Duration
	// revokedAt is the start of the last revoke; no request is sent from then.
	revokedAt time.Duration
	acked     time.Duration     // receipt of the acknowledgement
	holder    topology.ServerID // server of the last acknowledged grant
	inPlace   topology.Fence
	// unavailable since downAt, if down.
	down   bool
	downAt time.Duration
}

// order is one grant or revoke order within an exchange.
type order struct {
	shard  *shard
	fence  topology.Fence
	revoke bool
}

// exchange is a lease request without an answer.
type exchange struct {
	sent     time.Duration
	tickSent time.Duration // lower limit of the time of the clock reading
	duration time.Duration
	orders   []order
	drop     []topology.ShardRef // claims to revoke without a shard to follow
	withHeld bool
}

type server struct {
	id       topology.ServerID
	listed   bool
	leaving  bool // according to the host list
	draining bool // according to the server
	inc      topology.Incarnation
	adopted  bool // its grants of earlier leaders are known
	load     serverapi.LoadReport

	// tick is the newest reading of the server's clock. It was read between
	// tickSent and tickRecv.
	tick, tickSent, tickRecv time.Duration
	answered                 bool
	answeredAt               time.Duration
	// sure is the time until which the server holds its lease; mayHold is the
	// time from which on it surely does not.
	sure, mayHold time.Duration

	open    map[uint64]*exchange
	waitFor uint64 // newest open request, 0 if answered
	sentAt  time.Duration
	due     bool // a renewal is due
	shards  int
	drop    []topology.ShardRef
}

// Manager holds the grants of one leadership. It is not safe for concurrent
// use.
type Manager struct {
	cfg   Config
	start time.Duration
	// earlier is the time from which on no grant of an earlier leader is valid.
	earlier time.Duration
	support time.Duration
	// deposed is true after a server reported a newer epoch.
	deposed   bool
	seq       uint64
	nextID    uint64
	nextRound time.Duration
	servers   []*server
	shards    []*shard
	byID      map[topology.ServerID]*server
	byRef     map[topology.ShardRef]*shard
	changes   []Assignment
	joined    []topology.ShardRef
	counters  Counters
	unsafe    unsafeSwitches
}

// unsafeSwitches are only set by tests that show that their checks find the
// consequence of a missing mechanism.
type unsafeSwitches struct {
	noStartWait bool // grant unclaimed shards at once
	noGrantWait bool // move shards of a silent server at once
	noRevoke    bool // move shards without a revoke
	noSplitWait bool // grant split-off keys before the shard gives them up
	noOverhang  bool // do not limit grants by the leader's support
	noEarlier   bool // ignore the support that an earlier leader released
}

// New returns the Leader of a leadership that began at now and is supported
// until support.
func New(cfg Config, support, now time.Duration) *Manager {
	return newLeader(cfg, support, now, unsafeSwitches{})
}

func newLeader(cfg Config, support, now time.Duration, unsafe unsafeSwitches) *Manager {
	l := &Manager{
		cfg: cfg, start: now, support: support, nextRound: now, unsafe: unsafe,
		byID: make(map[topology.ServerID]*server), byRef: make(map[topology.ShardRef]*shard),
	}
	if unsafe.noEarlier {
		cfg.EarlierLeadersUntil = 0
	}
	l.earlier = max(now, cfg.EarlierLeadersUntil) + Overhang + driftMargin
	free := l.earlier + l.exchangeWait()
	if l.unsafe.noStartWait {
		free = now
	}
	for _, ref := range cfg.Shards {
		l.addShard(ref, free, now)
	}
	for ref := range cfg.Preferred {
		if parent, ok := l.byRef[shardOf(ref)]; ok && ref.Key != "" {
			l.addKey(ref, parent, free, now)
		}
	}
	return l
}

func (l *Manager) addShard(ref topology.ShardRef, free, now time.Duration) *shard {
	s := &shard{ref: ref, freeAt: free, server: l.cfg.Preferred[ref], down: true, downAt: now}
	l.byRef[ref] = s
	l.shards = append(l.shards, s)
	return s
}

// exchangeWait is the additional wait before a shard moves away from a server
// that does not check fences and did not acknowledge: requests that it started
// before their not-after time end within MaxExchange. The not-after time is not
// later than the end of the grant, up to the error of the wall clocks.
func (l *Manager) exchangeWait() time.Duration {
	if l.cfg.ChecksFences {
		return 0
	}
	return max(l.cfg.MaxExchange, wallError)
}

// freeAfterRevoke returns when another server may get a shard whose owner has
// acknowledged a revoke. Without a fence check the acknowledgement does not
// stop requests that are still in the network, of this leader or of earlier
// ones.
func (l *Manager) freeAfterRevoke(s *shard, now time.Duration) time.Duration {
	if l.cfg.ChecksFences {
		return now
	}
	return max(now, max(s.revokedAt, l.start)+l.cfg.MaxExchange+wallError)
}

// SetServers passes the servers of the partition from the host list. A server
// that is no longer listed is treated as leaving.
func (l *Manager) SetServers(list []Server) {
	for _, s := range l.servers {
		s.listed = false
	}
	for _, x := range list {
		s, ok := l.byID[x.ID]
		if !ok {
			s = &server{id: x.ID, open: make(map[uint64]*exchange), due: true}
			l.byID[x.ID] = s
			l.servers = append(l.servers, s)
		}
		s.listed, s.leaving = true, x.Draining
	}
	l.servers = slices.DeleteFunc(l.servers, func(s *server) bool {
		if s.listed || s.shards > 0 {
			return false
		}
		delete(l.byID, s.id)
		return true
	})
	slices.SortFunc(l.servers, func(a, b *server) int { return strings.Compare(string(a.id), string(b.id)) })
}

// SetSupport passes the end of the leader's support after every event of
// election.Node. Renewals follow a support round, so that grants outlive a loss of
// the leader for long enough that its successor can extend them.
func (l *Manager) SetSupport(until, now time.Duration) {
	if until <= l.support {
		return
	}
	l.support = until
	if now >= l.nextRound-roundSlack {
		l.startRound(now)
	}
}

// Continue takes over a new epoch of the same host. It returns false if the
// support had ended; the runtime then starts a new Leader.
func (l *Manager) Continue(epoch topology.Fence, until, now time.Duration) bool {
	if now >= l.support || l.deposed || epoch.Compare(l.cfg.Epoch) < 0 {
		return false
	}
	l.cfg.Epoch = epoch.Epoch()
	l.SetSupport(until, now)
	return true
}

func (l *Manager) startRound(now time.Duration) {
	l.nextRound = now + RenewInterval
	for _, s := range l.servers {
		s.due = true
	}
}

// leads reports whether the leader may act.
func (l *Manager) leads(now time.Duration) bool { return now < l.support && !l.deposed }

func (l *Manager) nextFence() topology.Fence {
	l.seq++
	f := l.cfg.Epoch
	f.Seq = l.seq
	return f
}

// Tick advances timers and returns the requests to send. It must be called at
// least every 10 ms while the host leads.
func (l *Manager) Tick(now time.Duration) []Outgoing {
	if !l.leads(now) {
		l.account(now)
		return nil
	}
	if now >= l.nextRound+roundDelay {
		l.startRound(now)
	}
	l.lapse(now)
	l.finishJoins(now)
	l.drain(now)
	l.place(now)
	l.account(now)
	var out []Outgoing
	for _, s := range l.servers {
		out = l.send(s, now, out)
	}
	return out
}

// account keeps the unavailable intervals.
func (l *Manager) account(now time.Duration) {
	for _, s := range l.shards {
		_, _, ok := l.usable(s, now)
		switch {
		case ok && s.down:
			s.down = false
			l.counters.Unavailable++
			l.counters.UnavailableTime += now - s.downAt
		case !ok && !s.down:
			s.down, s.downAt = true, now
		}
	}
}

func (l *Manager) usable(s *shard, now time.Duration) (*server, time.Duration, bool) {
	if s.state != Owned || !l.leads(now) {
		return nil, 0, false
	}
	srv := l.byID[s.server]
	until := min(srv.sure, l.support)
	return srv, until, now < until
}

// Owner returns the server that owns the shard, the fence to send with
// requests, and until when that is certain. It must be called again before
// every send.
func (l *Manager) Owner(ref topology.ShardRef, now time.Duration) (id topology.ServerID, fence topology.Fence, until time.Duration, ok bool) {
	s, found := l.byRef[ref]
	if !found {
		return "", topology.Fence{}, 0, false
	}
	srv, until, ok := l.usable(s, now)
	if !ok {
		return "", topology.Fence{}, 0, false
	}
	return srv.id, s.fence, until, true
}

// TakeAssignments returns the assignments that were acknowledged since the last call.
func (l *Manager) TakeAssignments() []Assignment {
	c := l.changes
	l.changes = nil
	return c
}

// AssignmentsRecorded reports changes that were read back from the log.
func (l *Manager) AssignmentsRecorded(changes []Assignment) {
	for _, c := range changes {
		if s, ok := l.byRef[c.Ref]; ok && s.inPlace.Compare(c.Fence) < 0 {
			s.inPlace = c.Fence
		}
	}
}

// Counters returns the counters of this leadership.
func (l *Manager) Counters() Counters { return l.counters }

// LaterLeaderSeen reports whether a server has seen a newer leader.
func (l *Manager) LaterLeaderSeen() bool { return l.deposed }

// ServersUnreachable reports that no server has answered for a while. The runtime then
// releases the partition (election.Node.Release), because another member may reach
// the servers; their grants are still valid at that time.
func (l *Manager) ServersUnreachable(now time.Duration) bool {
	last := l.start
	for _, s := range l.servers {
		if s.answered {
			last = max(last, s.answeredAt)
		}
	}
	return len(l.servers) > 0 && now-last >= cutOffAfter
}

// Shards describes all shards.
func (l *Manager) Shards() []ShardStatus {
	out := make([]ShardStatus, 0, len(l.shards))
	for _, s := range l.shards {
		out = append(out, ShardStatus{
			Ref: s.ref, State: s.state, Server: s.server, To: s.to, Fence: s.fence, FreeAt: s.freeAt,
			Recorded: s.state == Owned && s.inPlace == s.fence,
		})
	}
	return out
}

// Servers describes all servers.
func (l *Manager) Servers(now time.Duration) []ServerStatus {
	out := make([]ServerStatus, 0, len(l.servers))
	for _, s := range l.servers {
		out = append(out, ServerStatus{
			ID: s.id, Incarnation: s.inc, Responsive: s.answers(now), Draining: s.leaves(), Shards: s.shards, LeaseLeft: max(0, s.sure-now), Load: s.load,
		})
	}
	return out
}
