package leaderlease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
)

var settings = leaderlease.Settings{
	BaseDuration: 2500 * time.Millisecond, ExtendedDuration: 10 * time.Second, FollowerTimeout: 1500 * time.Millisecond, CallTimeout: 350 * time.Millisecond,
}

const ms = time.Millisecond

// Guards against a leader that stops sending grants while no host can reach
// the store, and against a leader that continues without a majority of
// followers.
func TestLeaseValidity(t *testing.T) {
	g := NewWithT(t)
	l := leaderlease.New(settings, 1, "x", 0, nil)
	g.Expect(l.Valid(2500 * ms)).To(BeTrue())
	g.Expect(l.Valid(2501*ms)).To(BeFalse(), "the stored record lists no followers")
	l.SetStoredFollowers([]uint64{1, 2, 3}, 0)
	g.Expect(l.Valid(2501*ms)).To(BeFalse(), "no other host follows")
	l.RecordFollower(2, "b", 2500*ms)
	g.Expect(l.Valid(4000 * ms)).To(BeTrue())
	g.Expect(l.Valid(4001*ms)).To(BeFalse(), "the last message of the follower is too old")
	l.RecordFollower(9, "c", 5000*ms)
	g.Expect(l.Valid(5000*ms)).To(BeFalse(), "a host that the stored record does not list does not count")
	l.RecordFollower(3, "d", 10000*ms)
	g.Expect(l.Valid(10000 * ms)).To(BeTrue())
	l.RecordFollower(3, "d", 10001*ms)
	g.Expect(l.Valid(10001*ms)).To(BeFalse(), "the extended duration has passed")
	l.Confirm(10000 * ms)
	g.Expect(l.Valid(12000 * ms)).To(BeTrue())
}

// Guards against a new leader that waits ten seconds before it moves the keys
// of failed servers although the earlier leader has ended.
func TestEarlierLeadersUntil(t *testing.T) {
	earlier := []leaderlease.EarlierLeader{{Address: "a", Incarnation: 1, Followers: []uint64{1, 2, 3, 4, 5}, FollowerAddresses: []string{"a", "b", "c", "d", "e"}}}
	for _, c := range []struct {
		name     string
		messages func(l *leaderlease.Lease)
		want     time.Duration
	}{
		{"no host follows", func(*leaderlease.Lease) {}, 10350 * ms},
		{"a minority follows", func(l *leaderlease.Lease) { l.RecordFollower(3, "c", 100*ms) }, 10350 * ms},
		{"a majority follows", func(l *leaderlease.Lease) { l.RecordFollower(3, "c", 100*ms); l.RecordFollower(4, "d", 200*ms) }, 2850 * ms},
		{"a majority follows late", func(l *leaderlease.Lease) { l.RecordFollower(3, "c", 4000*ms); l.RecordFollower(4, "d", 4100*ms) }, 5950 * ms},
		{"a majority follows, but never at the same time", func(l *leaderlease.Lease) { l.RecordFollower(3, "c", 100*ms); l.RecordFollower(4, "d", 1700*ms) }, 10350 * ms},
		{"a majority follows or was restarted", func(l *leaderlease.Lease) { l.RecordFollower(73, "c", 100*ms); l.RecordFollower(4, "d", 200*ms) }, 2850 * ms},
		{"restarted hosts count after they are silent", func(l *leaderlease.Lease) { l.RecordFollower(73, "c", 100*ms); l.RecordFollower(4, "d", 4000*ms) }, 5850 * ms},
		{"new hosts do not count", func(l *leaderlease.Lease) { l.RecordFollower(73, "x", 100*ms); l.RecordFollower(4, "d", 200*ms) }, 10350 * ms},
		{"the earlier leader follows", func(l *leaderlease.Lease) { l.RecordFollower(1, "a", 300*ms) }, 650 * ms},
		{"another process has its address", func(l *leaderlease.Lease) { l.RecordFollower(77, "a", 300*ms) }, 650 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := leaderlease.New(settings, 2, "b", 0, earlier)
			c.messages(l)
			NewWithT(t).Expect(l.EarlierLeadersUntil()).To(Equal(c.want))
		})
	}
}

