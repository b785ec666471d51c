package gateway

import (
	"context"
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
	// askRepeat is the time after which an unanswered question is repeated: a
	// few round trips between data centres.
	requestRetryInterval = 45 * time.Millisecond
	// askGiveUp is the time after which an unanswered question goes to the core
	// of this host.
	fallbackDelay = 140 * time.Millisecond
	// queuedRepeat is the interval at which a question that waits is repeated,
	// so that a new leader learns of it.
	queuedRetryInterval = 500 * time.Millisecond
	// reportRepeat is the time after which unacknowledged reports are repeated.
	reportRetryInterval = 60 * time.Millisecond
	// maxReports bounds the unacknowledged reports; older ones are dropped, and
	// their requests end at the leader by their deadline.
	maxUnackedReports = 64
	// maxBatch bounds the questions and reports of one datagram.
	maxDatagramItems = 16
)

// question is a request that waits for a decision.
type routingRequest struct {
	serviceHash uint32
	job         schedule.Job
	decision    chan schedule.Decision
	lastSent    time.Duration
	firstSent   time.Duration
	queued      bool
	// gaveUp is true once the question went to the core of this host because the
	// leader did not answer it.
	abandoned bool
}

// desk asks the leader for servers and reports exchanges to it. If this host
// leads, or no leader answers, it uses a core of this host.
//
// Lock order: desk.mu is never held while a core is called or a datagram is
// sent, so it comes neither before nor after core.mu and peers.mu.
type leaderClient struct {
	clk         clock.Clock
	link        *hostlink.Link
	incarnation uint64
	dataCentre  topology.DataCentre
	cpuPercent  uint16 // share of a processor in percent
	active      *activeBounds
	// suspect is called when the leader does not answer.
	suspectLeader func()

	mu                  sync.Mutex
	lastNumber          uint32
	pending             map[uint32]*routingRequest
	leader              netip.AddrPort
	epoch               int64
	ownScheduler        *scheduler // the core of this host while it leads
	fallback            *scheduler
	leaderMember        string        // of the leader, as the store names it
	leaderDenied        bool          // that leader answered that it does not lead
	lastHeard           time.Duration // last message of the leader
	lastSent            time.Duration // last message to the leader
	abandoned           uint16        // questions given up since then
	unansweredSince     time.Duration // first unanswered send since heard; zero if none
	firstReport         uint32        // number of the first report in reports
	reports             []hostlink.Report
	reportsSentAt       time.Duration
	hostCount           int
	leaderListAge       time.Duration // of the leader's list of servers, at heard
	leaderConfigVersion int64         // of the configuration that the leader knows
	// peers holds addresses of other hosts, asked in turn when the leader does
	// not answer.
	peers         []netip.AddrPort
	peerIndex     int
	peerAskedAt   time.Duration // last message to a peer
	endLeadership func()        // ends the lead of this host
}

func newLeaderClient(clk clock.Clock, link *hostlink.Link, incarnation uint64, dc topology.DataCentre, suspectLeader func(), listUsable func() bool) *leaderClient {
	c := &leaderClient{
		clk: clk, link: link, incarnation: incarnation, dataCentre: dc, suspectLeader: suspectLeader,
		pending: make(map[uint32]*routingRequest), firstReport: 1, hostCount: 1,
	}
	c.fallback = newScheduler(clk, c.deliver, listUsable)
	return c
}

// follow makes the desk ask the leader at addr.
func (c *leaderClient) follow(addr netip.AddrPort, epoch int64) {
	c.mu.Lock()
	if c.ownScheduler == nil && c.leader == addr && c.epoch == epoch {
		c.mu.Unlock()
		return
	}
	c.ownScheduler, c.leader, c.epoch, c.leaderDenied = nil, addr, epoch, false
	c.lastHeard = c.clk.Now()
	c.unansweredSince = 0
	c.mu.Unlock()
	logging.For(logging.Lead).With("leader", addr.String()).With("epoch", epoch).Info("this host follows a leader")
	c.resubmitAll()
}

