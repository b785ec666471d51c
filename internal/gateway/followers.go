package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// followers processes the messages of other hosts and responds to them. While
// this host leads, it tracks the hosts that follow it and sends them decisions;
// otherwise it redirects them to the leader.
type followers struct {
	clk         clock.Clock
	link        *hostlink.Link
	incarnation uint64
	// header returns the fields that all messages to hosts share.
	header func() hostlink.FromLeader
	// deliverLocal receives the decisions on requests of this host.
	deliverLocal func([]schedule.Decision)

	// currentLeader returns the leader that this host follows, and its epoch.
	currentLeader func() (netip.AddrPort, int64)

	mu        sync.Mutex
	scheduler *scheduler // nil while this host does not lead
	// recordFollower records a message of a host that follows the leader of
	// epoch.
	recordFollower   func(host uint64, address string)
	epoch            int64
	hosts            map[uint64]*follower
	announcedVersion int64 // newest configuration version that was sent to all hosts
	maxHosts         int   // largest number of hosts present at the same time, this one included
	// newRequests and repeatedRequests count the routing requests since the
	// last tick. A repeated request is one that had been decided before, or
	// that timed out at its host.
	newRequests, repeatedRequests int
}

// follower is what the leader knows of one host.
type follower struct {
	address    netip.AddrPort
	lastHeard  time.Duration
	lastReport uint32 // number of the last report received in order
	// recentDecisions holds the last decisions, to repeat those whose datagram
	// was lost.
	recentDecisions map[uint32]hostlink.Decision
	decisionOrder   []uint32
	ackDueAt        time.Duration
	cpuPercent      uint16 // share of a CPU core in percent
	// peersSentAt is the time at which the host was last sent addresses of its
	// peers.
	peersSentAt time.Duration
}

const (
	maxRecentDecisions = 64
	// ackDelay is the time for which an acknowledgement waits to be sent with a
	// decision. It is below reportRetryInterval.
	ackDelay = 25 * time.Millisecond
	// peerListInterval is the interval at which each host is sent the addresses
	// of at most maxPeersSent others.
	peerListInterval = 2 * time.Second
	maxPeersSent     = 12
	// followerTimeout is the time without a message after which a host no
	// longer counts as present.
	followerTimeout = 1500 * time.Millisecond
)

// setScheduler makes this host decide routing requests with s; nil ends that.
func (fs *followers) setScheduler(s *scheduler, epoch int64, recordFollower func(host uint64, address string)) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.scheduler, fs.epoch, fs.recordFollower = s, epoch, recordFollower
	fs.hosts = make(map[uint64]*follower)
	fs.maxHosts = 1
}

// setEpoch changes the epoch of the leadership of this host.
func (fs *followers) setEpoch(epoch int64) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.epoch = epoch
}

// handle processes a message of a host.
func (fs *followers) handle(from netip.AddrPort, m *hostlink.ToLeader) {
	fs.mu.Lock()
	s := fs.scheduler
	if s == nil {
		fs.mu.Unlock()
		fs.redirect(from)
		return
	}
	now := fs.clk.Now()
	f, ok := fs.hosts[m.Incarnation]
	if !ok {
		f = &follower{recentDecisions: make(map[uint32]hostlink.Decision)}
		fs.hosts[m.Incarnation] = f
	}
	f.address, f.lastHeard, f.cpuPercent = from, now, m.CPUPercent
	recordFollower := fs.recordFollower
	if m.Epoch != fs.epoch {
		recordFollower = nil
	}
	reports := f.newReports(m)
	undecided, decided := f.splitRequests(m.Requests)
	fs.repeatedRequests += len(decided) + int(m.TimedOut)
	if len(m.Reports) > 0 && f.ackDueAt == 0 {
		f.ackDueAt = now + ackDelay
	}
	if len(m.Requests) == 0 && len(m.Reports) == 0 {
		f.ackDueAt = now // a heartbeat
	}
	fs.mu.Unlock()

	if recordFollower != nil {
		recordFollower(m.Incarnation, from.String())
	}
	for _, r := range reports {
		s.recordReport(decodeReport(m.Incarnation, r))
	}
	added := 0
	for _, req := range undecided {
		id := schedule.JobID{HostIncarnation: m.Incarnation, Number: req.Number}
		if s.add(req.Service, decodeRequest(id, m.DataCentre, req, now)) {
			added++
		}
		if s.isQueued(req.Service, id) {
			decided = append(decided, hostlink.Decision{Number: req.Number, Kind: hostlink.KindQueued})
		}
	}
	fs.mu.Lock()
	fs.newRequests += added
	fs.mu.Unlock()
	if len(decided) > 0 {
		fs.reply(m.Incarnation, decided)
	}
}

