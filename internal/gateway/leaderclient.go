package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// requestRetryInterval is the interval at which a routing request without a
	// response is repeated: a few round trips between data centres.
	requestRetryInterval = 45 * time.Millisecond
	// fallbackDelay is the time after which a routing request without a
	// response goes to the fallback scheduler.
	fallbackDelay = 140 * time.Millisecond
	// queuedRetryInterval is the interval at which a queued routing request is
	// repeated, so that a new leader learns of it.
	queuedRetryInterval = 500 * time.Millisecond
	// reportRetryInterval is the interval at which unacknowledged reports are
	// repeated.
	reportRetryInterval = 60 * time.Millisecond
	// maxUnackedReports bounds the unacknowledged reports. Older ones are
	// dropped; the leader ends their requests at the deadline.
	maxUnackedReports = 64
	// maxDatagramItems bounds the routing requests, reports and decisions of
	// one datagram.
	maxDatagramItems = 16
)

// routingRequest is a request that waits for a decision.
type routingRequest struct {
	serviceHash uint32
	job         schedule.Job
	decision    chan schedule.Decision
	lastSent    time.Duration
	firstSent   time.Duration
	queued      bool
	hedge       bool // asks for a server for a second copy; never repeated
	// timedOut is true once the request went to the fallback scheduler because
	// the leader did not respond.
	timedOut bool
}

// leaderClient asks the leader for servers and reports exchanges to it. While
// this host leads, it uses the leader's scheduler directly; while no leader
// responds, it uses the fallback scheduler.
//
// Lock order: leaderClient.mu is never held while a scheduler is called or a
// datagram is sent, so it comes neither before nor after scheduler.mu and
// followers.mu.
type leaderClient struct {
	clk         clock.Clock
	link        *hostlink.Link
	incarnation uint64
	dataCentre  topology.DataCentre
	cpuPercent  uint16 // share of a CPU core in percent
	active      *activeBounds
	// suspectLeader is called when the leader does not respond, does not lead
	// or has lost the store.
	suspectLeader func()

	mu                  sync.Mutex
	lastNumber          uint32
	pending             map[uint32]*routingRequest
	leader              netip.AddrPort
	epoch               int64
	ownScheduler        *scheduler // the scheduler of this host while it leads; nil otherwise
	fallback            *scheduler
	followed            bool          // whether this host has followed a leader or led
	leaderMember        string        // member identifier of the leader in the store
	leaderDenied        bool          // the followed host responded that it does not lead
	lastHeard           time.Duration // time of the last message from the leader
	lastSent            time.Duration // time of the last message to the leader
	timedOut            uint16        // requests that timed out since lastSent
	unansweredSince     time.Duration // time of the first unanswered send since lastHeard; zero if none
	firstReport         uint32        // number of the first report in reports
	reports             []hostlink.Report
	reportsSentAt       time.Duration
	hostCount           int           // told by the leader; zero until one did
	maxHostCount        int           // largest hostCount so far
	leaderListAge       time.Duration // age of the leader's list of servers at lastHeard
	leaderConfigVersion int64         // version of the configuration that the leader knows
	// peers holds addresses of other hosts, which are asked in turn when the
	// leader does not respond.
	peers         []netip.AddrPort
	peerIndex     int
	peerAskedAt   time.Duration // time of the last message to a peer
	endLeadership func()        // ends the leadership of this host
	newConfig     func()        // called when the leader states a newer configuration
	limits        *serverLimits // that servers named to this host
	limitPhase    float64       // of the fallback scheduler, see schedule.LimitShare
	pauses        *serverPauses // that servers asked this host for
	paces         serverPaces   // that servers stated to this host
	// leavingServers returns the servers to tell a new leader of.
	leavingServers func() []hostlink.LeavingServer
	// refuseAfter is the latest deadline of requests that may still be sent to a server;
	// see refuseDeadlinesAfter.
	refuseAfter time.Duration
}

