package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	step        = 50 * time.Millisecond
	callTimeout = 350 * time.Millisecond // timeout of the leader's calls
)

var settings = ownership.Settings{
	GrantDuration: 2200 * time.Millisecond, RenewInterval: 650 * time.Millisecond, RetryInterval: 200 * time.Millisecond,
	CallTimeout: callTimeout,
}

// autonomy is the time for which a leader goes on without contact to the store.
const autonomy = 3 * time.Second

// trackedKeys are the keys whose owners the model tracks.
var trackedKeys = []int{0, 9, 10, 11, 5000, 20000, 20001, 40000, 65535}

// modelServer models a server: the fence and the end of its grant for each tracked key.
type modelServer struct {
	address     string
	incarnation int64
	ownedUntil  map[int]time.Duration
	fence       map[int]int64
	// grantEnd is the end of the last grant, whether or not the keys were released.
	grantEnd map[int]time.Duration
	// workEnd is the time at which the requests that run on the key have ended.
	workEnd map[int]time.Duration
}

func newModelServer(address string, incarnation int64) *modelServer {
	return &modelServer{
		address: address, incarnation: incarnation, ownedUntil: make(map[int]time.Duration), fence: make(map[int]int64),
		grantEnd: make(map[int]time.Duration), workEnd: make(map[int]time.Duration),
	}
}

// worksOn reports whether a request runs on a key. Requests end with the grant.
func (s *modelServer) worksOn(key int, now time.Duration) bool {
	return now < s.workEnd[key] && now < s.grantEnd[key]
}

// apply carries out a grant, whose duration starts when it arrives.
func (s *modelServer) apply(o ownership.Order, arrived, grantDuration time.Duration) bool {
	for _, k := range trackedKeys {
		if k >= o.From && k <= o.To && s.fence[k] > o.Fence {
			return false
		}
	}
	for _, k := range trackedKeys {
		if k >= o.From && k <= o.To {
			s.fence[k] = o.Fence
			// The server's clock is slow by 2%, the drift that the leader allows for.
			s.ownedUntil[k] = arrived + grantDuration*102/100
			s.grantEnd[k] = max(s.grantEnd[k], s.ownedUntil[k])
		}
	}
	return true
}

func (s *modelServer) release(o ownership.Order) {
	for _, k := range trackedKeys {
		if k >= o.From && k <= o.To {
			delete(s.ownedUntil, k)
			s.fence[k] = max(s.fence[k], o.Fence)
		}
	}
}

// event is a scheduled action of the model.
type event struct {
	at  time.Duration
	run func()
}

// model models the servers, the leaders and the store.
type model struct {
	t       *rapid.T
	now     time.Duration
	servers map[topology.ServerID]*modelServer
	events  []event
	// keyMap is the stored key map, epoch that of the latest leadership.
	keyMap keymap.Map
	epoch  int64
	hosts  []*host
	// era rises each time the store is restored from one of copies.
	era    int64
	copies []keymap.Map
	// appendsInDoubt makes the store lose the responses of some appends.
	appendsInDoubt bool
	// listInterval is the interval at which hosts read the list of servers.
	listInterval time.Duration
	// work is true if requests may run on keys beyond their release.
	work bool
	// refusesAppends is true while the store refuses appends.
	refusesAppends bool
	// otherRegistrations holds registrations that do not show the present process of a
	// server; one without an address has lapsed.
	otherRegistrations map[topology.ServerID]ownership.Server
	// formerAddresses are addresses of processes that have ended, reusedAddresses those at
	// which other servers respond now.
	formerAddresses, reusedAddresses map[string]bool
	// cut holds the servers that no host reaches, held the calls on their way to them.
	cut  map[topology.ServerID]bool
	held []*heldCall
	// healedAt holds the end of the last cut of each server.
	healedAt map[topology.ServerID]time.Duration
}

// heldCall is a call that the network holds up. It arrives after the cut has healed,
// unless its sender, which then still lives, resets the connection at its timeout.
type heldCall struct {
	sender *host
	server *modelServer
	order  ownership.Order
}

// heldCallDelay is the time between the end of a cut and the arrival of the calls that it
// has held up: the 300 ms that the platform allows for, and a step for each call of the
// leader in the model.
const heldCallDelay = 300*time.Millisecond + 2*step

