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
	askRepeat = 45 * time.Millisecond
	// askGiveUp is the time after which an unanswered question goes to the core
	// of this host.
	askGiveUp = 140 * time.Millisecond
	// queuedRepeat is the interval at which a question that waits is repeated,
	// so that a new leader learns of it.
	queuedRepeat = 500 * time.Millisecond
	// reportRepeat is the time after which unacknowledged reports are repeated.
	reportRepeat = 60 * time.Millisecond
	// maxReports bounds the unacknowledged reports; older ones are dropped, and
	// their requests end at the leader by their deadline.
	maxReports = 64
	// maxBatch bounds the questions and reports of one datagram.
	maxBatch = 16
)

// question is a request that waits for a decision.
type question struct {
	service uint32
	job     schedule.Job
	ch      chan schedule.Decision
	sent    time.Duration
	first   time.Duration
	queued  bool
	// gaveUp is true once the question went to the core of this host because the
	// leader did not answer it.
	gaveUp bool
}

// desk asks the leader for servers and reports exchanges to it. If this host
// leads, or no leader answers, it uses a core of this host.
//
// Lock order: desk.mu is never held while a core is called or a datagram is
// sent, so it comes neither before nor after core.mu and peers.mu.
type desk struct {
	clk        clock.Clock
	link       *hostlink.Link
	host       uint64
	dataCentre topology.DataCentre
	strength   uint16 // share of a processor in percent
	terms      *terms
	// suspect is called when the leader does not answer.
	suspect func()

	mu        sync.Mutex
	number    uint32
	questions map[uint32]*question
	leader    netip.AddrPort
	epoch     int64
	own       *core // the core of this host while it leads
	fallback  *core
	member    string        // of the leader, as the store names it
	denied    bool          // that leader answered that it does not lead
	heard     time.Duration // last message of the leader
	told      time.Duration // last message to the leader
	gaveUp    uint16        // questions given up since then
	misses    time.Duration // first unanswered send since heard; zero if none
	first     uint32        // number of the first report in reports
	reports   []hostlink.Report
	reportAt  time.Duration
	hosts     int
	dirAge    time.Duration // of the leader's list of servers, at heard
	version   int64         // of the configuration that the leader knows
	// peers holds addresses of other hosts, asked in turn when the leader does
	// not answer.
	peers  []netip.AddrPort
	turn   int
	asked  time.Duration // last message to a peer
	depose func()        // ends the lead of this host
}

func newDesk(clk clock.Clock, link *hostlink.Link, host uint64, dc topology.DataCentre, suspect func(), trusted func() bool) *desk {
	d := &desk{
		clk: clk, link: link, host: host, dataCentre: dc, suspect: suspect,
		questions: make(map[uint32]*question), first: 1, hosts: 1,
	}
	d.fallback = newCore(clk, d.decide, trusted)
	return d
}

// follow makes the desk ask the leader at addr.
func (d *desk) follow(addr netip.AddrPort, epoch int64) {
	d.mu.Lock()
	if d.own == nil && d.leader == addr && d.epoch == epoch {
		d.mu.Unlock()
		return
	}
	d.own, d.leader, d.epoch, d.denied = nil, addr, epoch, false
	d.heard = d.clk.Now()
	d.misses = 0
	d.mu.Unlock()
	logging.For(logging.Lead).With("leader", addr.String()).With("epoch", epoch).Info("this host follows a leader")
	d.askAgain()
}

// lead makes the desk ask the core of this host; nil if no leader is known.
func (d *desk) lead(own *core, epoch int64) {
	d.mu.Lock()
	d.own, d.leader, d.epoch = own, netip.AddrPort{}, epoch
	d.heard = d.clk.Now()
	d.reports = nil
	d.mu.Unlock()
	d.askAgain()
}

