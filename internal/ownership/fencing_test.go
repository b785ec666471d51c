package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// fencingLeader is a leader with two servers, "cut" and "up".
type fencingLeader struct {
	*ownership.Manager
	now     time.Duration
	servers map[topology.ServerID]ownership.Server
}

func newFencingLeader(keyMap keymap.Map, fence int64, unregistered ...topology.ServerID) *fencingLeader {
	l := &fencingLeader{
		Manager: ownership.New("booking", settings, keyMap, func() int64 { fence++; return fence }, 0),
		servers: map[topology.ServerID]ownership.Server{"cut": {Address: "cut:1", Incarnation: 5}, "up": {Address: "up:1", Incarnation: 5}},
	}
	for _, id := range unregistered {
		delete(l.servers, id)
	}
	l.SetServers(l.servers)
	return l
}

// run advances the time. Only calls to the servers in reachable succeed. It returns the
// Fence orders and the last stored key map.
func (l *fencingLeader) run(d time.Duration, reachable ...topology.ServerID) (fences []ownership.Order, stored keymap.Map) {
	for end := l.now + d; l.now < end; l.now += step {
		for _, o := range l.Step(l.now, l.now) {
			outcome := ownership.Unsent
			if slices.Contains(reachable, o.Server) {
				outcome = ownership.Done
			}
			if o.Kind == ownership.Fence {
				fences = append(fences, o)
			}
			l.HandleResult(o, outcome, "", l.now)
		}
		if keyMap, changed := l.NextKeyMap(); changed {
			stored = keyMap
			l.KeyMapStored(l.now)
		}
	}
	return fences, stored
}

// moveOff returns a leader that has moved the keys of the server that it never reached,
// and the stored key map.
func moveOff() (*fencingLeader, keymap.Map) {
	l := newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut"}}, 100)
	l.Move(0, keymap.KeyCount-1, "up")
	_, stored := l.run(4*time.Second, "up")
	return l, stored
}

// Guards against a server that takes the grant of a killed leader after its keys went to
// another server: it is told a higher fence within the interval between two calls.
func TestFormerOwnerIsFenced(t *testing.T) {
	g := NewWithT(t)
	l, stored := moveOff()
	g.Expect(stored).To(Equal(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "up", Address: "up:1", Incarnation: 5, FormerOwners: []keymap.FormerOwner{{Server: "cut", Address: "cut:1", Incarnation: 5}}}}))
	unanswered, _ := l.run(2*time.Second, "up")
	g.Expect(len(unanswered)).To(BeNumerically("~", 10, 1), "calls in 2 s")
	fences, _ := l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0]).To(And(HaveField("Server", topology.ServerID("cut")), HaveField("Address", "cut:1"), HaveField("From", 0), HaveField("To", keymap.KeyCount-1)))
	g.Expect(fences[0].Fence).To(BeNumerically(">", 101))
	fences, _ = l.run(2*time.Second, "up", "cut")
	g.Expect(fences).To(BeEmpty(), "after a response")
}

// Guards against a former owner that only the leader knows which moved its keys: the next
// leader tells it a higher fence, too.
func TestSuccessorFencesFormerOwner(t *testing.T) {
	g := NewWithT(t)
	_, stored := moveOff()
	data, err := stored.Encode(1)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, _, err := keymap.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	successor := newFencingLeader(decoded, 500)
	delete(successor.servers, "cut") // its registration has lapsed
	fences, _ := successor.run(time.Second, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0].Address).To(Equal("cut:1"))
	g.Expect(fences[0].Fence).To(BeNumerically(">", 500))
}

// Guards against a former owner that is never told a higher fence, because it was not
// registered while the leader waited for the end of its grants: it is told once it is
// registered again.
func TestFormerOwnerThatRegistersLate(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut"}}, 100, "cut")
	l.Move(0, keymap.KeyCount-1, "up")
	fences, stored := l.run(4*time.Second, "up", "cut")
	g.Expect(stored).NotTo(BeNil(), "the keys have moved")
	g.Expect(fences).To(BeEmpty(), "no address is known")
	l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 5}
	l.SetServers(l.servers)
	fences, _ = l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0]).To(And(HaveField("Server", topology.ServerID("cut")), HaveField("Address", "cut:1"), HaveField("From", 0), HaveField("To", keymap.KeyCount-1)))
}