func newLeaderClient(clk clock.Clock, link *hostlink.Link, incarnation uint64, dc topology.DataCentre, suspectLeader func(), listUsable func() bool) *leaderClient {
	c := &leaderClient{
		clk: clk, link: link, incarnation: incarnation, dataCentre: dc, suspectLeader: suspectLeader,
		pending: make(map[uint32]*routingRequest), firstReport: 1, limitPhase: rand.Float64(), refuseAfter: math.MaxInt64,
	}
	c.fallback = newScheduler(clk, c.deliver, listUsable)
	c.limits = newServerLimits(clk, logging.For(logging.Frontend))
	c.pauses = newServerPauses(clk, logging.For(logging.Frontend))
	c.leavingServers = func() []hostlink.LeavingServer { return nil }
	c.newConfig = func() {}
	return c
}

// follow sends routing requests to the leader at addr from now on.
func (c *leaderClient) follow(addr netip.AddrPort, epoch int64) {
	c.mu.Lock()
	if c.ownScheduler == nil && c.leader == addr && c.epoch == epoch {
		c.mu.Unlock()
		return
	}
	c.ownScheduler, c.leader, c.epoch, c.leaderDenied, c.followed = nil, addr, epoch, false, true
	c.lastHeard = c.clk.Now()
	c.unansweredSince = 0
	c.mu.Unlock()
	logging.For(logging.Lead).With("leader", addr.String()).With("epoch", epoch).Info("this host follows a leader")
	c.passLimits(c.limits.list())
	c.passLeaving(c.leavingServers())
	c.passPauses(c.pauses.list())
	c.resubmitAll()
}

// setOwnScheduler passes requests to the leader's scheduler of this host. A nil
// scheduler ends that, and leaves the client without a leader.
func (c *leaderClient) setOwnScheduler(own *scheduler, epoch int64) {
	c.mu.Lock()
	c.ownScheduler, c.leader, c.epoch, c.followed = own, netip.AddrPort{}, epoch, true
	c.lastHeard = c.clk.Now()
	c.reports = nil
	c.mu.Unlock()
	c.passLimits(c.limits.list())
	c.passPauses(c.pauses.list())
	c.resubmitAll()
}

// setOwnEpoch changes the epoch of this host while it leads.
func (c *leaderClient) setOwnEpoch(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = epoch
}

// knownAddresses returns the addresses of the hosts that this host knows of: the leader
// and peers.
func (c *leaderClient) knownAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for _, a := range append(slices.Clone(c.peers), c.leader) {
		if a.IsValid() {
			addresses = append(addresses, a.String())
		}
	}
	return addresses
}

// resubmitAll submits all pending requests again after a change of the leader.
func (c *leaderClient) resubmitAll() {
	c.mu.Lock()
	var list []*routingRequest
	for _, r := range c.pending {
		if r.hedge {
			continue // a new leader does not know the first copy
		}
		r.queued, r.timedOut = false, false
		r.firstSent, r.lastSent = c.clk.Now(), c.clk.Now()
		list = append(list, r)
	}
	c.mu.Unlock()
	for _, r := range list {
		c.submit(r)
	}
}

// requestServer returns the decision on a request, and the number under which
// the exchange is reported.
func (c *leaderClient) requestServer(ctx context.Context, serviceHash uint32, job schedule.Job) (schedule.Decision, uint32, error) {
	c.mu.Lock()
	c.lastNumber++
	job.ID = schedule.JobID{HostIncarnation: c.incarnation, Number: c.lastNumber}
	job.DataCentre = c.dataCentre
	now := c.clk.Now()
	r := &routingRequest{serviceHash: serviceHash, job: job, decision: make(chan schedule.Decision, 1), lastSent: now, firstSent: now}
	if job.Deadline > c.refuseAfter {
		c.mu.Unlock()
		return hostStopsDecision(&r.job), job.ID.Number, nil
	}
	c.pending[job.ID.Number] = r
	c.mu.Unlock()
	c.submit(r)
	select {
	case dec := <-r.decision:
		return dec, job.ID.Number, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, job.ID.Number)
		c.mu.Unlock()
		c.report(schedule.Report{ID: job.ID, Result: schedule.CallerDisconnected})
		return schedule.Decision{}, job.ID.Number, ctx.Err()
	}
}