// askAgain asks all open questions anew after a change of the leader.
func (d *desk) askAgain() {
	d.mu.Lock()
	var list []*question
	for _, q := range d.questions {
		q.queued, q.gaveUp = false, false
		q.first, q.sent = d.clk.Now(), d.clk.Now()
		list = append(list, q)
	}
	d.mu.Unlock()
	for _, q := range list {
		d.send(q)
	}
}

// ask returns the decision on a request, and the number under which the exchange
// is reported.
func (d *desk) ask(ctx context.Context, service uint32, job schedule.Job) (schedule.Decision, uint32, error) {
	d.mu.Lock()
	d.number++
	job.ID = schedule.JobID{Host: d.host, Number: d.number}
	job.DataCentre = d.dataCentre
	now := d.clk.Now()
	q := &question{service: service, job: job, ch: make(chan schedule.Decision, 1), sent: now, first: now}
	d.questions[job.ID.Number] = q
	d.mu.Unlock()
	d.send(q)
	select {
	case dec := <-q.ch:
		return dec, job.ID.Number, nil
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.questions, job.ID.Number)
		d.mu.Unlock()
		d.report(schedule.Report{ID: job.ID, Result: schedule.Left})
		return schedule.Decision{}, job.ID.Number, ctx.Err()
	}
}

// send passes a question to the leader, or to a core of this host.
func (d *desk) send(q *question) {
	d.mu.Lock()
	now := d.clk.Now()
	local := d.local(q, now)
	leader := d.leader
	if local == d.fallback && leader.IsValid() && !q.gaveUp {
		q.gaveUp = true
		d.gaveUp++
	}
	if local == nil {
		q.sent = now
		if d.misses == 0 {
			d.misses = now
		}
	}
	d.mu.Unlock()
	if local != nil {
		job := q.job
		local.add(q.service, &job)
		return
	}
	d.tell(leader, []hostlink.RoutingRequest{d.encode(q, now)})
}

// local returns the core of this host if the question goes there.
func (d *desk) local(q *question, now time.Duration) *core {
	switch {
	case d.own != nil:
		return d.own
	case !d.leader.IsValid(), now-q.first >= askGiveUp && !q.queued, d.misses != 0 && now-d.misses > askGiveUp:
		return d.fallback
	default:
		return nil
	}
}

func (d *desk) encode(q *question, now time.Duration) hostlink.RoutingRequest {
	tried := make([]string, len(q.job.Tried))
	for i, t := range q.job.Tried {
		tried[i] = string(t)
	}
	return hostlink.RoutingRequest{
		Number: q.job.ID.Number, Service: q.service, Class: q.job.Class, Content: q.job.Content,
		Key: int32(q.job.Key), Priority: uint8(q.job.Priority),
		TargetMS: int32((q.job.Target - now).Milliseconds()), DeadlineMS: int32((q.job.Deadline - now).Milliseconds()),
		Tried: tried,
	}
}

// tell sends a message to the leader with all reports that it has not
// acknowledged.
func (d *desk) tell(leader netip.AddrPort, questions []hostlink.RoutingRequest) {
	if !leader.IsValid() {
		return
	}
	d.mu.Lock()
	now := d.clk.Now()
	m := &hostlink.ToLeader{
		Incarnation: d.host, DataCentre: string(d.dataCentre), Epoch: d.epoch, CPUPercent: d.strength, Requests: questions,
		FirstReport: d.first, Reports: d.reports[:min(len(d.reports), maxBatch)], TimedOut: d.gaveUp,
	}
	d.told, d.gaveUp = now, 0
	if len(d.reports) > 0 {
		d.reportAt = now
	}
	d.mu.Unlock()
	// A datagram that cannot be sent is repeated like one that was lost.
	_ = d.link.SendToLeader(leader, m)
}

