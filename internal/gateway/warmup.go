package gateway

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
)

const (
	// rivalAge is the time since the last response of the store after which a leader
	// reckons with another one: two renewals of its membership, every 0.3 s, have
	// failed. Another host claims the leadership 1.2 s after the last one.
	rivalAge = 700 * time.Millisecond
	// startingTime is how long a new leader reckons with what an earlier one sent with
	// the full share. That may have gone on until its list of servers was 0.8 s old
	// (staleListAge) and counts for a window of 1.15 s; the new one claims the
	// leadership once the list is 1.1 s old (takeoverListAge). A host that follows sends
	// a message every 0.7 s at least.
	startingTime = 850 * time.Millisecond
	// warmupLinesPerSecond bounds the log lines on cold servers. All servers of a data
	// centre become cold at once when it returns.
	warmupLinesPerSecond = 20
)

// warmupShare returns the share of the leader's scheduler in the requests that a cold
// server tolerates.
func (l *leadership) warmupShare() (Bounds, schedule.WarmupShare) {
	now, listAge := l.clk.Now(), l.watcher.listAge()
	// A host that leads follows nobody. As long as all follow this leader, another one
	// began at most startingTime ago, and uses a small share.
	followed := l.followers.allHeardWithin(startingTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !followed && (now-l.storeSeenAt > rivalAge || listAge > l.timing.staleListAge) {
		l.contactLostAt = now
	}
	role := warmupRole(now, l.startedAt, l.confirmedAt, l.contactLostAt, l.lease.EarlierLeadersUntil())
	return *l.active.bounds.Load(), schedule.WarmupShare{Role: role, ListReadAt: now - listAge, MaxListAge: l.timing.maxListAge}
}

// warmupRole returns the role of a leader that has led since startedAt. Contact with the
// store and some host was lost at contactLostAt, zero if never; a confirmation that was sent later shows
// that no other host claimed the leadership meanwhile.
func warmupRole(now, startedAt, confirmedAt, contactLostAt, earlierLeadersUntil time.Duration) schedule.WarmupRole {
	switch {
	case now-startedAt < startingTime:
		return schedule.StartingLeader
	case contactLostAt != 0 && confirmedAt <= contactLostAt, now < earlierLeadersUntil:
		return schedule.RivalLeader
	default:
		return schedule.SoleLeader
	}
}

// warmupShare returns the share of the fallback scheduler of this host.
func (g *gateway) warmupShare() (Bounds, schedule.WarmupShare) {
	t := g.active.timing()
	// A host that hears its leader is not cut off from it: it acts alone since one decision
	// is late, and the leader's list of servers is as good as its own.
	known := max(g.clk.Now()-g.watcher.listAge(), g.leaderClient.heardAt())
	share := schedule.WarmupShare{Role: schedule.AloneHost, ListReadAt: known, MaxListAge: t.maxListAge}
	limits := g.leaderClient.limitShare()
	share.Hosts, share.Phase = limits.Hosts, limits.Phase
	return *g.active.bounds.Load(), share
}

// heardAt returns the time of the last message of the leader.
func (c *leaderClient) heardAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHeard
}

// limitShare returns the share of the fallback scheduler in the limits of servers.
func (c *leaderClient) limitShare() schedule.LimitShare {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := schedule.LimitShare{Hosts: c.maxHostCount, Phase: c.limitPhase}
	if share.Hosts == 0 {
		share.Hosts = unknownHostCount
	}
	return share
}

// limitColdServers passes on what cold servers of a service tolerate. The caller holds the
// lock.
func (s *scheduler) limitColdServers(svc *serviceScheduler) {
	if s.warmup == nil {
		return
	}
	bounds, share := s.warmup()
	svc.sched.SetWarmup(schedule.WarmupTerms{
		PerSecond: svc.warmupRate, Excess: bounds.WarmupExcess, Slack: bounds.WarmupSlack, Duration: svc.coldTime,
	}, share)
}

// logColdServers counts the cold servers of a service and logs their changes. The caller
// holds the lock.
func (s *scheduler) logColdServers(svc *serviceScheduler, now time.Duration) {
	changes, cold := svc.sched.TakeWarmupChanges(now)
	svc.coldServers = cold
	if s.warmupLog != nil {
		s.warmupLog.record(string(svc.name), changes)
	}
}

// warmupLog writes the lines on servers that become cold or warm.
type warmupLog struct {
	log     logging.Logger
	clk     clock.Clock
	limiter logging.Limiter
}

func newWarmupLog(clk clock.Clock) *warmupLog {
	return &warmupLog{log: logging.For(logging.Lead), clk: clk, limiter: logging.Limiter{PerSecond: warmupLinesPerSecond}}
}

func (l *warmupLog) record(service string, changes []schedule.WarmupChange) {
	for _, c := range changes {
		ok, omitted := l.limiter.Allow(l.clk.Now())
		if !ok {
			continue
		}
		line := l.log.With("service", service).With("server", string(c.Server))
		if omitted > 0 {
			line = line.With("omitted", omitted)
		}
		if c.Cold {
			line.Info("a server is cold; its requests are limited")
		} else {
			line.Info("a server is no longer cold or no longer listed")
		}
	}
}
