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

// peers answers the questions of other hosts while this host leads.
type peers struct {
	clk  clock.Clock
	link *hostlink.Link
	self uint64
	// status returns the header of messages.
	status func() hostlink.FromLeader
	// local takes the decisions on requests of this host.
	local func([]schedule.Decision)

	// known returns the leader that this host follows and its epoch.
	known func() (netip.AddrPort, int64)

	mu   sync.Mutex
	core *core // nil while this host does not lead
	// heard takes the hosts that follow the leader of epoch.
	heard func(host uint64, address string)
	epoch int64
	hosts map[uint64]*peer
	told  int64 // version of the configuration that all hosts were told of
	most  int   // largest number of hosts that were heard at the same time
	// first and again count the questions since the last tick: those that were
	// new, and those that had been answered before or were given up.
	first, again int
}

// peer is what the leader remembers of one host.
type peer struct {
	address netip.AddrPort
	heard   time.Duration
	reports uint32 // number of the last report in order
	// recent holds the last decisions, to repeat those whose datagram was lost.
	recent   map[uint32]hostlink.Decision
	order    []uint32
	ackDue   time.Duration
	strength uint16 // share of a processor in percent
	// listed is the time at which the host was last told of its peers.
	listed time.Duration
}

const (
	recentDecisions = 64
	// ackDelay is the time for which an acknowledgement waits for a decision to
	// travel with; it is below reportRepeat.
	ackDelay = 25 * time.Millisecond
	// listInterval is the interval at which hosts are told of maxPeers others.
	listInterval = 2 * time.Second
	maxPeers     = 12
	// peerSilence is the time after which a host no longer counts as present.
	peerSilence = 1500 * time.Millisecond
)