// host is the leader, or an earlier leader that may not know that it was replaced.
type host struct {
	epoch   int64
	manager *ownership.Manager
	fence   int64
	contact time.Duration
	cutOff  bool // from the store
	ended   bool // it has read in the store that it was replaced
	killed  bool // its process has ended
	// era is the era of the store in which the host claimed the leadership last.
	era int64
	// servers is the list of servers that the host has read last.
	servers map[topology.ServerID]ownership.Server
	// unreachable holds the servers that this host cannot connect to.
	unreachable map[topology.ServerID]bool
	// connected holds the incarnation of each server to which the host has a connection.
	connected map[topology.ServerID]int64
}

func (m *model) elect() {
	m.epoch++
	h := &host{epoch: m.epoch, era: m.era, fence: m.epoch << 32, contact: m.now, unreachable: make(map[topology.ServerID]bool), connected: make(map[topology.ServerID]int64)}
	keyMap := m.keyMap
	first := keyMap == nil
	if first {
		keyMap = keymap.Empty()
	}
	movesFrom := m.now + autonomy + callTimeout
	if !slices.ContainsFunc(m.hosts, func(h *host) bool { return !h.killed && !h.ended }) {
		movesFrom = m.now + callTimeout
	}
	earlierUntil := movesFrom
	if first {
		earlierUntil = m.now // no key was granted yet
	}
	h.manager = ownership.New("booking", settings, slices.Clone(keyMap), func() int64 { h.fence++; return h.fence }, earlierUntil)
	h.manager.SetMovesFrom(movesFrom)
	m.hosts = append(m.hosts, h)
}

// restore replaces the key map by a copy. An earlier leader whose lease has not ended
// claims the leadership again, or another host does by the key map of the copy.
func (m *model) restore() {
	m.era++
	m.keyMap = rapid.SampledFrom(m.copies).Draw(m.t, "copy").WithUnknownOwners()
	var candidates []*host
	for _, h := range m.hosts {
		if !h.ended && !h.killed && h.era == m.era-1 && m.now-h.contact <= autonomy {
			candidates = append(candidates, h)
		}
	}
	i := rapid.IntRange(-1, len(candidates)-1).Draw(m.t, "claimant")
	if i < 0 {
		m.elect()
		return
	}
	m.epoch++
	h := candidates[i]
	h.cutOff, h.contact, h.epoch, h.era, h.fence = false, m.now, m.epoch, m.era, m.epoch<<32
	h.manager.SetEarlierLeadersUntil(m.now + autonomy + callTimeout)
	m.keyMap = h.manager.KeyMapToGrantAgain()
	h.manager.GrantAgain()
}

func (m *model) registered() map[topology.ServerID]ownership.Server {
	list := make(map[topology.ServerID]ownership.Server)
	for id, s := range m.servers {
		list[id] = ownership.Server{Address: s.address, Incarnation: s.incarnation}
	}
	for id, srv := range m.otherRegistrations {
		if list[id] = srv; srv.Address == "" {
			delete(list, id)
		}
	}
	return list
}

// step advances the time, runs the events that are due and lets each host act once.
func (m *model) step() {
	m.now += step
	var later []event
	due := m.events
	m.events = nil
	for _, e := range due {
		if e.at <= m.now {
			e.run()
		} else {
			later = append(later, e)
		}
	}
	m.events = append(m.events, later...)
	for _, h := range m.hosts {
		if h.killed {
			continue
		}
		if !h.cutOff {
			if h.epoch != m.epoch {
				h.ended = true
				continue
			}
			h.contact = m.now
		}
		if !h.cutOff {
			if h.servers == nil || m.now%m.listInterval == 0 {
				h.servers = m.registered()
			}
			h.manager.SetServers(h.servers)
		}
		if m.now-h.contact > autonomy {
			continue
		}
		for _, o := range h.manager.Step(m.now, h.contact) {
			m.call(h, o)
		}
		if t, changed := h.manager.NextKeyMap(); changed {
			switch {
			case h.cutOff:
				h.manager.KeyMapNotStored(false)
			case m.refusesAppends:
				h.manager.KeyMapNotStored(false)
				h.manager.RevertMoves(m.now)
			case m.appendsInDoubt && rapid.IntRange(0, 4).Draw(m.t, "append") == 0:
				m.keyMap = t
				h.manager.KeyMapNotStored(true)
			default:
				m.keyMap = t
				h.manager.KeyMapStored(m.now)
			}
		}
	}
	m.check()
}

