package gateway

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/statesync"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// stateInterval is the interval at which a host asks its leader for changes of
	// servers and owners of keys. A host that loses its leader and the store together
	// goes on with what it knew at most this much earlier, and an age of a few seconds
	// is acceptable then.
	stateInterval = 3 * time.Second
	// statePageInterval is the interval between requests for further pages, and
	// statePagePerHost the least such interval for each host: if all hosts need the
	// whole state at once, the leader sends 286 pages a second, a quarter of a link of
	// 10 Mbit/s. 24 pages (201 servers and 500 key ranges) then take 70 hosts 6 s.
	statePageInterval = 150 * time.Millisecond
	statePagePerHost  = 3500 * time.Microsecond
	// stateRetryInterval is the interval at which an unanswered request is repeated:
	// more than the time in which a busy leader responds.
	stateRetryInterval = 400 * time.Millisecond
	// statePageBytes bounds the changes of one response, which fits into one packet.
	statePageBytes = 1100
	// stateRefreshInterval bounds the rate at which the leader looks for changes.
	stateRefreshInterval = 300 * time.Millisecond
	// stateTimeout is the time without an answer after which a host reads from the
	// store again what its leader does not pass on, as with a leader of an earlier
	// release: three lost requests and a margin.
	stateTimeout = 8 * time.Second
	// maxConfigReadAge is the time without a read of the configuration by the leader after
	// which its hosts read it themselves: the leader reads it once a second.
	maxConfigReadAge = 2500 * time.Millisecond
	// noticeInterval and noticeCount say how often the leader repeats to all hosts that
	// the configuration has changed, since datagrams may be lost.
	noticeInterval = 250 * time.Millisecond
	noticeCount    = 4
)

// stateSource passes what the leader knows to the hosts that follow it.
type stateSource struct {
	clk     clock.Clock
	link    *hostlink.Link
	watcher *storeWatcher
	elector *elector

	mu          sync.Mutex
	scheduler   *scheduler // to which log belongs
	log         *statesync.Log
	refreshedAt time.Duration
	// noticed is the position of the configuration of the last notice, which was sent
	// notices times, last at noticedAt.
	noticed   Position
	notices   int
	noticedAt time.Duration
	// config is the encoded configuration at position configAt.
	config   []byte
	configAt Position
}

// handle responds to a request. A leader that has no list of servers yet does not respond.
func (s *stateSource) handle(from netip.AddrPort, m *hostlink.StateRequest) {
	own := s.elector.scheduler.Load()
	_, epoch := s.elector.leaderClient.currentLeader()
	if own == nil || m.Epoch != epoch || !s.watcher.loaded() {
		return
	}
	reply := &hostlink.StateChanges{Request: m.Number, Epoch: epoch}
	s.mu.Lock()
	now := s.clk.Now()
	if s.scheduler != own {
		s.scheduler, s.log, s.refreshedAt = own, statesync.NewLog(), now-stateRefreshInterval
	}
	if now-s.refreshedAt >= stateRefreshInterval {
		s.refreshedAt = now
		s.log.SetServers(s.watcher.servers())
		for service, ranges := range own.keyOwners() {
			s.log.SetOwners(service, ranges)
		}
	}
	page := s.log.Page(m.After, m.Digest, statePageBytes)
	age := s.watcher.listAge() + now - s.refreshedAt
	s.mu.Unlock()
	reply.ListAgeMS = uint32(min(age, time.Hour).Milliseconds()) + 1
	position := s.watcher.configPosition()
	reply.ConfigEra, reply.ConfigOffset = position.Era, position.Offset
	reply.ConfigAgeMS = uint32(min(s.watcher.configReadAge(), time.Hour).Milliseconds())
	reply.Next, reply.More, reply.Same = page.Next, page.More, page.Same
	for _, c := range page.Changes {
		if r := c.Range; r != nil {
			reply.Ranges = append(reply.Ranges, hostlink.StateRange{Change: c.Number, Service: string(c.Service), From: uint16(r.From), To: uint16(r.To), Server: string(r.Server)})
			continue
		}
		reply.Servers = append(reply.Servers, hostlink.StateServer{
			Change: c.Number, Server: string(c.Server.ID), Removed: c.Removed, Service: string(c.Server.Service), Address: c.Server.Address, DataCentre: string(c.Server.DataCentre),
			Slots: int32(c.Server.Slots), Incarnation: c.Server.Incarnation, Draining: c.Server.Draining, WarmupLeftMS: uint32(c.Server.WarmupLeft.Milliseconds()),
		})
	}
	_ = s.link.SendStateChanges(from, reply) // the host asks again
}