// Guards against a former owner that no later leader can tell a higher fence, because its
// registration stays away: the key map states the address of each owner.
func TestFormerOwnerThatIsNeverRegistered(t *testing.T) {
	g := NewWithT(t)
	first := newFencingLeader(keymap.Empty(), 100)
	first.Move(0, keymap.KeyCount-1, "cut")
	_, stored := first.run(time.Second, "up", "cut")
	data, err := stored.Encode(1)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, _, err := keymap.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	l := newFencingLeader(decoded, 500, "cut")
	l.Move(0, keymap.KeyCount-1, "up")
	l.run(4*time.Second, "up")
	fences, _ := l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0]).To(And(HaveField("Address", "cut:1"), HaveField("Fence", BeNumerically(">", 500))))
}

// Guards against a grant of a killed leader that an owner takes while this leader only waits
// for the end of such grants: the owner is told a higher fence as soon as it can be reached.
func TestOwnerIsFencedBeforeItsKeysAreFree(t *testing.T) {
	for name, registered := range map[string]bool{"registered": true, "not registered": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:1", Incarnation: 5}}, 100)
			if !registered {
				delete(l.servers, "cut")
				l.SetServers(l.servers)
			}
			l.Move(0, keymap.KeyCount-1, "up")
			l.run(time.Second, "up")
			fences, stored := l.run(settings.RetryInterval+step, "up", "cut")
			g.Expect(stored).To(BeNil(), "the keys have not moved yet")
			g.Expect(fences).To(HaveLen(1))
			g.Expect(fences[0]).To(HaveField("Server", topology.ServerID("cut")))
			fences, stored = l.run(4*time.Second, "up", "cut")
			g.Expect(fences).To(BeEmpty(), "after a response")
			g.Expect(stored).NotTo(BeNil())
		})
	}
}

// Guards against an owner that loses the keys that it serves, because it is not registered
// for a moment while an earlier leader may still act.
func TestOwnerThatRegistersAgainKeepsItsKeys(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: last, Server: "cut", Address: "cut:1", Incarnation: 5}}, 100, "cut")
	l.SetEarlierLeadersUntil(10 * time.Second)
	l.Move(0, last, "up")
	fences, _ := l.run(time.Second, "up", "cut")
	g.Expect(fences).To(BeEmpty(), "while an earlier leader may still renew its grants")
	l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 5}
	l.SetServers(l.servers)
	l.run(time.Second, "up", "cut")
	var granted []topology.ServerID
	l.Ranges(l.now, func(r ownership.RangeState) {
		if r.Granted {
			granted = append(granted, r.Server)
		}
	})
	g.Expect(granted).To(ConsistOf(topology.ServerID("cut")))
}

// Guards against a grant of this leader that got no response and that the server reads long
// after its keys went to another server: no reset reached it.
func TestOwnerWithUnansweredGrantIsFenced(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: last, Server: "cut", Address: "cut:1", Incarnation: 5}}, 100)
	l.run(time.Second, "up", "cut")
	for l.now += settings.RenewInterval; ; l.now += step {
		orders := l.Step(l.now, l.now)
		if len(orders) > 0 {
			l.HandleResult(orders[0], ownership.Unknown, "", l.now)
			break
		}
	}
	l.Move(0, last, "up")
	_, stored := l.run(4*time.Second, "up")
	g.Expect(stored).NotTo(BeNil(), "the keys have moved")
	fences, _ := l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0]).To(HaveField("Server", topology.ServerID("cut")))
}

// Guards against a fence order that is forgotten before its minute has passed, because it
// joined one for adjacent keys that the server lost earlier.
func TestFenceForKeysThatAreLostLater(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: 9, Server: "cut", Address: "cut:1", Incarnation: 5}, {From: 10, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:1", Incarnation: 5}}, 100)
	l.Move(0, 9, "up")
	l.run(50*time.Second, "up")
	l.Move(10, keymap.KeyCount-1, "up")
	l.run(20*time.Second, "up")
	fences, _ := l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0].To).To(Equal(keymap.KeyCount - 1))
}

