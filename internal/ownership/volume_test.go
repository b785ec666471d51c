package ownership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// largeLeader is a leader of a service with many servers and key ranges. Calls take a fixed
// time and have a fixed outcome.
type largeLeader struct {
	*ownership.Manager
	now     time.Duration
	servers map[topology.ServerID]ownership.Server
	// callTime and outcome are those of Fence and Release orders. Grants succeed, at once unless
	// grantTime is set.
	callTime  time.Duration
	grantTime time.Duration
	outcome   ownership.Outcome
	running   []runningCall
	// inFlight counts the calls without a response by kind, most holds its highest values, and
	// mostToServer the highest number of Fence orders to one server.
	inFlight, most map[ownership.Kind]int
	toServer       map[topology.ServerID]int
	mostToServer   int
	fences         []ownership.Order
}

type runningCall struct {
	order ownership.Order
	ends  time.Duration
}

func serverID(i int) topology.ServerID { return topology.ServerID(fmt.Sprintf("s%d", i)) }

func newLargeLeader(servers int, keyMap keymap.Map) *largeLeader {
	fence := int64(100)
	l := &largeLeader{
		Manager: ownership.New("booking", settings, keyMap, func() int64 { fence++; return fence }, 0),
		servers: make(map[topology.ServerID]ownership.Server), outcome: ownership.Done,
		inFlight: make(map[ownership.Kind]int), most: make(map[ownership.Kind]int), toServer: make(map[topology.ServerID]int),
	}
	for i := range servers {
		l.servers[serverID(i)] = ownership.Server{Address: fmt.Sprintf("%s:1", serverID(i)), Incarnation: 5}
	}
	l.SetServers(l.servers)
	return l
}

// evenRanges returns a key map of n ranges that the servers own in turn.
func evenRanges(n, servers int) keymap.Map {
	var keyMap keymap.Map
	for i := range n {
		keyMap = append(keyMap, keymap.Range{From: i * keymap.KeyCount / n, To: (i+1)*keymap.KeyCount/n - 1, Server: serverID(i % servers)})
	}
	return keyMap
}

// run advances the time in steps, of which each calls the manager once.
func (l *largeLeader) run(d, step time.Duration) {
	for end := l.now + d; l.now < end; l.now += step {
		running := l.running
		l.running = nil
		for _, c := range running {
			if c.ends > l.now {
				l.running = append(l.running, c)
				continue
			}
			l.count(c.order, -1)
			outcome := l.outcome
			if c.order.Kind == ownership.Grant {
				outcome = ownership.Done
			}
			l.HandleResult(c.order, outcome, "", l.now)
		}
		for _, o := range l.Step(l.now, l.now) {
			duration := l.callTime
			if o.Kind == ownership.Grant {
				duration = l.grantTime
			}
			if o.Kind == ownership.Grant && duration == 0 {
				l.HandleResult(o, ownership.Done, "", l.now)
				continue
			}
			l.count(o, 1)
			l.running = append(l.running, runningCall{o, l.now + duration})
		}
		if _, changed := l.NextKeyMap(); changed {
			l.KeyMapStored(l.now)
		}
	}
}

func (l *largeLeader) count(o ownership.Order, change int) {
	l.inFlight[o.Kind] += change
	l.most[o.Kind] = max(l.most[o.Kind], l.inFlight[o.Kind])
	if o.Kind != ownership.Fence {
		return
	}
	l.toServer[o.Server] += change
	l.mostToServer = max(l.mostToServer, l.toServer[o.Server])
	if change > 0 {
		l.fences = append(l.fences, o)
	}
}

const (
	manyServers = 300
	manyRanges  = 1000
)

// withScatteredUnknownOwners returns a key map of many ranges, of which each tenth may be
// owned by any server.
func withScatteredUnknownOwners() keymap.Map {
	keyMap := evenRanges(manyRanges, manyServers)
	for i := 0; i < manyRanges; i += 10 {
		keyMap[i].OwnerUnknown = true
	}
	return keyMap
}