// refuseDeadlinesAfter refuses the requests that wait for a server and whose deadline is
// after latest, and from now on all others of that kind. A stopping host calls it with
// the time at which it gives up requests, so that it passes on only what ends before, and
// with zero while there is time for the requests that run: a request that still waited at
// the end would be cut off without a response.
func (c *leaderClient) refuseDeadlinesAfter(latest time.Duration) {
	c.mu.Lock()
	c.refuseAfter = min(c.refuseAfter, latest)
	var refused []*routingRequest
	for number, r := range c.pending {
		if r.job.Deadline > latest {
			refused = append(refused, r)
			delete(c.pending, number)
		}
	}
	c.mu.Unlock()
	for _, r := range refused {
		r.decision <- hostStopsDecision(&r.job)
		c.report(schedule.Report{ID: r.job.ID, Result: schedule.CallerDisconnected})
	}
}

// hostStopsDecision refuses a request that another host can serve at once.
func hostStopsDecision(j *schedule.Job) schedule.Decision {
	return schedule.Decision{Job: j, Refused: true, Reason: schedule.HostStops, RetryAfter: minRetryAfter}
}

// submit passes a request to the leader, or to a scheduler of this host.
func (c *leaderClient) submit(r *routingRequest) {
	c.mu.Lock()
	now := c.clk.Now()
	local := c.localScheduler(r, now)
	leader := c.leader
	if local == c.fallback && leader.IsValid() && !r.timedOut {
		r.timedOut = true
		c.timedOut++
	}
	if local == nil {
		r.lastSent = now
		if c.unansweredSince == 0 {
			c.unansweredSince = now
		}
	}
	c.mu.Unlock()
	if local != nil {
		job := r.job
		local.add(r.serviceHash, &job)
		return
	}
	c.sendToLeader(leader, []hostlink.RoutingRequest{c.encodeRequest(r, now)})
}

// localScheduler returns the scheduler of this host that handles the request,
// or nil if the leader does.
func (c *leaderClient) localScheduler(r *routingRequest, now time.Duration) *scheduler {
	switch {
	case c.ownScheduler != nil:
		return c.ownScheduler
	case !c.leader.IsValid(), now-r.firstSent >= fallbackDelay && !r.queued, c.unansweredSince != 0 && now-c.unansweredSince > fallbackDelay:
		return c.fallback
	default:
		return nil
	}
}

func (c *leaderClient) encodeRequest(r *routingRequest, now time.Duration) hostlink.RoutingRequest {
	tried := make([]string, len(r.job.Tried))
	for i, t := range r.job.Tried {
		tried[i] = string(t)
	}
	return hostlink.RoutingRequest{
		Number: r.job.ID.Number, Service: r.serviceHash, Class: r.job.Class, Content: r.job.ContentHash,
		Key: int32(r.job.Key), Priority: uint8(r.job.Priority),
		TargetMS: int32((r.job.Target - now).Milliseconds()), DeadlineMS: int32((r.job.Deadline - now).Milliseconds()),
		Tried: tried,
	}
}

// sendToLeader sends a message to the leader with the reports that it has not
// acknowledged.
func (c *leaderClient) sendToLeader(leader netip.AddrPort, requests []hostlink.RoutingRequest) {
	if !leader.IsValid() {
		return
	}
	c.mu.Lock()
	now := c.clk.Now()
	m := &hostlink.ToLeader{
		Incarnation: c.incarnation, DataCentre: string(c.dataCentre), Epoch: c.epoch, CPUPercent: c.cpuPercent, Requests: requests,
		FirstReport: c.firstReport, Reports: c.reports[:min(len(c.reports), maxDatagramItems)], TimedOut: c.timedOut,
	}
	c.lastSent, c.timedOut = now, 0
	if len(c.reports) > 0 {
		c.reportsSentAt = now
	}
	c.mu.Unlock()
	// A datagram that cannot be sent is repeated like one that was lost.
	_ = c.link.SendToLeader(leader, m)
}