// Guards against a leader that does not wait for leaders whose claims a restored store has
// lost, or waits although they have ended.
func TestUnlistedLeadersUntil(t *testing.T) {
	hosts := []string{"a", "c", "d"}
	unlisted := leaderlease.EarlierLeader{Unlisted: true, FollowerAddresses: hosts}
	follow := func(addresses string, at time.Duration) func(*leaderlease.Lease) {
		return func(l *leaderlease.Lease) {
			for i, a := range addresses {
				l.RecordFollower(uint64(10+i), string(a), at)
			}
		}
	}
	for _, c := range []struct {
		name     string
		messages func(l *leaderlease.Lease)
		want     time.Duration
	}{
		{"no host follows", func(*leaderlease.Lease) {}, 10350 * ms},
		{"two hosts are missing", follow("a", 100*ms), 10350 * ms},
		{"unknown hosts do not count", follow("axy", 100*ms), 10350 * ms},
		{"one host is missing", follow("ac", 100*ms), 2850 * ms},
		{"one host is missing, the others follow late", follow("ac", 4000*ms), 5850 * ms},
		{"all hosts follow", follow("acd", 300*ms), 650 * ms},
		{"the last host follows late", func(l *leaderlease.Lease) { follow("ac", 100*ms)(l); follow("d", 2000*ms)(l) }, 2350 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := leaderlease.New(settings, 2, "b", 0, []leaderlease.EarlierLeader{unlisted})
			c.messages(l)
			g.Expect(l.EarlierLeadersUntil()).To(Equal(c.want))
			g.Expect(l.MovesFrom()).To(BeZero(), "their era of the store has ended")

			l = leaderlease.New(settings, 2, "b", 0, nil)
			follow("acd", 0)(l) // before the store was restored
			l.Reclaimed(time.Second, unlisted)
			c.messages(l)
			g.Expect(l.EarlierLeadersUntil()).To(BeNumerically(">=", c.want))
		})
	}
}

// Guards against a wait for an earlier leader that has lost its majority first and whose
// process is known to have ended afterwards.
func TestEarlierLeaderThatEndsAfterItsMajority(t *testing.T) {
	earlier := []leaderlease.EarlierLeader{{Address: "a", Incarnation: 1, Followers: []uint64{1, 3, 4}, FollowerAddresses: []string{"a", "c", "d"}}}
	l := leaderlease.New(settings, 2, "b", 0, earlier)
	l.RecordFollower(3, "c", 100*ms)
	l.RecordFollower(4, "d", 100*ms)
	l.RecordFollower(1, "a", 300*ms)
	NewWithT(t).Expect(l.EarlierLeadersUntil()).To(Equal(650 * ms))
}

// Guards against a wait for earlier leaders that becomes longer when another sign of
// their end arrives.
func TestLateSignOfEndDoesNotProlongWait(t *testing.T) {
	for _, earlier := range []leaderlease.EarlierLeader{
		{Address: "a", Incarnation: 1, Followers: []uint64{1, 3, 4}, FollowerAddresses: []string{"a", "c", "d"}},
		{Unlisted: true, FollowerAddresses: []string{"a", "c", "d"}},
	} {
		g := NewWithT(t)
		l := leaderlease.New(settings, 2, "b", 0, []leaderlease.EarlierLeader{earlier})
		l.RecordFollower(3, "c", 100*ms)
		l.RecordFollower(4, "d", 100*ms)
		g.Expect(l.EarlierLeadersUntil()).To(Equal(2850 * ms))
		l.RecordFollower(1, "a", 5000*ms)
		g.Expect(l.EarlierLeadersUntil()).To(Equal(2850 * ms))
	}
}

// model simulates leaders that may be disconnected from the store, and hosts
// that each follow one leader.
type model struct {
	now     time.Duration
	record  []leaderlease.EarlierLeader // leaders that may act, the latest one last
	leaders []*leader
	follows map[uint64]int // number of the leadership that a host follows
	// restarts counts the restarts of each host, which change its incarnation.
	restarts map[uint64]uint64
}