// call delivers an order with a fault chosen at random.
func (m *model) call(h *host, o ownership.Order) {
	s := m.servers[o.Server]
	if m.reusedAddresses[o.Address] {
		h.manager.HandleResult(o, ownership.ServerGone, "", m.now)
		return
	}
	if o.Address != s.address && !m.formerAddresses[o.Address] {
		m.t.Fatalf("order for server %s has the address %q", o.Server, o.Address)
	}
	if h.unreachable[o.Server] || o.Address != s.address {
		h.manager.HandleResult(o, ownership.Unsent, "", m.now)
		return
	}
	if h.connected[o.Server] != s.incarnation && o.Kind != ownership.Fence { // it has a connection of its own
		// The connection to the earlier incarnation is closed.
		h.connected[o.Server] = s.incarnation
		h.manager.HandleResult(o, ownership.Unsent, "", m.now)
		return
	}
	if m.cut[o.Server] {
		m.hold(&heldCall{sender: h, server: s, order: o})
		return
	}
	arrived := m.now + step
	if o.Kind == ownership.Release && m.work {
		m.release(h, s, o)
		return
	}
	if o.Kind == ownership.Fence {
		m.events = append(m.events, event{arrived, func() {
			m.perform(s, o, arrived)
			h.manager.HandleResult(o, ownership.Done, "", m.now)
		}})
		return
	}
	switch rapid.IntRange(0, 9).Draw(m.t, "fault") {
	case 0: // timed out, and carried out up to 10 s after its arrival
		at := arrived + time.Duration(rapid.IntRange(0, 200).Draw(m.t, "late"))*step
		m.events = append(m.events, event{at, func() { m.perform(s, o, arrived) }}, event{m.now + callTimeout, func() {
			h.manager.HandleResult(o, ownership.Unknown, "", m.now)
		}})
	case 1: // carried out, but the response is lost
		m.events = append(m.events, event{arrived, func() { m.perform(s, o, arrived) }}, event{m.now + callTimeout, func() {
			h.manager.HandleResult(o, ownership.Unknown, "", m.now)
		}})
	case 2:
		h.manager.HandleResult(o, ownership.Unsent, "", m.now)
	default:
		m.events = append(m.events, event{arrived, func() {
			outcome := ownership.Done
			if !m.perform(s, o, arrived) {
				outcome = ownership.Fenced
			}
			h.manager.HandleResult(o, outcome, "h", m.now)
		}})
	}
}

// hold holds up a call until the cut has healed or its sender gives up.
func (m *model) hold(c *heldCall) {
	m.held = append(m.held, c)
	m.events = append(m.events, event{m.now + callTimeout, func() {
		if c.sender.killed {
			return
		}
		m.held = slices.DeleteFunc(m.held, func(other *heldCall) bool { return other == c })
		delete(c.sender.connected, c.order.Server)
		c.sender.unreachable[c.order.Server] = m.cut[c.order.Server]
		c.sender.manager.HandleResult(c.order, ownership.Unknown, "", m.now)
	}})
}

// heal ends the cut of a server.
func (m *model) heal(id topology.ServerID) {
	delete(m.cut, id)
	m.healedAt[id] = m.now
	for _, h := range m.hosts {
		delete(h.unreachable, id)
	}
	var rest []*heldCall
	for _, c := range m.held {
		if c.order.Server != id {
			rest = append(rest, c)
			continue
		}
		m.deliverAfter(heldCallDelay, c)
	}
	m.held = rest
}

// deliverAfter delivers a held call. If the path has been cut in the meantime, the call waits
// for the same time after the end of that cut.
func (m *model) deliverAfter(d time.Duration, c *heldCall) {
	m.events = append(m.events, event{m.now + d, func() {
		id := c.order.Server
		switch wait := m.healedAt[id] + heldCallDelay - m.now; {
		case !c.sender.killed || m.servers[id] != c.server:
		case m.cut[id]:
			m.held = append(m.held, c)
		case wait > 0:
			m.deliverAfter(wait, c)
		default:
			m.perform(c.server, c.order, m.now)
		}
	}})
}