// report passes the result of an exchange to the schedulers that may have
// decided on it.
func (c *leaderClient) report(r schedule.Report) {
	c.mu.Lock()
	own, leader := c.ownScheduler, c.leader
	if own == nil && leader.IsValid() {
		m := hostlink.Report{Number: r.ID.Number, Result: uint8(r.Result), TookMS: uint32(r.Duration.Milliseconds()), Running: -1}
		if r.LoadKnown {
			m.Running, m.Waiting = int16(r.Running), int16(r.Waiting)
		}
		if len(c.reports) >= maxUnackedReports {
			c.reports = c.reports[1:]
			c.firstReport++
		}
		c.reports = append(c.reports, m)
	}
	c.mu.Unlock()
	c.fallback.recordReport(r)
	if own != nil {
		own.recordReport(r)
		return
	}
	c.sendToLeader(leader, nil)
}

// unknownHostCount is assumed by a host that was never told how many hosts share a
// limit: about the number of hosts of the largest deployment.
const unknownHostCount = 300

// recordLimit passes what a response says of the limit of its server to the
// schedulers that may send it requests. Known is true if the scheduler that chose
// the server knew a limit.
func (c *leaderClient) recordLimit(l serverLimit, known bool) {
	if !c.limits.record(l) && !known {
		return
	}
	c.fallback.setLimit(l, c.limitShare())
	c.passLimits([]serverLimit{l})
}

// passLimits passes limits to the leader, or to the scheduler of this host if it
// leads.
func (c *leaderClient) passLimits(limits []serverLimit) {
	c.mu.Lock()
	own, leader := c.ownScheduler, c.leader
	c.mu.Unlock()
	if own != nil {
		for _, l := range limits {
			own.setLimit(l, schedule.LimitShare{})
		}
		return
	}
	if !leader.IsValid() {
		return
	}
	for part := range slices.Chunk(limits, maxDatagramItems) {
		m := new(hostlink.ServerLimits)
		for _, l := range part {
			m.Limits = append(m.Limits, hostlink.ServerLimit{Service: l.service, Server: string(l.server), PerSecond: l.limit.PerSecond})
		}
		_ = c.link.SendServerLimits(leader, m) // the next response of the server states its limit again
	}
}

// passLeaving tells the leader of servers that announced their shutdown. A host that
// leads learns of them from its own list of servers.
func (c *leaderClient) passLeaving(servers []hostlink.LeavingServer) {
	c.mu.Lock()
	own, leader := c.ownScheduler, c.leader
	c.mu.Unlock()
	if own != nil || !leader.IsValid() {
		return
	}
	for part := range slices.Chunk(servers, maxDatagramItems) {
		// The leader is told again when it next chooses the server.
		_ = c.link.SendLeavingServers(leader, &hostlink.LeavingServers{Servers: part})
	}
}

// deliver passes decisions of a scheduler or the leader to the waiting requests
// of this host.
func (c *leaderClient) deliver(decisions []schedule.Decision) {
	for _, dec := range decisions {
		c.mu.Lock()
		r := c.pending[dec.Job.ID.Number]
		if r != nil && dec.Job.ID.HostIncarnation == c.incarnation {
			delete(c.pending, dec.Job.ID.Number)
		}
		c.mu.Unlock()
		if r != nil {
			r.decision <- dec
		}
	}
}

