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
	step      = 50 * time.Millisecond
	maxFlight = 350 * time.Millisecond // the leader gives up on a grant after it
)

var settings = ownership.Settings{
	GrantDuration: 2200 * time.Millisecond, RenewInterval: 650 * time.Millisecond, RetryInterval: 200 * time.Millisecond,
	CallTimeout: maxFlight,
}

// autonomy is the time for which a leader without the store goes on.
const autonomy = 3 * time.Second

// probes are the keys at which the model looks.
var probes = []int{0, 9, 10, 11, 5000, 20000, 20001, 40000, 65535}

// holder is the model of a server: what it holds of each probed key.
type holder struct {
	born  int64
	until map[int]time.Duration
	fence map[int]int64
}

func newHolder(born int64) *holder {
	return &holder{born: born, until: make(map[int]time.Duration), fence: make(map[int]int64)}
}

// apply carries a grant out; its time counts from its arrival.
func (h *holder) apply(o ownership.Order, arrived, hold time.Duration) bool {
	for _, k := range probes {
		if k >= o.From && k <= o.To && h.fence[k] > o.Fence {
			return false
		}
	}
	for _, k := range probes {
		if k >= o.From && k <= o.To {
			h.fence[k] = o.Fence
			// The clock of the server is slow.
			h.until[k] = arrived + hold*102/100
		}
	}
	return true
}

func (h *holder) release(o ownership.Order) {
	for _, k := range probes {
		if k >= o.From && k <= o.To {
			delete(h.until, k)
		}
	}
}

// event is something that the model does later.
type event struct {
	at time.Duration
	do func()
}

// world is the model of servers, leaders and the store.
type world struct {
	t       *rapid.T
	now     time.Duration
	servers map[topology.ServerID]*holder
	events  []event
	// table and leader are in the store; claims counts the leaderships.
	table  keymap.Map
	claims int64
	hosts  []*host
}

// host is a leader, or one that does not know that it was replaced.
type host struct {
	claim   int64
	leader  *ownership.Manager
	fence   int64
	contact time.Duration
	cut     bool // from the store
	// unreachable servers do not get the calls of this host.
	unreachable map[topology.ServerID]bool
	// lives holds the life of each server that the host has a connection to.
	lives map[topology.ServerID]int64
}

func (w *world) claim() {
	w.claims++
	h := &host{claim: w.claims, fence: w.claims << 32, contact: w.now, unreachable: make(map[topology.ServerID]bool), lives: make(map[topology.ServerID]int64)}
	table := w.table
	first := table == nil
	if first {
		table = keymap.Empty()
	}
	rivals := w.now + autonomy + maxFlight
	if first {
		rivals = w.now
	}
	h.leader = ownership.New("booking", settings, slices.Clone(table), func() int64 { h.fence++; return h.fence }, rivals)
	w.hosts = append(w.hosts, h)
}

func (w *world) known() map[topology.ServerID]ownership.Server {
	m := make(map[topology.ServerID]ownership.Server)
	for id, s := range w.servers {
		m[id] = ownership.Server{Address: string(id), Incarnation: s.born}
	}
	return m
}

// step lets every host act once.
func (w *world) step() {
	w.now += step
	var later []event
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at <= w.now {
			e.do()
		} else {
			later = append(later, e)
		}
	}
	w.events = append(w.events, later...)
	for _, h := range w.hosts {
		if !h.cut {
			if h.claim != w.claims {
				continue // it has read that it was replaced
			}
			h.contact = w.now
		}
		if !h.cut {
			h.leader.SetServers(w.known(), w.now)
		}
		if w.now-h.contact > autonomy {
			continue
		}
		for _, o := range h.leader.Step(w.now, h.contact) {
			w.call(h, o)
		}
		if t, changed := h.leader.NextKeyMap(); changed {
			if h.cut {
				h.leader.KeyMapNotStored()
			} else {
				w.table = t
				h.leader.KeyMapStored(w.now)
			}
		}
	}
	w.check()
}

// call carries an order out with a drawn fault.
func (w *world) call(h *host, o ownership.Order) {
	if o.Address != string(o.Server) {
		w.t.Fatalf("order for server %s goes to %q", o.Server, o.Address)
	}
	s := w.servers[o.Server]
	if h.unreachable[o.Server] {
		h.leader.HandleResult(o, ownership.Unsent, "", w.now)
		return
	}
	if h.lives[o.Server] != s.born {
		// The connection to the earlier life has ended.
		h.lives[o.Server] = s.born
		h.leader.HandleResult(o, ownership.Unsent, "", w.now)
		return
	}
	arrived := w.now + step
	switch rapid.IntRange(0, 9).Draw(w.t, "fault") {
	case 0: // answered late, carried out much later
		at := arrived + time.Duration(rapid.IntRange(0, 200).Draw(w.t, "late"))*step
		w.events = append(w.events, event{at, func() { w.perform(s, o, arrived) }}, event{w.now + maxFlight, func() {
			h.leader.HandleResult(o, ownership.Unknown, "", w.now)
		}})
	case 1: // carried out, not answered
		w.events = append(w.events, event{arrived, func() { w.perform(s, o, arrived) }}, event{w.now + maxFlight, func() {
			h.leader.HandleResult(o, ownership.Unknown, "", w.now)
		}})
	case 2:
		h.leader.HandleResult(o, ownership.Unsent, "", w.now)
	default:
		w.events = append(w.events, event{arrived, func() {
			outcome := ownership.Done
			if !w.perform(s, o, arrived) {
				outcome = ownership.Fenced
			}
			h.leader.HandleResult(o, outcome, "h", w.now)
		}})
	}
}

func (w *world) perform(s *holder, o ownership.Order, arrived time.Duration) bool {
	if o.Kind == ownership.Release {
		s.release(o)
		return true
	}
	return s.apply(o, arrived, settings.GrantDuration)
}

// check fails if two servers hold a key at the same time.
func (w *world) check() {
	for _, k := range probes {
		var holders []string
		for id, s := range w.servers {
			if s.until[k] > w.now {
				holders = append(holders, fmt.Sprintf("%s until %v fence %d", id, s.until[k], s.fence[k]))
			}
		}
		if len(holders) > 1 {
			w.t.Fatalf("at %v key %d is held by %v", w.now, k, holders)
		}
	}
}

// Guards against two servers that hold a key at the same time, whatever happens
// to grants, leaders and servers: calls that are unanswered, or carried out late,
// leaders that are cut off from the store or from servers, servers that restart,
// and moves that overlap.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, servers: make(map[topology.ServerID]*holder)}
		ids := []topology.ServerID{"a", "b", "c"}
		for _, id := range ids {
			w.servers[id] = newHolder(1)
		}
		w.claim()
		for range rapid.IntRange(20, 120).Draw(t, "rounds") {
			h := w.hosts[len(w.hosts)-1]
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1, 2:
				from := rapid.SampledFrom(probes).Draw(t, "from")
				to := rapid.SampledFrom(probes).Draw(t, "to")
				if from <= to {
					h.leader.Move(from, to, rapid.SampledFrom(ids).Draw(t, "next"))
				}
			case 3:
				h.cut = rapid.Bool().Draw(t, "cut old leader")
				w.claim()
			case 4:
				id := rapid.SampledFrom(ids).Draw(t, "unreachable")
				h.unreachable[id] = !h.unreachable[id]
			case 5:
				id := rapid.SampledFrom(ids).Draw(t, "restarted")
				w.servers[id] = newHolder(w.servers[id].born + 1)
			}
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				w.step()
			}
		}
	})
}