// Guards against a fence order that holds back the others for the same server because it
// never succeeds.
func TestFailingFenceHoldsBackNoOther(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{
		{From: 0, To: 9, Server: "cut", Address: "cut:1"}, {From: 10, To: 19, Server: "up"}, {From: 20, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:1"},
	}, 100)
	l.Move(0, 9, "up")
	l.Move(20, keymap.KeyCount-1, "up")
	l.run(4*time.Second, "up")
	told := make(map[int]bool)
	for end := l.now + time.Second; l.now < end; l.now += step {
		for _, o := range l.Step(l.now, l.now) {
			outcome := ownership.Done
			if o.Kind == ownership.Fence && o.From == 0 {
				outcome = ownership.Unknown
			}
			told[o.From] = told[o.From] || o.Kind == ownership.Fence && outcome == ownership.Done
			l.HandleResult(o, outcome, "", l.now)
		}
	}
	g.Expect(told[20]).To(BeTrue())
}

// Guards against an owner that started again at another address and that the next leader
// cannot tell a higher fence, because the key map names the earlier address.
func TestKeyMapNamesTheNewAddressOfAnOwner(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:1", Incarnation: 5}}, 100)
	l.run(time.Second, "cut")
	g.Expect(l.AddressesChanged()).To(BeFalse())
	l.servers["cut"] = ownership.Server{Address: "cut:2", Incarnation: 6}
	l.SetServers(l.servers)
	g.Expect(l.AddressesChanged()).To(BeTrue())
	keyMap, changed := l.NextKeyMap()
	g.Expect(changed).To(BeFalse(), "the owner is the same")
	g.Expect(keyMap).To(Equal(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:2", Incarnation: 6}}))
	l.KeyMapStored(l.now)
	g.Expect(l.AddressesChanged()).To(BeFalse())
}

// Guards against a grant of a killed leader that an owner without a registration takes before
// a move of its keys is planned: they would be free at once.
func TestUnregisteredOwnerIsFencedBeforeAMoveIsPlanned(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:1", Incarnation: 5}}, 100, "cut")
	fences, _ := l.run(settings.GrantDuration, "up", "cut")
	g.Expect(fences).To(BeEmpty(), "it may own the keys")
	fences, _ = l.run(settings.GrantDuration, "up")
	g.Expect(len(fences)).To(BeNumerically(">=", 5))
	l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 5}
	l.SetServers(l.servers)
	fences, _ = l.run(settings.GrantDuration, "up", "cut")
	g.Expect(fences).To(BeEmpty(), "it gets grants again")
	l.Ranges(l.now, func(r ownership.RangeState) { g.Expect(r.Granted).To(BeTrue()) })
}

// Guards against a fence order that holds back the others for the same server while the
// server works on its keys.
func TestSlowFenceHoldsBackNoOther(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{
		{From: 0, To: 9, Server: "cut", Address: "cut:1"}, {From: 10, To: 19, Server: "up"}, {From: 20, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:1"},
	}, 100, "cut")
	l.Move(0, 9, "up")
	l.Move(20, keymap.KeyCount-1, "up")
	sent := make(map[int]time.Duration)
	for ; l.now < time.Second; l.now += step {
		for _, o := range l.Step(l.now, l.now) {
			if o.Kind != ownership.Fence {
				l.HandleResult(o, ownership.Done, "", l.now)
			} else if _, ok := sent[o.From]; !ok {
				sent[o.From] = l.now // no response yet
			}
		}
	}
	g.Expect(sent).To(HaveLen(2))
	g.Expect(sent[20] - sent[0]).To(BeNumerically("<=", settings.RetryInterval))
}

// Guards against a fence order without an address that holds back the others for the same
// server: a key map of an earlier release states no address.
func TestFenceWithoutAddressHoldsBackNoOther(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{
		{From: 0, To: 9, Server: "up", FormerOwners: []keymap.FormerOwner{{Server: "cut"}}},
		{From: 10, To: keymap.KeyCount - 1, Server: "up", FormerOwners: []keymap.FormerOwner{{Server: "cut", Address: "cut:1", Incarnation: 5}}},
	}, 100, "cut")
	l.run(time.Second, "up")
	fences, _ := l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0]).To(HaveField("From", 10))
}