// Guards against calls that grow with the servers times the ranges whose owner is unknown. All
// servers must still be told about all of these keys that they do not own.
func TestFenceOrdersDoNotGrowWithServersTimesRanges(t *testing.T) {
	g := NewWithT(t)
	keyMap := withScatteredUnknownOwners()
	l := newLargeLeader(manyServers, keyMap)
	l.callTime = 10 * time.Millisecond
	l.run(20*time.Second, step)
	// One order for each span between two ranges of a server.
	g.Expect(len(l.fences)).To(BeNumerically("<=", manyRanges+manyServers))
	told := make(map[topology.ServerID][]ownership.Order)
	for _, o := range l.fences {
		told[o.Server] = append(told[o.Server], o)
		for _, r := range keyMap {
			if r.Server == o.Server && !r.OwnerUnknown {
				g.Expect(r.From > o.To || r.To < o.From).To(BeTrue(), "%v has keys that its server owns", o)
			}
		}
	}
	for i := range manyServers {
		for _, r := range keyMap {
			// A server that got the keys has a grant with a higher fence.
			if !r.OwnerUnknown || r.Server == serverID(i) {
				continue
			}
			covered := false
			for _, o := range told[serverID(i)] {
				covered = covered || (o.From <= r.From && o.To >= r.To)
			}
			g.Expect(covered).To(BeTrue(), "server %d is not told about the keys from %d on", i, r.From)
		}
	}
}

// Guards against a leader that spends all of its CPU time and descriptors on fence orders,
// and against servers whose connections it takes: with servers that respond late and with
// servers that do not respond, calls are few at a time and spaced.
func TestFenceOrdersAreSpaced(t *testing.T) {
	for name, outcome := range map[string]ownership.Outcome{"late": ownership.Done, "none": ownership.Unknown} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLargeLeader(manyServers, withScatteredUnknownOwners())
			l.callTime, l.outcome = 1500*time.Millisecond, outcome
			const seconds = 10
			l.run(seconds*time.Second, step)
			g.Expect(l.fences).NotTo(BeEmpty())
			g.Expect(l.most[ownership.Fence]).To(BeNumerically("<=", 128))
			g.Expect(l.mostToServer).To(BeNumerically("<=", 8))
			g.Expect(len(l.fences)).To(BeNumerically("<=", 250*seconds+25))
		})
	}
}

// Guards against fence orders for keys of unknown owners that hold back those for servers
// that lost their keys while they could not be reached.
func TestFormerOwnersAreFencedBeforeUnknownOwners(t *testing.T) {
	g := NewWithT(t)
	keyMap := withScatteredUnknownOwners()
	keyMap[5].FormerOwners = []keymap.FormerOwner{{Server: "former", Address: "former:1", Incarnation: 5}}
	l := newLargeLeader(manyServers, keyMap)
	l.callTime, l.outcome = 1500*time.Millisecond, ownership.Unknown
	l.run(5*time.Second, step)
	var calls []ownership.Order
	for _, o := range l.fences {
		if o.Server == "former" {
			calls = append(calls, o)
		}
	}
	g.Expect(len(calls)).To(BeNumerically(">=", 20), "one for each interval, unless eight have no response")
}

// Guards against servers that are never told a higher fence, because the leader had no CPU
// time from the end of earlier leaders until the keys were free.
func TestUnknownOwnersAreFencedByAStarvedLeader(t *testing.T) {
	g := NewWithT(t)
	l := newLargeLeader(3, evenRanges(3, 3).WithUnknownOwners())
	l.SetEarlierLeadersUntil(time.Second)
	l.run(step, step)
	l.now = 10 * time.Second
	l.run(time.Second, step)
	told := make(map[topology.ServerID]bool)
	for _, o := range l.fences {
		told[o.Server] = true
	}
	g.Expect(told).To(HaveLen(3))
}

// Guards against servers that take a grant of another leader of a store that was restored once
// more: what they were told before has a lower fence than that.
func TestUnknownOwnersAreFencedAgainInTheNextEra(t *testing.T) {
	g := NewWithT(t)
	l := newLargeLeader(3, evenRanges(3, 3).WithUnknownOwners())
	l.SetEarlierLeadersUntil(time.Second)
	l.run(1500*time.Millisecond, step)
	g.Expect(l.fences).To(HaveLen(3))
	l.GrantAgain()
	l.run(time.Second, step)
	g.Expect(l.fences).To(HaveLen(6))
}