// announceConfig tells all hosts of a new position of the configuration, repeatedly.
func (s *stateSource) announceConfig(addresses func() []netip.AddrPort) {
	if s.elector.scheduler.Load() == nil {
		return
	}
	position, now := s.watcher.configPosition(), s.clk.Now()
	s.mu.Lock()
	if position != s.noticed {
		s.noticed, s.notices, s.noticedAt = position, 0, now-noticeInterval
	}
	due := position != (Position{}) && s.notices < noticeCount && now-s.noticedAt >= noticeInterval
	if due {
		s.notices++
		s.noticedAt = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	_, epoch := s.elector.leaderClient.currentLeader()
	m := &hostlink.ConfigNotice{Epoch: epoch, Era: position.Era, Offset: position.Offset}
	for _, a := range addresses() {
		_ = s.link.SendConfigNotice(a, m)
	}
}

// stateCopy obtains the servers and the owners of keys from the leader, so that a host that
// follows one reads nothing from the store.
type stateCopy struct {
	clk      clock.Clock
	log      logging.Logger
	link     *hostlink.Link
	watcher  *storeWatcher
	client   *leaderClient
	onChange func()

	mu             sync.Mutex
	leader         netip.AddrPort
	epoch          int64
	followedAt     time.Duration
	cursor         statesync.Cursor
	owners         map[topology.Service]keymap.Map
	lastRequest    uint32
	requestAfter   uint64
	requestSentAt  time.Duration
	waiting        bool // for a response to the last request
	more           bool // there are further pages
	answeredAt     time.Duration
	answered       bool // the present leader has responded
	completeAt     time.Duration
	configPosition Position // up to which the leader has read the configuration
	configRead     bool     // whether the leader has read it lately
	fresh          bool     // as last logged
	configRequest  uint32   // number of the last fetchConfig
	configParts    chan *hostlink.ConfigPart
}

// setOwners records the key maps that were read from the store.
func (c *stateCopy) setOwners(owners map[topology.Service]keymap.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners = make(map[topology.Service]keymap.Map, len(owners))
	for service, m := range owners {
		c.owners[service] = m
	}
	c.cursor.Reset()
}

// reset makes the host compare its whole copy with that of the leader: it was changed by a
// read from the store.
func (c *stateCopy) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cursor.Reset()
}

// tick sends a request if one is due.
func (c *stateCopy) tick() {
	leader, epoch := c.client.currentLeader()
	if !leader.IsValid() || c.client.leaderSilent() {
		return
	}
	hosts := c.client.state().hosts
	c.mu.Lock()
	now := c.clk.Now()
	if leader != c.leader || epoch != c.epoch {
		c.leader, c.epoch, c.followedAt = leader, epoch, now
		c.cursor.Reset()
		c.waiting, c.more, c.answered, c.configPosition, c.configRead = false, false, false, Position{}, true
		c.requestSentAt = now - stateInterval
	}
	interval := stateInterval
	switch {
	case c.waiting:
		interval = stateRetryInterval
	case c.more:
		interval = max(statePageInterval, time.Duration(hosts)*statePagePerHost)
	}
	if now-c.requestSentAt < interval {
		c.mu.Unlock()
		return
	}
	c.lastRequest++
	m := &hostlink.StateRequest{Number: c.lastRequest, Epoch: epoch, After: c.cursor.After()}
	if m.After == 0 {
		m.Digest = statesync.Digest(c.watcher.servers(), c.owners)
	}
	c.requestAfter, c.requestSentAt, c.waiting = m.After, now, true
	c.mu.Unlock()
	_ = c.link.SendStateRequest(leader, m) // repeated without a response
}

// handle processes a response of the leader.
func (c *stateCopy) handle(from netip.AddrPort, m *hostlink.StateChanges) {
	c.mu.Lock()
	if from != c.leader || m.Epoch != c.epoch || m.Request != c.lastRequest || !c.waiting {
		c.mu.Unlock()
		return
	}
	now := c.clk.Now()
	c.waiting, c.answered, c.answeredAt = false, true, now
	c.notePosition(Position{Era: m.ConfigEra, Offset: m.ConfigOffset})
	c.configRead = time.Duration(m.ConfigAgeMS)*time.Millisecond < maxConfigReadAge
	// The request was sent before the response, so the list is not older than this.
	asOf := c.requestSentAt - time.Duration(m.ListAgeMS)*time.Millisecond
	page := decodePage(m)
	applied := c.watcher.applyLeaderList(page, asOf, func() (func(topology.ServerID) bool, bool) {
		return c.cursor.Advance(c.requestAfter, page)
	})
	if !applied {
		c.more = true // soon again: the leader's list is older than what this host has read
		c.mu.Unlock()
		return
	}
	c.more = page.More
	if !page.More {
		c.completeAt = now
	}
	owners := c.assign(page.Changes)
	c.mu.Unlock()
	if len(owners) > 0 {
		c.client.fallback.setKeyMaps(owners)
	}
	if len(page.Changes) > 0 && !page.More {
		c.onChange()
	}
}

