package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
)

// Guards against cold servers without a limit, and against a limit that outlasts its
// configuration: the rate follows the configuration, the bound the settings, and the share
// the role of the scheduler.
func TestSchedulerLimitsColdServers(t *testing.T) {
	g := NewWithT(t)
	sent := 0
	s := newScheduler(clock.NewMonotonic(), func(d []schedule.Decision) {
		for _, dec := range d {
			if !dec.Refused {
				sent++
			}
		}
	}, func() bool { return true })
	s.warmup = func() (Bounds, schedule.WarmupShare) {
		return Bounds{WarmupExcess: 1.5, WarmupSlack: 8}, schedule.WarmupShare{Role: schedule.StartingLeader}
	}
	number := uint32(0)
	play := func(rate float64) int {
		cfg := fleet.NewConfig(1, nil, []fleet.Service{{Name: "svc", WarmupRate: rate, ColdTime: 3 * time.Second}}, fleet.Limits{})
		s.addServices(cfg, nil, nil)
		s.updateServers([]fleet.Server{{ID: "s-1", Service: "svc", Slots: 20, WarmupLeft: time.Minute}})
		before := sent
		for range 10 {
			number++
			now := s.clk.Now()
			s.add(hash32("svc"), &schedule.Job{ID: schedule.JobID{Number: number}, Key: schedule.NoKey, Target: now + time.Second, Deadline: now + time.Second})
		}
		return sent - before
	}
	g.Expect(play(3.9)).To(BeNumerically("<=", 2))
	g.Expect(s.summaries()[0].cold).To(Equal(1))
	g.Expect(play(0)).To(BeNumerically(">=", 10))
	g.Expect(s.summaries()[0].cold).To(BeZero())
}

// Guards against two leaders that both use the full share of the bound: a leader that lost
// the store reckons with another one until a later confirmation.
func TestWarmupRoleOfLeader(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		now, confirmedAt, contactLostAt, earlierUntil time.Duration
		want                                          schedule.WarmupRole
	}{
		"just started":              {now: 100*s + startingTime - 1, confirmedAt: 100 * s, want: schedule.StartingLeader},
		"an earlier leader acts":    {now: 102 * s, confirmedAt: 101 * s, earlierUntil: 103 * s, want: schedule.RivalLeader},
		"in contact":                {now: 104 * s, confirmedAt: 102 * s, earlierUntil: 103 * s, want: schedule.SoleLeader},
		"lost contact":              {now: 106 * s, confirmedAt: 104 * s, contactLostAt: 105 * s, want: schedule.RivalLeader},
		"in contact, not confirmed": {now: 107 * s, confirmedAt: 105 * s, contactLostAt: 105 * s, want: schedule.RivalLeader},
		"confirmed later":           {now: 107 * s, confirmedAt: 106 * s, contactLostAt: 105 * s, want: schedule.SoleLeader},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(warmupRole(c.now, 100*s, c.confirmedAt, c.contactLostAt, c.earlierUntil)).To(Equal(c.want))
		})
	}
}

// Guards against a leader that, out of reach of the store, counts on hosts that may follow
// another leader: one is silent, or has not been heard for longer than it takes to lead.
func TestAllHostsFollow(t *testing.T) {
	g := NewWithT(t)
	clk := clock.NewMonotonic()
	now := clk.Now()
	fs := &followers{clk: clk, maxHosts: 3, hosts: map[uint64]*follower{1: {lastHeard: now}, 2: {lastHeard: now}}}
	g.Expect(fs.allHeardWithin(time.Minute)).To(BeTrue())
	fs.hosts[2].lastHeard = now - 2*time.Minute
	g.Expect(fs.allHeardWithin(time.Minute)).To(BeFalse())
	delete(fs.hosts, 2)
	g.Expect(fs.allHeardWithin(time.Minute)).To(BeFalse())
}