func (m *model) perform(s *modelServer, o ownership.Order, arrived time.Duration) bool {
	if o.Kind != ownership.Grant {
		s.release(o)
		return true
	}
	accepted := s.apply(o, arrived, settings.GrantDuration)
	if accepted {
		m.checkNoOtherWorks(s, o)
	}
	return accepted
}

// check fails the test if two servers own a key at the same time.
func (m *model) check() {
	for _, k := range trackedKeys {
		var owners []string
		for id, s := range m.servers {
			if s.ownedUntil[k] > m.now {
				owners = append(owners, fmt.Sprintf("%s until %v with fence %d", id, s.ownedUntil[k], s.fence[k]))
			}
		}
		if len(owners) > 1 {
			m.t.Fatalf("at %v key %d has several owners: %v", m.now, k, owners)
		}
	}
}

// Guards against two servers that own a key at the same time while calls time out or
// are carried out late, leaders are cut off from the store or from servers, servers
// restart, which leaders see in the list of servers later than the calls do, and moves
// overlap.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playModel(t, false) })
}

// Guards against two servers that own a key at the same time after the store was restored
// from a copy: a leader goes on by a key map that another one has changed, or trusts the
// key map of the copy.
func TestOneOwnerInRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playModel(t, true) })
}

// Guards against two servers that own a key at the same time because a network holds up
// the grants of a leader that is killed, and delivers them when a later leader has given
// the keys to another server.
func TestOneOwnerWithHeldGrantsOfKilledLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []topology.ServerID{"a", "b", "c"}
		m := newModel(t, ids)
		m.elect()
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			h := m.hosts[len(m.hosts)-1]
			id := rapid.SampledFrom(ids).Draw(t, "server")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				h.manager.Move(0, 65535, id)
			case 2:
				h.manager.Move(10, 20000, id)
			case 3, 4:
				if m.cut[id] {
					m.heal(id)
				} else {
					m.cut[id] = true
				}
			default:
				h.killed = true
				m.elect()
				for id := range m.cut {
					m.hosts[len(m.hosts)-1].unreachable[id] = true
				}
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				m.step()
			}
		}
	})
}

// newModel returns a model with the given servers.
func newModel(t *rapid.T, ids []topology.ServerID) *model {
	m := &model{
		t: t, servers: make(map[topology.ServerID]*modelServer), copies: []keymap.Map{keymap.Empty()}, cut: make(map[topology.ServerID]bool), healedAt: make(map[topology.ServerID]time.Duration), listInterval: step,
		otherRegistrations: make(map[topology.ServerID]ownership.Server), formerAddresses: make(map[string]bool), reusedAddresses: make(map[string]bool),
	}
	for _, id := range ids {
		m.servers[id] = newModelServer(string(id), 1)
	}
	return m
}

// playModel plays random events, with restored stores if restores is true.
func playModel(t *rapid.T, restores bool) {
	ids := []topology.ServerID{"a", "b", "c"}
	m := newModel(t, ids)
	m.appendsInDoubt = restores
	m.listInterval = rapid.SampledFrom([]time.Duration{step, 10 * step}).Draw(t, "list interval")
	m.elect()
	for range rapid.IntRange(20, 120).Draw(t, "rounds") {
		h := m.hosts[len(m.hosts)-1]
		actions := 7
		if restores {
			actions = 9
		}
		switch rapid.IntRange(0, actions).Draw(t, "action") {
		case 0, 1, 2:
			from := rapid.SampledFrom(trackedKeys).Draw(t, "from")
			to := rapid.SampledFrom(trackedKeys).Draw(t, "to")
			if from <= to {
				h.manager.Move(from, to, rapid.SampledFrom(ids).Draw(t, "next"))
			}
		case 3:
			h.cutOff = rapid.Bool().Draw(t, "cut off old leader")
			m.elect()
		case 4:
			id := rapid.SampledFrom(ids).Draw(t, "unreachable")
			h.unreachable[id] = !h.unreachable[id]
		case 5:
			id := rapid.SampledFrom(ids).Draw(t, "restarted")
			m.servers[id] = newModelServer(string(id), m.servers[id].incarnation+1)
		case 8, 9:
			m.restore()
		}
		if m.keyMap != nil {
			m.copies = append(m.copies, m.keyMap)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			m.step()
		}
	}
}