// handle processes a message of the leader, or of a host that was asked for the
// leader.
func (c *leaderClient) handle(from netip.AddrPort, m *hostlink.FromLeader) {
	c.mu.Lock()
	if m.Epoch > c.epoch {
		// A later leader announces itself, or another host names it.
		leader, err := from, error(nil)
		if !m.Leads {
			leader, err = netip.ParseAddrPort(m.Leader)
		}
		leads := c.ownScheduler != nil
		c.mu.Unlock()
		switch {
		case err != nil:
		case leads:
			c.endLeadership()
		default:
			c.follow(leader, m.Epoch)
		}
		return
	}
	if c.ownScheduler != nil || from != c.leader {
		c.mu.Unlock()
		return
	}
	if !m.Leads {
		c.leader, c.leaderDenied = netip.AddrPort{}, true
		c.mu.Unlock()
		c.suspectLeader()
		return
	}
	c.setPeers(m.Peers)
	c.lastHeard, c.unansweredSince = c.clk.Now(), 0
	c.learnHostCount(int(m.Hosts))
	c.leaderListAge = time.Duration(m.DirectoryAgeMS) * time.Millisecond
	if m.ConfigVersion > c.leaderConfigVersion {
		defer c.newConfig()
	}
	c.leaderConfigVersion = m.ConfigVersion
	if n := int32(m.AckedReport - c.firstReport + 1); n > 0 {
		c.reports = c.reports[min(int(n), len(c.reports)):]
		c.firstReport += uint32(n)
	}
	var decisions []schedule.Decision
	for _, dec := range m.Decisions {
		r := c.pending[dec.Number]
		if r == nil {
			continue
		}
		if dec.Kind == hostlink.KindQueued {
			r.queued = true
			continue
		}
		decisions = append(decisions, schedule.Decision{
			Job: &r.job, Server: topology.ServerID(dec.Server), Address: dec.Address,
			Refused: dec.Kind == hostlink.KindRefused, Reason: schedule.Reason(dec.Reason),
			RetryAfter: time.Duration(dec.RetryAfterMS) * time.Millisecond,
			Limited:    dec.Kind == hostlink.KindAssignedLimited,
		})
	}
	c.mu.Unlock()
	c.deliver(decisions)
}

// setPeers replaces the known addresses of other hosts. The caller holds the
// lock.
func (c *leaderClient) setPeers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.peers = c.peers[:0]
	for _, text := range addresses {
		if a, err := netip.ParseAddrPort(text); err == nil {
			c.peers = append(c.peers, a)
		}
	}
}

// announceLeadership tells the peers and the given other addresses that this
// host leads.
func (c *leaderClient) announceLeadership(m hostlink.FromLeader, others []netip.AddrPort) {
	c.mu.Lock()
	m.Leads, m.Epoch = true, c.epoch
	addresses := append(slices.Clone(c.peers), others...)
	c.mu.Unlock()
	for _, a := range addresses {
		_ = c.link.SendFromLeader(a, &m) // hosts that do not receive it find the leader through the store or their peers
	}
}

// askPeerForLeader asks another host for the leader, for the case that this
// host reaches neither the leader nor the store.
func (c *leaderClient) askPeerForLeader(now time.Duration) {
	c.mu.Lock()
	if len(c.peers) == 0 || now-c.peerAskedAt < peerAskInterval {
		c.mu.Unlock()
		return
	}
	c.peerAskedAt = now
	c.peerIndex++
	a := c.peers[c.peerIndex%len(c.peers)]
	c.mu.Unlock()
	_ = c.link.SendToLeader(a, &hostlink.ToLeader{Incarnation: c.incarnation, DataCentre: string(c.dataCentre), FirstReport: 1})
}

// leaderLostStore reports whether the list of servers of the leader is so old
// that it must have lost the store, although it responds.
func (c *leaderClient) leaderLostStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownScheduler == nil && c.leader.IsValid() && c.leaderListAge > c.active.timing().takeoverListAge && c.clk.Now()-c.lastHeard < leaderTimeout*4
}

// currentLeader returns the leader that this host follows, and its epoch.
func (c *leaderClient) currentLeader() (netip.AddrPort, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.epoch
}

const (
	// peerAskInterval is the interval at which peers are asked for the leader.
	peerAskInterval = 100 * time.Millisecond
	// heartbeatInterval is the interval at which a host without requests sends
	// an empty message to the leader.
	heartbeatInterval = 700 * time.Millisecond
	// heartbeatRetryInterval is the interval at which a host repeats its message to a leader
	// that does not respond, until leaderTimeout: a leader responds within its tick of 40 ms.
	// With one message, a lost datagram made an idle host search for a leader in the store.
	heartbeatRetryInterval = 80 * time.Millisecond
	// leaderTimeout is the time that the first unanswered message may wait
	// before the leader is suspected.
	leaderTimeout = 250 * time.Millisecond
)