// Guards against a former owner that is no longer told a higher fence because it shall own
// the keys again, although it is not registered and gets no grant.
func TestUnregisteredServerGetsNoKeys(t *testing.T) {
	g := NewWithT(t)
	l, _ := moveOff()
	delete(l.servers, "cut")
	l.SetServers(l.servers)
	l.Move(0, keymap.KeyCount-1, "cut")
	_, stored := l.run(time.Second, "up")
	g.Expect(stored).To(BeNil())
	l.Move(0, keymap.KeyCount-1, "up")
	fences, _ := l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(ContainElement(And(HaveField("Server", topology.ServerID("cut")), HaveField("Address", "cut:1"))))
}

// Guards against a fence for a former owner that goes to an address at which the server is
// no longer registered.
func TestFormerOwnerWithNewAddress(t *testing.T) {
	g := NewWithT(t)
	l, _ := moveOff()
	l.servers["cut"] = ownership.Server{Address: "cut:2", Incarnation: 5}
	l.SetServers(l.servers)
	fences, _ := l.run(settings.RetryInterval+step, "up", "cut")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0].Address).To(Equal("cut:2"))
}

// Guards against a former owner that is never told a higher fence because another server has
// the address of its earlier start, which an old list of servers shows.
func TestFenceOutlastsAddressOfAnEarlierLife(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:2", Incarnation: 6}}, 100)
	l.Move(0, keymap.KeyCount-1, "up")
	l.run(4*time.Second, "up")
	l.now += settings.RetryInterval
	orders := slices.DeleteFunc(l.Step(l.now, l.now), func(o ownership.Order) bool { return o.Kind != ownership.Fence })
	g.Expect(orders).To(HaveLen(1))
	l.HandleResult(orders[0], ownership.ServerGone, "", l.now)
	l.servers["cut"] = ownership.Server{Address: "cut:2", Incarnation: 6}
	l.SetServers(l.servers)
	fences, _ := l.run(time.Second, "up", "cut")
	g.Expect(fences).NotTo(BeEmpty())
}

// Guards against an address that goes back to that of an earlier start of the server, because
// the list of servers is older than the key map.
func TestAddressOfEarlierStart(t *testing.T) {
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut", Address: "cut:2", Incarnation: 6}}, 100)
	orders := l.Step(l.now, l.now)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Address).To(Equal("cut:2"))
	stored, _ := l.NextKeyMap()
	g.Expect(stored[0]).To(And(HaveField("Address", "cut:2"), HaveField("Incarnation", int64(6))))
}

// Guards against a fence for a former owner that ends its present grants: of a server that
// owns keys again, or has started again.
func TestFenceForFormerOwnerEnds(t *testing.T) {
	for name, end := range map[string]func(l *fencingLeader){
		"owns the keys again": func(l *fencingLeader) {
			l.Move(0, keymap.KeyCount-1, "cut")
			l.run(time.Second, "up")
		},
		"has started again": func(l *fencingLeader) {
			l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 6}
			l.SetServers(l.servers)
		},
		"is not registered for a minute": func(l *fencingLeader) {
			*l = *newFencingLeader(keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "cut"}}, 100, "cut")
			l.Move(0, keymap.KeyCount-1, "up")
			l.run(4*time.Second, "up")
			l.run(time.Minute, "up")
			l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 5}
			l.SetServers(l.servers)
		},
		"cannot be reached for a minute": func(l *fencingLeader) { l.run(time.Minute, "up") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, _ := moveOff()
			end(l)
			fences, _ := l.run(2*time.Second, "up", "cut")
			g.Expect(fences).To(BeEmpty())
		})
	}
}

// Guards against a server that takes a grant of a killed leader after the store was restored
// from a copy: nobody knows which server owned the keys, so all are told a higher fence
// before the keys get an owner, and those that register later as well.
func TestUnknownOwnersAreFenced(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	keyMap := keymap.Map{{From: 0, To: 9, Server: "up"}, {From: 10, To: last, Server: "cut"}}
	l := newFencingLeader(keyMap.WithUnknownOwners(), 100, "cut")
	fences, stored := l.run(time.Second, "up", "cut")
	g.Expect(stored).To(BeNil(), "the keys have no owner yet")
	g.Expect(fences).To(HaveLen(1))
	g.Expect(fences[0]).To(And(HaveField("Server", topology.ServerID("up")), HaveField("From", 0), HaveField("To", last)))
	l.Move(0, last, "up")
	_, stored = l.run(4*time.Second, "up", "cut")
	g.Expect(stored).NotTo(BeNil())
	l.servers["cut"] = ownership.Server{Address: "cut:1", Incarnation: 5}
	l.servers["late"] = ownership.Server{Address: "late:1", Incarnation: 5}
	l.SetServers(l.servers)
	fences, _ = l.run(time.Second, "up", "cut", "late")
	g.Expect(fences).To(HaveLen(2))
	for _, o := range fences {
		g.Expect(o).To(And(HaveField("Server", Not(Equal(topology.ServerID("up")))), HaveField("From", 0), HaveField("To", last)))
	}
	fences, _ = l.run(2*time.Second, "up", "cut", "late")
	g.Expect(fences).To(BeEmpty())
}