// handleLimits processes the limits that servers named to a host.
func (fs *followers) handleLimits(m *hostlink.ServerLimits) {
	fs.mu.Lock()
	s := fs.scheduler
	fs.mu.Unlock()
	if s == nil {
		return // the host sends them again to the leader that it follows next
	}
	for _, l := range m.Limits {
		if l.PerSecond >= 0 {
			limit := schedule.Limit{Stated: true, PerSecond: l.PerSecond}
			s.setLimit(serverLimit{service: l.Service, server: topology.ServerID(l.Server), limit: limit}, schedule.LimitShare{})
		}
	}
}

// takeRequestCounts returns the numbers of new and of repeated requests since
// the last call.
func (fs *followers) takeRequestCounts() (newRequests, repeated int) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	newRequests, repeated = fs.newRequests, fs.repeatedRequests
	fs.newRequests, fs.repeatedRequests = 0, 0
	return newRequests, repeated
}

// redirect responds that this host does not lead, and names the leader if it is
// known.
func (fs *followers) redirect(to netip.AddrPort) {
	leader, epoch := fs.currentLeader()
	reply := hostlink.FromLeader{Epoch: epoch}
	if leader.IsValid() && leader != to {
		reply.Leader = leader.String()
	}
	_ = fs.link.SendFromLeader(to, &reply) // the host repeats its request
}

// newReports returns the reports that were not received before.
func (f *follower) newReports(m *hostlink.ToLeader) []hostlink.Report {
	if m.FirstReport > f.lastReport+1 {
		f.lastReport = m.FirstReport - 1 // dropped by the host, or sent to an earlier leader
	}
	skip := int(f.lastReport + 1 - m.FirstReport)
	if skip >= len(m.Reports) {
		return nil
	}
	f.lastReport = m.FirstReport + uint32(len(m.Reports)) - 1
	return m.Reports[skip:]
}

// splitRequests separates the requests without a decision from those whose
// decision was sent but lost, and returns the decisions on the latter.
func (f *follower) splitRequests(requests []hostlink.RoutingRequest) (undecided []hostlink.RoutingRequest, decided []hostlink.Decision) {
	for _, req := range requests {
		if d, ok := f.recentDecisions[req.Number]; ok {
			decided = append(decided, d)
			continue
		}
		undecided = append(undecided, req)
	}
	return undecided, decided
}

func decodeReport(host uint64, r hostlink.Report) schedule.Report {
	return schedule.Report{
		ID: schedule.JobID{HostIncarnation: host, Number: r.Number}, Result: schedule.Result(min(r.Result, uint8(schedule.CallerDisconnected))),
		Duration: time.Duration(r.TookMS) * time.Millisecond, Running: int(r.Running), Waiting: int(r.Waiting), LoadKnown: r.Running >= 0,
	}
}

func decodeRequest(id schedule.JobID, dc string, req hostlink.RoutingRequest, now time.Duration) *schedule.Job {
	j := &schedule.Job{
		ID: id, Class: req.Class, ContentHash: req.Content, Key: int(req.Key), Priority: int(req.Priority),
		DataCentre: topology.DataCentre(dc),
		Target:     now + time.Duration(req.TargetMS)*time.Millisecond,
		Deadline:   now + time.Duration(req.DeadlineMS)*time.Millisecond,
	}
	for _, t := range req.Tried {
		j.Tried = append(j.Tried, topology.ServerID(t))
	}
	return j
}

// deliver sends decisions of the scheduler to the hosts that asked for them.
func (fs *followers) deliver(decisions []schedule.Decision) {
	if len(decisions) == 0 {
		return
	}
	byHost := make(map[uint64][]hostlink.Decision)
	var localDecisions []schedule.Decision
	for _, d := range decisions {
		if d.Job.ID.HostIncarnation == fs.incarnation {
			localDecisions = append(localDecisions, d)
			continue
		}
		m := hostlink.Decision{Number: d.Job.ID.Number, Server: string(d.Server), Address: d.Address}
		if d.Refused {
			m.Kind, m.Reason = hostlink.KindRefused, uint8(d.Reason)
			m.RetryAfterMS = uint32(d.RetryAfter.Milliseconds())
		} else if d.Limited {
			m.Kind = hostlink.KindAssignedLimited
		}
		byHost[d.Job.ID.HostIncarnation] = append(byHost[d.Job.ID.HostIncarnation], m)
	}
	fs.deliverLocal(localDecisions)
	for host, decisions := range byHost {
		fs.reply(host, decisions)
	}
}