// lead makes the desk ask the core of this host; nil if no leader is known.
func (c *leaderClient) setOwnScheduler(own *scheduler, epoch int64) {
	c.mu.Lock()
	c.ownScheduler, c.leader, c.epoch = own, netip.AddrPort{}, epoch
	c.lastHeard = c.clk.Now()
	c.reports = nil
	c.mu.Unlock()
	c.resubmitAll()
}

// askAgain asks all open questions anew after a change of the leader.
func (c *leaderClient) resubmitAll() {
	c.mu.Lock()
	var list []*routingRequest
	for _, r := range c.pending {
		r.queued, r.abandoned = false, false
		r.firstSent, r.lastSent = c.clk.Now(), c.clk.Now()
		list = append(list, r)
	}
	c.mu.Unlock()
	for _, r := range list {
		c.submit(r)
	}
}

// ask returns the decision on a request, and the number under which the exchange
// is reported.
func (c *leaderClient) requestServer(ctx context.Context, serviceHash uint32, job schedule.Job) (schedule.Decision, uint32, error) {
	c.mu.Lock()
	c.lastNumber++
	job.ID = schedule.JobID{HostIncarnation: c.incarnation, Number: c.lastNumber}
	job.DataCentre = c.dataCentre
	now := c.clk.Now()
	r := &routingRequest{serviceHash: serviceHash, job: job, decision: make(chan schedule.Decision, 1), lastSent: now, firstSent: now}
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

// send passes a question to the leader, or to a core of this host.
func (c *leaderClient) submit(r *routingRequest) {
	c.mu.Lock()
	now := c.clk.Now()
	local := c.localScheduler(r, now)
	leader := c.leader
	if local == c.fallback && leader.IsValid() && !r.abandoned {
		r.abandoned = true
		c.abandoned++
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

// local returns the core of this host if the question goes there.
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
		Number: r.job.ID.Number, Service: r.serviceHash, Class: r.job.Class, Content: r.job.Content,
		Key: int32(r.job.Key), Priority: uint8(r.job.Priority),
		TargetMS: int32((r.job.Target - now).Milliseconds()), DeadlineMS: int32((r.job.Deadline - now).Milliseconds()),
		Tried: tried,
	}
}

// tell sends a message to the leader with all reports that it has not
// acknowledged.
func (c *leaderClient) sendToLeader(leader netip.AddrPort, requests []hostlink.RoutingRequest) {
	if !leader.IsValid() {
		return
	}
	c.mu.Lock()
	now := c.clk.Now()
	m := &hostlink.ToLeader{
		Incarnation: c.incarnation, DataCentre: string(c.dataCentre), Epoch: c.epoch, CPUPercent: c.cpuPercent, Requests: requests,
		FirstReport: c.firstReport, Reports: c.reports[:min(len(c.reports), maxDatagramItems)], TimedOut: c.abandoned,
	}
	c.lastSent, c.abandoned = now, 0
	if len(c.reports) > 0 {
		c.reportsSentAt = now
	}
	c.mu.Unlock()
	// A datagram that cannot be sent is repeated like one that was lost.
	_ = c.link.SendToLeader(leader, m)
}

// report tells the end of an exchange to the one that decided on it.
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

// decide passes decisions of a core to the questions of this host.
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

// handle takes a message of the leader, or of a host that was taken for it.
func (c *leaderClient) handle(from netip.AddrPort, m *hostlink.FromLeader) {
	c.mu.Lock()
	if m.Epoch > c.epoch {
		// A later leader makes itself known, or another host knows it.
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
	c.hostCount = max(1, int(m.Hosts))
	c.leaderListAge = time.Duration(m.DirectoryAgeMS) * time.Millisecond
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
		})
	}
	c.mu.Unlock()
	c.deliver(decisions)
}

// learn remembers the addresses of other hosts.
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