// tick repeats requests and reports without a response, and looks for another
// leader if the present one does not respond.
func (c *leaderClient) tick() {
	c.mu.Lock()
	now := c.clk.Now()
	retries := c.dueRetries(now)
	leader := c.leader
	unanswered := c.unansweredSince != 0 && now-c.unansweredSince <= leaderTimeout
	sendDue := c.ownScheduler == nil && leader.IsValid() &&
		((len(c.reports) > 0 && now-c.reportsSentAt >= reportRetryInterval) || now-c.lastSent >= heartbeatInterval ||
			(unanswered && now-c.lastSent >= heartbeatRetryInterval))
	if sendDue && c.unansweredSince == 0 {
		c.unansweredSince = now
	}
	silent := c.leaderSilentLocked(now)
	c.mu.Unlock()
	for _, r := range retries {
		c.submit(r)
	}
	if sendDue {
		c.sendToLeader(leader, nil)
	}
	if silent {
		c.suspectLeader()
		c.askPeerForLeader(now)
	}
	if c.leaderLostStore() {
		c.suspectLeader()
	}
	c.pauses.endOver()
	c.fallback.dispatch()
}

// dueRetries returns the requests that are due to be repeated.
func (c *leaderClient) dueRetries(now time.Duration) []*routingRequest {
	var due []*routingRequest
	for _, r := range c.pending {
		wait := requestRetryInterval
		if r.queued {
			wait = queuedRetryInterval
		}
		if now-r.lastSent >= wait && !r.hedge {
			due = append(due, r)
		}
	}
	return due
}

// hasPending reports whether requests or reports wait for a response.
func (c *leaderClient) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 || len(c.reports) > 0
}

// leaderSilent reports whether there is no leader or it does not respond.
func (c *leaderClient) leaderSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderSilentLocked(c.clk.Now())
}

// leaderSilentLocked is leaderSilent for a caller that holds the lock.
func (c *leaderClient) leaderSilentLocked(now time.Duration) bool {
	return c.ownScheduler == nil && (!c.leader.IsValid() || (c.unansweredSince != 0 && now-c.unansweredSince > leaderTimeout))
}

// leaderState is what a host knows of its leader; leads is true if it leads
// itself.
type leaderState struct {
	leads         bool
	followed      bool // whether the host has ever followed a leader or led
	hosts         int
	listAge       time.Duration
	configVersion int64
}

func (c *leaderClient) state() leaderState {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.leaderListAge
	if silence := c.clk.Now() - c.lastHeard; silence > heartbeatInterval+leaderTimeout {
		// The leader should have responded to a heartbeat by now.
		age += silence
	}
	return leaderState{leads: c.ownScheduler != nil, followed: c.followed, hosts: c.hostCount, listAge: age, configVersion: c.leaderConfigVersion}
}

func (c *leaderClient) setHostCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnHostCount(n)
}

// learnHostCount is setHostCount for a caller that holds the lock.
func (c *leaderClient) learnHostCount(n int) {
	c.hostCount = max(1, n)
	c.maxHostCount = max(c.maxHostCount, c.hostCount)
}

// followAfterDenial follows the leader at addr again if it responded that it
// does not lead, and reports whether it did so. A new leader may learn that its
// claim was stored later than this host does.
func (c *leaderClient) followAfterDenial(addr netip.AddrPort, epoch int64) bool {
	c.mu.Lock()
	retry := c.leaderDenied && c.ownScheduler == nil && epoch >= c.epoch
	c.mu.Unlock()
	if retry {
		c.follow(addr, epoch)
	}
	return retry
}

// followIfNew follows the leader at addr and returns true, unless the store
// named the same member before or the epoch is older. It returns false if the
// store still names the leader that does not respond.
func (c *leaderClient) followIfNew(addr netip.AddrPort, member string, epoch int64) bool {
	c.mu.Lock()
	known := c.leaderMember == member || epoch < c.epoch
	c.leaderMember = member
	c.mu.Unlock()
	if known {
		return false
	}
	c.follow(addr, epoch)
	return true
}
