package gateway

import (
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
)

// timing holds the intervals and ages derived from the bounds of the
// deployment. A bound below its base value shortens all values derived from it.
// A bound above it changes nothing, because shorter ages than it permits cost
// little.
type timing struct {
	// leaderPollInterval is the interval at which the leader reads the
	// registrations. urgentPollInterval is that of hosts whose leader is silent
	// or has a list older than staleListAge.
	leaderPollInterval time.Duration
	urgentPollInterval time.Duration
	staleListAge       time.Duration
	// takeoverListAge is the age of the leader's list above which a host that
	// reaches the store claims the leadership.
	takeoverListAge time.Duration
	// maxListAge is the age of the list up to which requests are sent. It is
	// below DrainWindow by the time that a request needs to reach its server.
	maxListAge time.Duration
	// readOverdueAfter is the time after which a read without a response counts
	// as failed. The store responds within milliseconds if it responds at all.
	readOverdueAfter time.Duration
	// fullReadAge is the age of the list above which a read of all
	// registrations transfers less than a read of all changes: servers renew
	// their registrations at each heartbeat.
	fullReadAge time.Duration

	// leaderConfigWait and urgentConfigWait are the times for which the store
	// holds a read of the configuration open. A connection can fail silently; a
	// host that cannot rely on a leader detects this after a short wait.
	leaderConfigWait time.Duration
	urgentConfigWait time.Duration
	// newerConfigGrace is the time for which a read is left open after the
	// leader has announced a newer configuration.
	newerConfigGrace time.Duration
	// configWaitGrace is the time after configWait at which a read is
	// cancelled. configCheckInterval is the interval at which reads are
	// checked. leaderConfigGrace is configWaitGrace for the leader, which reads for
	// all hosts: they get the configuration after it.
	configWaitGrace     time.Duration
	leaderConfigGrace   time.Duration
	configCheckInterval time.Duration
	// configAnnounced is true if hosts that follow a leader may rely on its
	// announcements: a lost one is made good by the next heartbeat.
	configAnnounced bool

	// membershipTTL is the time after its last call for which the store lists
	// the leader as a member; it bounds the time to a takeover.
	membershipTTL time.Duration
	joinInterval  time.Duration

	// notReadyTime is the time for which a stopping host still accepts
	// requests: the balancer needs two failed checks in a row, a second apart.
	notReadyTime time.Duration

	grants ownership.Settings
	// earlierGrantExtra is the time by which grants of earlier leaders may last
	// longer than those of this host, because they may have had other settings.
	earlierGrantExtra time.Duration
	lease             leaderlease.Settings
}

const (
	// baseDrainWindow, baseConfigDelay and baseGrantDuration are the bounds at
	// which the derived values have their full length. Longer grants would make
	// a key wait longer after the silent loss of its server.
	baseDrainWindow   = 2 * time.Second
	baseConfigDelay   = 2 * time.Second
	baseGrantDuration = 2200 * time.Millisecond
	// baseMembershipTTL keeps a takeover short. With a shorter time to live, a
	// pause of the leader could end its membership.
	baseMembershipTTL = time.Second
	// fullReadHeartbeats is the number of renewals of each server after which a
	// read of all registrations transfers less.
	fullReadHeartbeats = 4.6
	// minReadOverdue keeps a slow response from counting as a failed read.
	minReadOverdue = 100 * time.Millisecond
	// grantTimeout bounds the time in which a grant reaches its server.
	grantTimeout = 250 * time.Millisecond
)

// newTiming derives the timing from the bounds of a deployment.
func newTiming(b Bounds) timing {
	listScale := scaleFactor(b.DrainWindow, baseDrainWindow)
	configScale := scaleFactor(b.MaxConfigDelay, baseConfigDelay)
	grantScale := scaleFactor(b.MaxGrantDuration, baseGrantDuration)
	ttl := max(baseMembershipTTL, b.MinMembershipTTL)
	return timing{
		leaderPollInterval: scaled(listScale, 450*time.Millisecond),
		urgentPollInterval: scaled(listScale, 500*time.Millisecond),
		staleListAge:       scaled(listScale, 800*time.Millisecond),
		takeoverListAge:    scaled(listScale, 1100*time.Millisecond),
		maxListAge:         scaled(listScale, 1400*time.Millisecond),
		readOverdueAfter:   max(minReadOverdue, scaled(listScale, 350*time.Millisecond)),
		fullReadAge:        max(time.Second, scaled(fullReadHeartbeats, b.ServerHeartbeat)),

		leaderConfigWait:    scaled(configScale, time.Second),
		urgentConfigWait:    scaled(configScale, 1500*time.Millisecond),
		configWaitGrace:     scaled(configScale, storeTimeout),
		leaderConfigGrace:   scaled(configScale, 600*time.Millisecond),
		configAnnounced:     b.MaxConfigDelay >= baseConfigDelay,
		newerConfigGrace:    scaled(configScale, 300*time.Millisecond),
		configCheckInterval: scaled(configScale, 200*time.Millisecond),

		membershipTTL: ttl,
		joinInterval:  scaled(0.3, ttl),
		notReadyTime:  min(2300*time.Millisecond, (b.StopGrace-stopReserve)/2),

		grants: ownership.Settings{
			GrantDuration: scaled(grantScale, baseGrantDuration),
			RenewInterval: scaled(grantScale, 650*time.Millisecond),
			RetryInterval: scaled(grantScale, 200*time.Millisecond),
			CallTimeout:   grantTimeout,
		},
		earlierGrantExtra: baseGrantDuration - scaled(grantScale, baseGrantDuration),
		lease: leaderlease.Settings{
			// A confirmation is at most confirmationInterval and two
			// leaderWatchWait old while the store responds.
			BaseDuration: 2500 * time.Millisecond,
			// Outages of the store last up to 9 s.
			ExtendedDuration: 10 * time.Second,
			// Two heartbeats of a host fit into it.
			FollowerTimeout: 1500 * time.Millisecond,
			CallTimeout:     grantTimeout,
		},
	}
}

// activeBounds holds the bounds in force and the timing derived from them. Both
// change with the settings while the process runs.
type activeBounds struct {
	bounds  atomic.Pointer[Bounds]
	derived atomic.Pointer[timing]
}

func newActiveBounds(b Bounds) *activeBounds {
	a := new(activeBounds)
	a.set(b)
	return a
}

func (a *activeBounds) set(b Bounds) {
	b, _ = b.clamped()
	t := newTiming(b)
	a.bounds.Store(&b)
	a.derived.Store(&t)
}

func (a *activeBounds) timing() *timing { return a.derived.Load() }

// scaleFactor returns the factor by which a bound shortens the values derived
// from it.
func scaleFactor(bound, base time.Duration) float64 {
	return min(1, float64(bound)/float64(base))
}

func scaled(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