// lead makes this host answer questions with c; nil ends it.
func (p *peers) lead(c *core, epoch int64, heard func(host uint64, address string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core, p.epoch, p.heard = c, epoch, heard
	p.hosts = make(map[uint64]*peer)
	p.most = 1
}

// handle takes a message of a host.
func (p *peers) handle(from netip.AddrPort, m *hostlink.ToLeader) {
	p.mu.Lock()
	c := p.core
	if c == nil {
		p.mu.Unlock()
		p.redirect(from)
		return
	}
	now := p.clk.Now()
	h, ok := p.hosts[m.Incarnation]
	if !ok {
		h = &peer{recent: make(map[uint32]hostlink.Decision)}
		p.hosts[m.Incarnation] = h
	}
	h.address, h.heard, h.strength = from, now, m.CPUPercent
	heard := p.heard
	if m.Epoch != p.epoch {
		heard = nil
	}
	reports := h.fresh(m)
	jobs, again := h.undecided(m.Requests)
	p.again += len(again) + int(m.TimedOut)
	if len(m.Reports) > 0 && h.ackDue == 0 {
		h.ackDue = now + ackDelay
	}
	if len(m.Requests) == 0 && len(m.Reports) == 0 {
		h.ackDue = now // a heartbeat
	}
	p.mu.Unlock()

	if heard != nil {
		heard(m.Incarnation, from.String())
	}
	for _, r := range reports {
		c.done(decodeReport(m.Incarnation, r))
	}
	added := 0
	for _, q := range jobs {
		id := schedule.JobID{Host: m.Incarnation, Number: q.Number}
		if c.add(q.Service, decodeQuestion(id, m.DataCentre, q, now)) {
			added++
		}
		if c.has(q.Service, id) {
			again = append(again, hostlink.Decision{Number: q.Number, Kind: hostlink.KindQueued})
		}
	}
	p.mu.Lock()
	p.first += added
	p.mu.Unlock()
	if len(again) > 0 {
		p.reply(m.Incarnation, again)
	}
}

// questions returns the numbers of new questions and of questions that had been
// answered before or were given up, since the last call.
func (p *peers) questions() (first, again int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, again = p.first, p.again
	p.first, p.again = 0, 0
	return first, again
}

// redirect tells a host that this one does not lead, and who does.
func (p *peers) redirect(to netip.AddrPort) {
	leader, epoch := p.known()
	reply := hostlink.FromLeader{Epoch: epoch}
	if leader.IsValid() && leader != to {
		reply.Leader = leader.String()
	}
	_ = p.link.SendFromLeader(to, &reply) // the host repeats its question
}

// fresh returns the reports that were not received before.
func (h *peer) fresh(m *hostlink.ToLeader) []hostlink.Report {
	if m.FirstReport > h.reports+1 {
		h.reports = m.FirstReport - 1 // dropped by the host, or told to an earlier leader
	}
	skip := int(h.reports + 1 - m.FirstReport)
	if skip >= len(m.Reports) {
		return nil
	}
	h.reports = m.FirstReport + uint32(len(m.Reports)) - 1
	return m.Reports[skip:]
}

// undecided returns the questions without decision, and the decisions on the
// others, whose datagram was lost.
func (h *peer) undecided(questions []hostlink.RoutingRequest) (jobs []hostlink.RoutingRequest, again []hostlink.Decision) {
	for _, q := range questions {
		if d, ok := h.recent[q.Number]; ok {
			again = append(again, d)
			continue
		}
		jobs = append(jobs, q)
	}
	return jobs, again
}

func decodeReport(host uint64, r hostlink.Report) schedule.Report {
	return schedule.Report{
		ID: schedule.JobID{Host: host, Number: r.Number}, Result: schedule.Result(min(r.Result, uint8(schedule.Left))),
		Took: time.Duration(r.TookMS) * time.Millisecond, Running: int(r.Running), Waiting: int(r.Waiting), Known: r.Running >= 0,
	}
}

func decodeQuestion(id schedule.JobID, dc string, q hostlink.RoutingRequest, now time.Duration) *schedule.Job {
	j := &schedule.Job{
		ID: id, Class: q.Class, Content: q.Content, Key: int(q.Key), Priority: int(q.Priority),
		DataCentre: topology.DataCentre(dc),
		Target:     now + time.Duration(q.TargetMS)*time.Millisecond,
		Deadline:   now + time.Duration(q.DeadlineMS)*time.Millisecond,
	}
	for _, t := range q.Tried {
		j.Tried = append(j.Tried, topology.ServerID(t))
	}
	return j
}

// deliver sends decisions of the core to their hosts.
func (p *peers) deliver(list []schedule.Decision) {
	if len(list) == 0 {
		return
	}
	byHost := make(map[uint64][]hostlink.Decision)
	var own []schedule.Decision
	for _, d := range list {
		if d.Job.ID.Host == p.self {
			own = append(own, d)
			continue
		}
		m := hostlink.Decision{Number: d.Job.ID.Number, Server: string(d.Server), Address: d.Address}
		if d.Refused {
			m.Kind, m.Reason = hostlink.KindRefused, uint8(d.Reason)
			m.RetryAfterMS = uint32(d.RetryAfter.Milliseconds())
		}
		byHost[d.Job.ID.Host] = append(byHost[d.Job.ID.Host], m)
	}
	p.local(own)
	for host, decisions := range byHost {
		p.reply(host, decisions)
	}
}

func (p *peers) reply(host uint64, decisions []hostlink.Decision) {
	m := p.status()
	p.mu.Lock()
	h, ok := p.hosts[host]
	if !ok {
		p.mu.Unlock()
		return
	}
	for _, d := range decisions {
		if d.Kind == hostlink.KindQueued {
			continue
		}
		if _, ok := h.recent[d.Number]; ok {
			continue // it is sent again
		}
		h.recent[d.Number] = d
		h.order = append(h.order, d.Number)
		if len(h.order) > recentDecisions {
			delete(h.recent, h.order[0])
			h.order = h.order[1:]
		}
	}
	m.Leads = p.core != nil
	m.AckedReport = h.reports
	m.Hosts = uint16(len(p.hosts) + 1)
	h.ackDue = 0
	if now := p.clk.Now(); h.listed == 0 || now-h.listed > listInterval {
		h.listed = now
		m.Peers = p.some(h)
	}
	address := h.address
	p.mu.Unlock()
	for len(decisions) > maxBatch {
		m.Decisions = decisions[:maxBatch]
		_ = p.link.SendFromLeader(address, &m) // lost decisions are asked for again
		decisions = decisions[maxBatch:]
	}
	m.Decisions = decisions
	_ = p.link.SendFromLeader(address, &m)
}

// tell makes a new version of the configuration known to all hosts.
func (p *peers) tell(version int64) {
	p.mu.Lock()
	if p.core == nil || version <= p.told {
		p.mu.Unlock()
		return
	}
	p.told = version
	list := make([]uint64, 0, len(p.hosts))
	for id := range p.hosts {
		list = append(list, id)
	}
	p.mu.Unlock()
	for _, id := range list {
		p.reply(id, nil)
	}
}

// some returns the addresses of some hosts other than h.
func (p *peers) some(h *peer) []string {
	var list []string
	for _, other := range p.hosts { // the order is random, so all get known
		if other != h && len(list) < maxPeers {
			list = append(list, other.address.String())
		}
	}
	return list
}

// strongest returns the largest share of a processor among the hosts.
func (p *peers) strongest() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := uint16(0)
	for _, h := range p.hosts {
		most = max(most, h.strength)
	}
	return float64(most) / 100
}

// tick sends acknowledgements that found no decision to travel with, and
// forgets hosts that are gone. It returns the number of hosts, this one
// included, and the largest number so far.
func (p *peers) tick() (present, most int) {
	p.mu.Lock()
	now := p.clk.Now()
	var due []uint64
	for id, h := range p.hosts {
		if h.ackDue != 0 && now >= h.ackDue {
			due = append(due, id)
		}
		if now-h.heard > peerSilence {
			delete(p.hosts, id)
		}
	}
	present = len(p.hosts) + 1
	p.most = max(p.most, present)
	most = p.most
	p.mu.Unlock()
	for _, id := range due {
		p.reply(id, nil)
	}
	return present, most
}