// announce makes this host known as the leader to its peers and to others.
func (c *leaderClient) announceLeadership(m hostlink.FromLeader, others []netip.AddrPort) {
	c.mu.Lock()
	m.Leads, m.Epoch = true, c.epoch
	addresses := append(slices.Clone(c.peers), others...)
	c.mu.Unlock()
	for _, a := range addresses {
		_ = c.link.SendFromLeader(a, &m) // hosts that miss it ask the store or their peers
	}
}

// inquire asks another host for the leader: this host may reach neither the
// leader nor the store.
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

// blind reports whether the leader says that it has lost the store.
func (c *leaderClient) leaderLostStore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownScheduler == nil && c.leader.IsValid() && c.leaderListAge > c.active.timing().takeoverListAge && c.clk.Now()-c.lastHeard < leaderTimeout*4
}

// followed returns the leader and its epoch.
func (c *leaderClient) currentLeader() (netip.AddrPort, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.epoch
}

const (
	// inquireInterval is the interval at which peers are asked for the leader.
	peerAskInterval = 100 * time.Millisecond
	// heartbeat is the interval at which a host without requests shows itself.
	heartbeatInterval = 700 * time.Millisecond
	// leaderSilence is the time without a message after which the leader is
	// suspected, if something was sent to it.
	leaderTimeout = 250 * time.Millisecond
)

// tick repeats what was not answered.
func (c *leaderClient) tick() {
	c.mu.Lock()
	now := c.clk.Now()
	retries := c.dueRetries(now)
	leader := c.leader
	sendDue := c.ownScheduler == nil && leader.IsValid() &&
		((len(c.reports) > 0 && now-c.reportsSentAt >= reportRetryInterval) || now-c.lastSent >= heartbeatInterval)
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
	c.fallback.dispatch()
}

// unanswered returns the questions that are due to be repeated.
func (c *leaderClient) dueRetries(now time.Duration) []*routingRequest {
	var due []*routingRequest
	for _, r := range c.pending {
		wait := requestRetryInterval
		if r.queued {
			wait = queuedRetryInterval
		}
		if now-r.lastSent >= wait {
			due = append(due, r)
		}
	}
	return due
}

// busy reports whether tick has something to wait for.
func (c *leaderClient) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 || len(c.reports) > 0
}

// silent reports whether the leader does not answer.
func (c *leaderClient) leaderSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaderSilentLocked(c.clk.Now())
}

// silentAt is silent for a caller that holds the lock.
func (c *leaderClient) leaderSilentLocked(now time.Duration) bool {
	return c.ownScheduler == nil && (!c.leader.IsValid() || (c.unansweredSince != 0 && now-c.unansweredSince > leaderTimeout))
}

// deskState is what the desk knows from the leader.
type leaderState struct {
	leads         bool
	hosts         int
	listAge       time.Duration
	configVersion int64
}

func (c *leaderClient) state() leaderState {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.leaderListAge
	if silence := c.clk.Now() - c.lastHeard; silence > heartbeatInterval+leaderTimeout {
		// The leader should have answered a heartbeat by now.
		age += silence
	}
	return leaderState{leads: c.ownScheduler != nil, hosts: c.hostCount, listAge: age, configVersion: c.leaderConfigVersion}
}

func (c *leaderClient) setHostCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostCount = max(1, n)
}

// askOnceMore makes the desk follow the leader at addr again if it answered that it
// does not lead: it may have learned of its own claim later than this host.
func (c *leaderClient) followAfterDenial(addr netip.AddrPort, epoch int64) bool {
	c.mu.Lock()
	retry := c.leaderDenied && c.ownScheduler == nil && epoch >= c.epoch
	c.mu.Unlock()
	if retry {
		c.follow(addr, epoch)
	}
	return retry
}

// knows makes the desk follow the leader at addr if it did not ask it before.
// It returns false if that leader is the one that does not answer.
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