// assign applies the changes of key ranges and returns the changed key maps. The caller
// holds the lock.
func (c *stateCopy) assign(changes []statesync.Change) map[topology.Service]keymap.Map {
	changed := make(map[topology.Service]keymap.Map)
	for _, ch := range changes {
		if ch.Range == nil {
			continue
		}
		m := c.owners[ch.Service]
		if m == nil {
			m = keymap.Empty()
		}
		m = statesync.Assign(m, *ch.Range)
		if c.owners == nil {
			c.owners = make(map[topology.Service]keymap.Map)
		}
		c.owners[ch.Service], changed[ch.Service] = m, m
	}
	return changed
}

func decodePage(m *hostlink.StateChanges) statesync.Page {
	page := statesync.Page{Next: m.Next, More: m.More, Same: m.Same}
	for _, s := range m.Servers {
		if !s.Removed && s.Slots < 1 {
			continue // of a malformed message; the leader has no such servers
		}
		page.Changes = append(page.Changes, statesync.Change{Number: s.Change, Removed: s.Removed, Server: &fleet.Server{
			ID: topology.ServerID(s.Server), Service: topology.Service(s.Service), Address: s.Address, DataCentre: topology.DataCentre(s.DataCentre),
			Slots: int(s.Slots), Incarnation: s.Incarnation, Draining: s.Draining, WarmupLeft: time.Duration(s.WarmupLeftMS) * time.Millisecond,
		}})
	}
	for _, r := range m.Ranges {
		page.Changes = append(page.Changes, statesync.Change{
			Number: r.Change, Service: topology.Service(r.Service), Range: &statesync.Range{From: int(r.From), To: int(r.To), Server: topology.ServerID(r.Server)},
		})
	}
	return page
}

// handleNotice processes a notice of the leader.
func (c *stateCopy) handleNotice(from netip.AddrPort, m *hostlink.ConfigNotice) {
	leader, epoch := c.client.currentLeader()
	if from != leader || m.Epoch != epoch {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader == c.leader && epoch == c.epoch {
		c.notePosition(Position{Era: m.Era, Offset: m.Offset})
	}
}

// notePosition records up to which position the leader has read the configuration, and
// makes this host read it if it has not got as far. The caller holds the lock.
func (c *stateCopy) notePosition(p Position) {
	if p.follows(c.configPosition) {
		c.configPosition = p
		c.watcher.readConfigNow()
	}
}

// follows reports whether p is after q.
func (p Position) follows(q Position) bool {
	return p.Era > q.Era || (p.Era == q.Era && p.Offset > q.Offset)
}

// leaderNews is what a host knows through its leader.
type leaderNews struct {
	// current is true if the leader passes on what it knows, or was followed too recently
	// to have done so.
	current        bool
	configPosition Position
	// configRead is false if the leader has not read the configuration lately.
	configRead bool
}

func (c *stateCopy) news() leaderNews {
	leader, epoch := c.client.currentLeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	news := leaderNews{configRead: true}
	if leader == c.leader && epoch == c.epoch {
		news.configPosition, news.configRead = c.configPosition, c.configRead
		since := c.followedAt
		if c.answered {
			since = c.answeredAt
		}
		news.current = now-since < stateTimeout
	} else {
		news.current = true // the next tick sends the first request
	}
	if news.current != c.fresh {
		c.fresh = news.current
		if !news.current {
			c.log.With("leader", leader.String()).Warn("the leader does not pass on what it knows of servers and keys; this host reads from the store")
		}
	}
	return news
}

// age returns the time since the host had all that its leader knew; infinite if it never
// had.
func (c *stateCopy) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.completeAt == 0 {
		return math.MaxInt64
	}
	return c.clk.Now() - c.completeAt
}

// keyMapsOfOwners returns the owners of the keys of all keyed services as key maps.
func (s *scheduler) keyMapsOfOwners() map[topology.Service]keymap.Map {
	out := make(map[topology.Service]keymap.Map)
	for service, ranges := range s.keyOwners() {
		m := keymap.Empty()
		for _, r := range ranges {
			m = statesync.Assign(m, r)
		}
		out[service] = m
	}
	return out
}

// keyOwners returns the key ranges of all keyed services.
func (s *scheduler) keyOwners() map[topology.Service][]statesync.Range {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[topology.Service][]statesync.Range)
	for _, svc := range s.services {
		if svc.grants == nil {
			continue
		}
		ranges := make([]statesync.Range, 0, len(svc.ranges))
		for _, r := range svc.ranges {
			ranges = append(ranges, statesync.Range{From: r.From, To: r.To, Server: r.Server})
		}
		out[svc.name] = ranges
	}
	return out
}