// report tells the end of an exchange to the one that decided on it.
func (d *desk) report(r schedule.Report) {
	d.mu.Lock()
	own, leader := d.own, d.leader
	if own == nil && leader.IsValid() {
		m := hostlink.Report{Number: r.ID.Number, Result: uint8(r.Result), TookMS: uint32(r.Took.Milliseconds()), Running: -1}
		if r.Known {
			m.Running, m.Waiting = int16(r.Running), int16(r.Waiting)
		}
		if len(d.reports) >= maxReports {
			d.reports = d.reports[1:]
			d.first++
		}
		d.reports = append(d.reports, m)
	}
	d.mu.Unlock()
	d.fallback.done(r)
	if own != nil {
		own.done(r)
		return
	}
	d.tell(leader, nil)
}

// decide passes decisions of a core to the questions of this host.
func (d *desk) decide(list []schedule.Decision) {
	for _, dec := range list {
		d.mu.Lock()
		q := d.questions[dec.Job.ID.Number]
		if q != nil && dec.Job.ID.Host == d.host {
			delete(d.questions, dec.Job.ID.Number)
		}
		d.mu.Unlock()
		if q != nil {
			q.ch <- dec
		}
	}
}

// handle takes a message of the leader, or of a host that was taken for it.
func (d *desk) handle(from netip.AddrPort, m *hostlink.FromLeader) {
	d.mu.Lock()
	if m.Epoch > d.epoch {
		// A later leader makes itself known, or another host knows it.
		leader, err := from, error(nil)
		if !m.Leads {
			leader, err = netip.ParseAddrPort(m.Leader)
		}
		own := d.own != nil
		d.mu.Unlock()
		switch {
		case err != nil:
		case own:
			d.depose()
		default:
			d.follow(leader, m.Epoch)
		}
		return
	}
	if d.own != nil || from != d.leader {
		d.mu.Unlock()
		return
	}
	if !m.Leads {
		d.leader, d.denied = netip.AddrPort{}, true
		d.mu.Unlock()
		d.suspect()
		return
	}
	d.learn(m.Peers)
	d.heard, d.misses = d.clk.Now(), 0
	d.hosts = max(1, int(m.Hosts))
	d.dirAge = time.Duration(m.DirectoryAgeMS) * time.Millisecond
	d.version = m.ConfigVersion
	if n := int32(m.AckedReport - d.first + 1); n > 0 {
		d.reports = d.reports[min(int(n), len(d.reports)):]
		d.first += uint32(n)
	}
	var answers []schedule.Decision
	for _, dec := range m.Decisions {
		q := d.questions[dec.Number]
		if q == nil {
			continue
		}
		if dec.Kind == hostlink.KindQueued {
			q.queued = true
			continue
		}
		answers = append(answers, schedule.Decision{
			Job: &q.job, Server: topology.ServerID(dec.Server), Address: dec.Address,
			Refused: dec.Kind == hostlink.KindRefused, Reason: schedule.Reason(dec.Reason),
			RetryAfter: time.Duration(dec.RetryAfterMS) * time.Millisecond,
		})
	}
	d.mu.Unlock()
	d.decide(answers)
}

// learn remembers the addresses of other hosts.
func (d *desk) learn(list []string) {
	if len(list) == 0 {
		return
	}
	d.peers = d.peers[:0]
	for _, text := range list {
		if a, err := netip.ParseAddrPort(text); err == nil {
			d.peers = append(d.peers, a)
		}
	}
}

// announce makes this host known as the leader to its peers and to others.
func (d *desk) announce(m hostlink.FromLeader, others []netip.AddrPort) {
	d.mu.Lock()
	m.Leads, m.Epoch = true, d.epoch
	list := append(slices.Clone(d.peers), others...)
	d.mu.Unlock()
	for _, a := range list {
		_ = d.link.SendFromLeader(a, &m) // hosts that miss it ask the store or their peers
	}
}

