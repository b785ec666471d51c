package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
)

// typicalBounds are the bounds of the first deployments.
func typicalBounds() Bounds {
	return Bounds{
		DrainWindow: 2 * time.Second, MaxConfigDelay: 2 * time.Second, StopGrace: 6 * time.Second, MaxGrantDuration: 10 * time.Second,
		RetryRatio: 0.2, RetrySlack: 62, RetryWindow: 10 * time.Second, ServerHeartbeat: 870 * time.Millisecond, MinMembershipTTL: time.Second,
	}
}

func typicalSettings() Settings {
	return Settings{
		Host: "edge-1", DataCentre: "a", IP: "10.0.0.1", CallerAddress: "10.0.0.1:80", ReadyAddress: "10.0.0.1:81",
		StoreAddress: "10.0.0.2:82", PeerPort: 7000, Bounds: typicalBounds(),
	}
}

// Guards against tighter bounds that are read but not applied. The derived
// values would then allow requests sent by a list that is too old, grants
// longer than permitted, a membership that the store refuses, and a stop that
// is cut off by SIGKILL.
func TestTimingStaysWithinBounds(t *testing.T) {
	millis := func(t *rapid.T, from, to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b := Bounds{
			DrainWindow: millis(t, 300, 5000, "notice"), MaxConfigDelay: millis(t, 300, 5000, "config"),
			StopGrace: millis(t, 1000, 20000, "grace"), MaxGrantDuration: millis(t, 800, 20000, "grant"),
			ServerHeartbeat: millis(t, 100, 3000, "beat"), MinMembershipTTL: millis(t, 100, 6000, "term"),
			RetryWindow: 10 * time.Second,
		}
		set := typicalSettings()
		set.Bounds = b
		g.Expect(set.Check()).To(Succeed())
		m := newTiming(b)

		g.Expect(m.maxListAge).To(BeNumerically("<=", b.DrainWindow*7/10), "time to reach the server")
		g.Expect(2*m.leaderPollInterval).To(BeNumerically("<", m.maxListAge), "one read may fail")
		g.Expect(m.leaderPollInterval).To(BeNumerically("<", m.staleListAge))
		g.Expect(m.staleListAge).To(BeNumerically("<", m.takeoverListAge))
		g.Expect(m.takeoverListAge).To(BeNumerically("<", m.maxListAge))

		g.Expect(m.leaderConfigWait + m.configCheckInterval).To(BeNumerically("<=", b.MaxConfigDelay*6/10))

		g.Expect(m.grants.GrantDuration).To(BeNumerically("<=", b.MaxGrantDuration))
		g.Expect(m.grants.RenewInterval+m.grants.RetryInterval+m.grants.CallTimeout).To(BeNumerically("<", m.grants.GrantDuration), "a renewal may be lost")
		g.Expect(m.grants.GrantDuration+m.earlierGrantExtra).To(BeNumerically("==", baseGrantDuration), "an earlier leader may have had longer bounds")

		g.Expect(m.membershipTTL).To(BeNumerically(">=", b.MinMembershipTTL))
		g.Expect(3 * m.joinInterval).To(BeNumerically("<", m.membershipTTL))

		g.Expect(m.notReadyTime + stopReserve).To(BeNumerically("<", b.StopGrace))
	})
}

// Guards against intervals that change for deployments with typical bounds.
func TestTimingWithTypicalBounds(t *testing.T) {
	g := NewWithT(t)
	m := newTiming(typicalBounds())
	g.Expect(m.leaderPollInterval).To(Equal(450 * time.Millisecond))
	g.Expect(m.maxListAge).To(Equal(1400 * time.Millisecond))
	g.Expect(m.grants.GrantDuration).To(Equal(baseGrantDuration))
	g.Expect(m.membershipTTL).To(Equal(time.Second))
	g.Expect(m.notReadyTime).To(Equal(2300 * time.Millisecond))
}

// Guards against changed bounds that apply only after the next start, and
// against an invalid settings file that replaces the bounds in force.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	set := typicalSettings()
	gw := &gateway{settings: set, active: newActiveBounds(set.Bounds), log: logging.For(logging.Router)}
	now := &clock.Manual{}
	b := newRetryBudget(now, gw.active)
	permitted := func() int {
		n := 0
		for !b.decideRetry(1, 1).denied {
			n++
		}
		return n
	}
	g.Expect(permitted()).To(BeZero(), "the number of hosts is not known for a window")
	now.Advance(set.Bounds.RetryWindow)
	g.Expect(permitted()).To(Equal(20), "a third of 62")

	set.Bounds.RetrySlack, set.Bounds.DrainWindow = 100, time.Second
	gw.reload(set)
	g.Expect(permitted()).To(Equal(33-20), "a third of 100")
	g.Expect(gw.active.timing().maxListAge).To(Equal(700 * time.Millisecond))

	set.Bounds.RetrySlack, set.StoreAddress = 1000, "nowhere"
	gw.reload(set)
	g.Expect(permitted()).To(BeZero())
}

// Guards against a process that starts with settings that it cannot use, and
// against an operator who sees only one problem at a time.
func TestCheckReportsAllProblems(t *testing.T) {
	g := NewWithT(t)
	g.Expect(typicalSettings().Check()).To(Succeed())
	s := typicalSettings()
	s.IP, s.StoreAddress, s.PeerPort = "x", "10.0.0.2", 0
	err := s.Check()
	for _, part := range []string{"ip", "store address", "peer port"} {
		g.Expect(err).To(MatchError(ContainSubstring(part)))
	}
}

// Guards against a deployment that is not served at all because it states a
// bound that does not apply to it, such as a longest grant of zero where no
// service is divided by key.
func TestUnattainableBoundsAreRaised(t *testing.T) {
	g := NewWithT(t)
	g.Expect(typicalBounds().Problems()).To(BeEmpty())
	g.Expect(Bounds{}.Problems()).To(HaveLen(5))
	set := typicalSettings()
	set.Bounds = Bounds{}
	g.Expect(set.Check()).To(Succeed())
	m := newActiveBounds(set.Bounds).timing()
	g.Expect(m.grants.GrantDuration).To(Equal(minGrantDuration))
	g.Expect(m.leaderPollInterval).To(BeNumerically(">", 50*time.Millisecond))
	g.Expect(m.notReadyTime).To(BeNumerically(">", 0))
}