func (fs *followers) reply(host uint64, decisions []hostlink.Decision) {
	m := fs.header()
	fs.mu.Lock()
	f, ok := fs.hosts[host]
	if !ok {
		fs.mu.Unlock()
		return
	}
	for _, d := range decisions {
		if d.Kind == hostlink.KindQueued {
			continue
		}
		if _, ok := f.recentDecisions[d.Number]; ok {
			continue // a repeated decision
		}
		f.recentDecisions[d.Number] = d
		f.decisionOrder = append(f.decisionOrder, d.Number)
		if len(f.decisionOrder) > maxRecentDecisions {
			delete(f.recentDecisions, f.decisionOrder[0])
			f.decisionOrder = f.decisionOrder[1:]
		}
	}
	m.Leads = fs.scheduler != nil
	m.AckedReport = f.lastReport
	m.Hosts = uint16(len(fs.hosts) + 1)
	f.ackDueAt = 0
	if now := fs.clk.Now(); f.peersSentAt == 0 || now-f.peersSentAt > peerListInterval {
		f.peersSentAt = now
		m.Peers = fs.peerSample(f)
	}
	address := f.address
	fs.mu.Unlock()
	for len(decisions) > maxDatagramItems {
		m.Decisions = decisions[:maxDatagramItems]
		_ = fs.link.SendFromLeader(address, &m) // hosts repeat requests whose decision was lost
		decisions = decisions[maxDatagramItems:]
	}
	m.Decisions = decisions
	_ = fs.link.SendFromLeader(address, &m)
}

// announceConfig sends a new version number of the configuration to all hosts.
func (fs *followers) announceConfig(version int64) {
	fs.mu.Lock()
	if fs.scheduler == nil || version <= fs.announcedVersion {
		fs.mu.Unlock()
		return
	}
	fs.announcedVersion = version
	fs.mu.Unlock()
	fs.replyToAll()
}

// replyToAll sends the present state of this leader to all hosts.
func (fs *followers) replyToAll() {
	fs.mu.Lock()
	ids := make([]uint64, 0, len(fs.hosts))
	for id := range fs.hosts {
		ids = append(ids, id)
	}
	fs.mu.Unlock()
	for _, id := range ids {
		fs.reply(id, nil)
	}
}

// addresses returns the addresses of the hosts that follow this one.
func (fs *followers) addresses() []netip.AddrPort {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(fs.hosts))
	for _, f := range fs.hosts {
		list = append(list, f.address)
	}
	return list
}

// peerSample returns the addresses of at most maxPeersSent hosts other than f.
func (fs *followers) peerSample(f *follower) []string {
	var addresses []string
	for _, other := range fs.hosts { // map order varies, so repeated samples cover all hosts
		if other != f && len(addresses) < maxPeersSent {
			addresses = append(addresses, other.address.String())
		}
	}
	return addresses
}

// maxCPUShare returns the largest CPU share among the followers, in cores.
func (fs *followers) maxCPUShare() float64 {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	percent := uint16(0)
	for _, f := range fs.hosts {
		percent = max(percent, f.cpuPercent)
	}
	return float64(percent) / 100
}

// allHeardWithin reports whether each host that followed this leader has sent a message
// within the given time.
func (fs *followers) allHeardWithin(d time.Duration) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := fs.clk.Now()
	for _, f := range fs.hosts {
		if now-f.lastHeard > d {
			return false
		}
	}
	return len(fs.hosts)+1 >= fs.maxHosts
}

// tick sends acknowledgements that no decision carried, and removes hosts that
// are no longer present. It returns the number of hosts, this one included, and
// the largest number so far.
func (fs *followers) tick() (present, maxHosts int) {
	fs.mu.Lock()
	now := fs.clk.Now()
	var due []uint64
	for id, f := range fs.hosts {
		if f.ackDueAt != 0 && now >= f.ackDueAt {
			due = append(due, id)
		}
		if now-f.lastHeard > followerTimeout {
			delete(fs.hosts, id)
		}
	}
	present = len(fs.hosts) + 1
	fs.maxHosts = max(fs.maxHosts, present)
	maxHosts = fs.maxHosts
	fs.mu.Unlock()
	for _, id := range due {
		fs.reply(id, nil)
	}
	return present, maxHosts
}