// inquire asks another host for the leader: this host may reach neither the
// leader nor the store.
func (d *desk) inquire(now time.Duration) {
	d.mu.Lock()
	if len(d.peers) == 0 || now-d.asked < inquireInterval {
		d.mu.Unlock()
		return
	}
	d.asked = now
	d.turn++
	a := d.peers[d.turn%len(d.peers)]
	d.mu.Unlock()
	_ = d.link.SendToLeader(a, &hostlink.ToLeader{Incarnation: d.host, DataCentre: string(d.dataCentre), FirstReport: 1})
}

// blind reports whether the leader says that it has lost the store.
func (d *desk) blind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own == nil && d.leader.IsValid() && d.dirAge > d.terms.timing().blindAge && d.clk.Now()-d.heard < leaderSilence*4
}

// followed returns the leader and its epoch.
func (d *desk) followed() (netip.AddrPort, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader, d.epoch
}

const (
	// inquireInterval is the interval at which peers are asked for the leader.
	inquireInterval = 100 * time.Millisecond
	// heartbeat is the interval at which a host without requests shows itself.
	heartbeat = 700 * time.Millisecond
	// leaderSilence is the time without a message after which the leader is
	// suspected, if something was sent to it.
	leaderSilence = 250 * time.Millisecond
)

// tick repeats what was not answered.
func (d *desk) tick() {
	d.mu.Lock()
	now := d.clk.Now()
	again := d.unanswered(now)
	leader := d.leader
	tell := d.own == nil && leader.IsValid() &&
		((len(d.reports) > 0 && now-d.reportAt >= reportRepeat) || now-d.told >= heartbeat)
	if tell && d.misses == 0 {
		d.misses = now
	}
	silent := d.silentAt(now)
	d.mu.Unlock()
	for _, q := range again {
		d.send(q)
	}
	if tell {
		d.tell(leader, nil)
	}
	if silent {
		d.suspect()
		d.inquire(now)
	}
	if d.blind() {
		d.suspect()
	}
	d.fallback.run()
}

// unanswered returns the questions that are due to be repeated.
func (d *desk) unanswered(now time.Duration) []*question {
	var again []*question
	for _, q := range d.questions {
		wait := askRepeat
		if q.queued {
			wait = queuedRepeat
		}
		if now-q.sent >= wait {
			again = append(again, q)
		}
	}
	return again
}

// busy reports whether tick has something to wait for.
func (d *desk) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.questions) > 0 || len(d.reports) > 0
}

// silent reports whether the leader does not answer.
func (d *desk) silent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silentAt(d.clk.Now())
}

// silentAt is silent for a caller that holds the lock.
func (d *desk) silentAt(now time.Duration) bool {
	return d.own == nil && (!d.leader.IsValid() || (d.misses != 0 && now-d.misses > leaderSilence))
}

// deskState is what the desk knows from the leader.
type deskState struct {
	leads         bool
	hosts         int
	directoryAge  time.Duration
	configVersion int64
}

func (d *desk) state() deskState {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := d.dirAge
	if quiet := d.clk.Now() - d.heard; quiet > heartbeat+leaderSilence {
		// The leader should have answered a heartbeat by now.
		age += quiet
	}
	return deskState{leads: d.own != nil, hosts: d.hosts, directoryAge: age, configVersion: d.version}
}

func (d *desk) setHosts(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = max(1, n)
}

// askOnceMore makes the desk follow the leader at addr again if it answered that it
// does not lead: it may have learned of its own claim later than this host.
func (d *desk) askOnceMore(addr netip.AddrPort, epoch int64) bool {
	d.mu.Lock()
	again := d.denied && d.own == nil && epoch >= d.epoch
	d.mu.Unlock()
	if again {
		d.follow(addr, epoch)
	}
	return again
}

// knows makes the desk follow the leader at addr if it did not ask it before.
// It returns false if that leader is the one that does not answer.
func (d *desk) knows(addr netip.AddrPort, member string, epoch int64) bool {
	d.mu.Lock()
	known := d.member == member || epoch < d.epoch
	d.member = member
	d.mu.Unlock()
	if known {
		return false
	}
	d.follow(addr, epoch)
	return true
}