// Guards against a leader that opens a connection for each range at once when all ranges of
// many servers move: all must still be released.
func TestReleasesInFlightAreBounded(t *testing.T) {
	g := NewWithT(t)
	l := newLargeLeader(manyServers, evenRanges(manyRanges, manyServers))
	l.run(time.Second, step)
	l.callTime = 100 * time.Millisecond
	for i := range manyRanges {
		l.Move(i*keymap.KeyCount/manyRanges, (i+1)*keymap.KeyCount/manyRanges-1, serverID((i+1)%manyServers))
	}
	l.run(2*time.Second, step)
	g.Expect(l.most[ownership.Release]).To(BeNumerically("<=", 256))
	l.Ranges(l.now, func(r ownership.RangeState) { g.Expect(r.Next).To(BeEmpty(), "the keys from %d on have moved", r.From) })
}

// Guards against a new leader that opens a connection to each of thousands of servers at once:
// all of them must still get their keys within a second.
func TestFirstGrantsOfALeaderAreBounded(t *testing.T) {
	g := NewWithT(t)
	const servers = 3000
	l := newLargeLeader(servers, evenRanges(servers, servers))
	l.grantTime = 20 * time.Millisecond
	l.run(time.Second, 5*time.Millisecond)
	g.Expect(l.most[ownership.Grant]).To(BeNumerically("<=", 512))
	l.Ranges(l.now, func(r ownership.RangeState) { g.Expect(r.Granted).To(BeTrue(), "the keys from %d on", r.From) })
}

// Guards against a server that is never told a higher fence for keys of unknown owners, because
// it registers while it shall get them, and another one gets them in the end.
func TestServerThatShallGetKeysOfUnknownOwnersIsFenced(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	l := newFencingLeader(keymap.Empty().WithUnknownOwners(), 100, "cut")
	l.Move(0, last, "cut")
	l.run(4*time.Second, "up")
	l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 5}
	l.SetServers(l.servers)
	l.Step(l.now, l.now) // the order gets no response
	l.Move(0, last, "up")
	fences, stored := l.run(time.Second, "up", "cut")
	g.Expect(stored[0].Server).To(Equal(topology.ServerID("up")))
	g.Expect(fences).To(ContainElement(And(HaveField("Server", topology.ServerID("cut")), HaveField("From", 0), HaveField("To", last))))
}

// Guards against a server that registers late and is not told about keys whose owner was
// unknown, because the store was restored once more since they got an owner.
func TestUnknownOwnersOfTheEraBeforeAreFenced(t *testing.T) {
	const last = keymap.KeyCount - 1
	for name, next := range map[string]ownership.Outcome{"grants again only": ownership.Done, "with more unknown owners": ownership.Unknown} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newFencingLeader(keymap.Map{{From: 0, To: 99}, {From: 100, To: last}}.WithUnknownOwners(), 100, "cut")
			l.Move(0, last, "up")
			l.run(4*time.Second, "up")
			if next == ownership.Unknown { // a move is being stored
				l.Move(0, 99, "cut")
				l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 5}
				l.SetServers(l.servers)
				for range 10 {
					l.now += step
					for _, o := range l.Step(l.now, l.now) {
						if o.Kind != ownership.Fence {
							l.HandleResult(o, ownership.Done, "", l.now)
						}
					}
				}
				_, changed := l.NextKeyMap()
				g.Expect(changed).To(BeTrue())
				l.KeyMapNotStored(true)
			}
			l.GrantAgain()
			l.run(4*time.Second, "up")
			l.servers["late"] = ownership.Server{Address: "late:1", Incarnation: 5}
			l.SetServers(l.servers)
			fences, _ := l.run(time.Second, "up", "late")
			g.Expect(fences).To(ContainElement(And(HaveField("Server", topology.ServerID("late")), HaveField("From", 0), HaveField("To", last))))
		})
	}
}