// Guards against a fence for keys of unknown owners that ends the grant of the server that
// got them.
func TestNewOwnerOfUnknownKeysIsNotFenced(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	l := newFencingLeader(keymap.Empty().WithUnknownOwners(), 100)
	l.Move(0, 99, "cut")
	l.Move(100, last, "up")
	l.run(4*time.Second, "up")
	fences, _ := l.run(time.Second, "up", "cut")
	g.Expect(fences).NotTo(BeEmpty())
	for _, o := range fences {
		g.Expect(o).To(And(HaveField("Server", topology.ServerID("cut")), HaveField("From", 100), HaveField("To", last)))
	}
}

// Guards against a key map that the store rejects for its size, so that no key gets an
// owner: it names every server that cannot be reached as a former owner of every range.
func TestKeyMapOfUnknownOwnersIsSmall(t *testing.T) {
	const servers, ranges, maxRecordBytes = 176, 440, 262144
	g := NewWithT(t)
	var keyMap keymap.Map
	all := make(map[topology.ServerID]ownership.Server)
	for i := range ranges {
		id := topology.ServerID(fmt.Sprintf("i-%010d", i%servers))
		all[id] = ownership.Server{Address: fmt.Sprintf("10.200.101.%d:8080", i%servers), Incarnation: 1796500000000}
		keyMap = append(keyMap, keymap.Range{From: i * keymap.KeyCount / ranges, To: (i+1)*keymap.KeyCount/ranges - 1, Server: id})
	}
	l := newFencingLeader(keyMap.WithUnknownOwners(), 100)
	l.servers = all
	l.SetServers(all)
	l.run(5 * time.Second) // no server can be reached
	for _, r := range keyMap {
		l.Move(r.From, r.To, r.Server)
	}
	stored, _ := l.NextKeyMap()
	data, err := stored.Encode(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", maxRecordBytes))
}

// Guards against a fence that arrives late because an earlier call for the same keys hangs.
func TestHangingFenceIsRepeated(t *testing.T) {
	g := NewWithT(t)
	l, _ := moveOff()
	calls := 0
	for end := l.now + time.Second; l.now < end; l.now += step {
		for _, o := range l.Step(l.now, l.now) {
			if o.Kind == ownership.Fence {
				calls++ // no response yet
			} else {
				l.HandleResult(o, ownership.Done, "", l.now)
			}
		}
	}
	g.Expect(calls).To(BeNumerically("~", 5, 1))
}

// Guards against a server that rejects requests for its keys until the next renewal: a fence
// order that was sent before it got the keys ended its grant.
func TestFenceThatArrivesAfterAGrant(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	l := newFencingLeader(keymap.Empty().WithUnknownOwners(), 100)
	l.Move(0, last, "up")
	var late ownership.Order
	var granted int64
	for ; granted == 0; l.now += step {
		for _, o := range l.Step(l.now, l.now) {
			switch {
			case o.Kind == ownership.Fence && o.Server == "up":
				late = o // no response yet
			default:
				l.HandleResult(o, ownership.Done, "", l.now)
			}
			if o.Kind == ownership.Grant {
				granted = o.Fence
			}
		}
		if _, changed := l.NextKeyMap(); changed {
			l.KeyMapStored(l.now)
		}
	}
	g.Expect(late.Fence).To(And(BeNumerically(">", 0), BeNumerically("<", granted)))
	l.HandleResult(late, ownership.Done, "", l.now)
	orders := l.Step(l.now, l.now)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0]).To(And(HaveField("Kind", ownership.Grant), HaveField("Server", topology.ServerID("up")), HaveField("Fence", BeNumerically(">", granted))))
}