// incarnation returns the incarnation of the present process of a host.
func (m *model) incarnation(host uint64) uint64 { return host + 10*m.restarts[host] }

func address(host uint64) string { return string(rune('a' + host)) }

type leader struct {
	number       int    // of the leadership
	self         uint64 // host
	incarnation  uint64
	lease        *leaderlease.Lease
	disconnected bool            // from the store
	receivesFrom map[uint64]bool // hosts whose messages arrive
}

// Guards against an earlier leader that still acts after the time until which
// the new leader waits for it, for any loss of messages and any outage of the
// store.
func TestEarlierLeaderStopsInTime(t *testing.T) {
	const hosts = 5
	rapid.Check(t, func(t *rapid.T) {
		m := &model{follows: make(map[uint64]int), restarts: make(map[uint64]uint64)}
		claim := func(self uint64) {
			incarnation := m.incarnation(self)
			l := &leader{number: len(m.leaders) + 1, self: self, incarnation: incarnation, lease: leaderlease.New(settings, incarnation, address(self), m.now, m.record), receivesFrom: make(map[uint64]bool)}
			m.leaders = append(m.leaders, l)
			m.follows[self] = l.number
			m.record = append(l.lease.EarlierLeaders(m.now), leaderlease.EarlierLeader{Address: address(self), Incarnation: incarnation})
			for h := range uint64(hosts) {
				l.receivesFrom[h] = true
			}
		}
		claim(0)
		for range rapid.IntRange(10, 80).Draw(t, "rounds") {
			last := m.leaders[len(m.leaders)-1]
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				last.disconnected = rapid.Bool().Draw(t, "cut")
				claim(rapid.Uint64Range(0, hosts-1).Draw(t, "claims"))
			case 1:
				l := rapid.SampledFrom(m.leaders).Draw(t, "leader")
				h := rapid.Uint64Range(0, hosts-1).Draw(t, "unheard")
				l.receivesFrom[h] = !l.receivesFrom[h]
			case 2:
				if !last.disconnected && last.incarnation == m.incarnation(last.self) {
					followers := last.lease.Followers(m.now)
					last.lease.SetStoredFollowers(followers, 0)
					m.record = append(last.lease.EarlierLeaders(m.now), leaderlease.EarlierLeader{
						Address: address(last.self), Incarnation: last.incarnation, Followers: followers, FollowerAddresses: last.lease.Addresses(followers),
					})
				}
			case 3:
				h := rapid.Uint64Range(0, hosts-1).Draw(t, "host")
				if m.follows[h] == 0 {
					// A host that has started reads the store before it follows.
					m.follows[h] = len(m.leaders)
				}
				m.follows[h] = max(m.follows[h], rapid.IntRange(1, len(m.leaders)).Draw(t, "follows"))
			case 4:
				h := rapid.Uint64Range(0, hosts-1).Draw(t, "restarts")
				m.restarts[h]++
				m.follows[h] = 0
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				m.step(t, hosts)
			}
		}
	})
}

// step advances the time, delivers messages and checks the earlier leaders.
func (m *model) step(t *rapid.T, hosts uint64) {
	m.now += 50 * ms
	last := m.leaders[len(m.leaders)-1]
	for _, l := range m.leaders {
		if l.incarnation != m.incarnation(l.self) {
			continue // its process has ended
		}
		if l == last && !l.disconnected {
			l.lease.Confirm(m.now)
		}
		for h := range hosts {
			if h != l.self && m.follows[h] == l.number && l.receivesFrom[h] {
				l.lease.RecordFollower(m.incarnation(h), address(h), m.now)
			}
		}
	}
	for _, l := range m.leaders[:len(m.leaders)-1] {
		acts := l.incarnation == m.incarnation(l.self) && m.follows[l.self] == l.number && l.lease.Valid(m.now)
		if acts && m.now > last.lease.EarlierLeadersUntil() {
			t.Fatalf("at %v leader %d acts, which leader %d expects to have ended at %v", m.now, l.number, last.number, last.lease.EarlierLeadersUntil())
		}
	}
}
