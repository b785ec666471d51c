package gateway

import (
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
)

// timing holds the intervals and ages that follow from the promises of the
// deployment. A promise that is looser than usual loosens nothing: shorter ages
// than it permits cost little. A tighter one tightens all that belongs to it.
type timing struct {
	// leaderPoll is the interval at which the leader reads the registrations,
	// urgentPoll that for hosts whose leader's list is older than staleList.
	leaderPollInterval time.Duration
	urgentPollInterval time.Duration
	staleListAge       time.Duration
	// blindAge is the age of the leader's list above which a host that reaches
	// the store takes the lead.
	takeoverListAge time.Duration
	// freshList is the age of the list up to which requests are sent. A server
	// may be sent requests for LeaveNotice after its announcement; the rest is
	// the time that a request needs to reach its server.
	maxListAge time.Duration
	// vainWait is the time after which a read without an answer counts as vain.
	// The store answers within milliseconds when it answers at all.
	readOverdueAfter time.Duration
	// fullRead is the age of the list above which reading all registrations is
	// less than reading all changes: servers renew theirs at each beat.
	fullReadAge time.Duration

	// leaderConfigWait and urgentConfigWait are the times for which the store
	// holds a read of the configuration open. A connection can go silent; a host
	// that is responsible for itself notices it after a short wait.
	leaderConfigWait time.Duration
	urgentConfigWait time.Duration
	// configTold is the time for which a read is left open after the leader has
	// told of a newer configuration.
	newerConfigGrace time.Duration
	// configGrace is the time after such a wait at which the read is given up,
	// configCheck the interval at which this is looked at.
	configWaitGrace     time.Duration
	configCheckInterval time.Duration

	// membershipTerm is the time after its last call for which the store lists
	// the leader as present; it bounds the time to a takeover.
	membershipTTL time.Duration
	joinInterval  time.Duration

	// notReady is the time for which a stopping host still takes requests: the
	// balancer needs two misses in a row, a second apart.
	notReadyTime time.Duration

	grants ownership.Settings
	// earlierHold is the time by which grants of earlier leaders may last longer
	// than those of this host: they may have had other settings.
	earlierGrantExtra time.Duration
	lease             leaderlease.Settings
}

const (
	// usualNotice, usualConfig and usualHold are the promises at which the
	// intervals have their full length. Longer grants would make a key wait
	// longer after the silent loss of its server.
	baseDrainWindow   = 2 * time.Second
	baseConfigDelay   = 2 * time.Second
	baseGrantDuration = 2200 * time.Millisecond
	// usualTerm keeps a takeover short; shorter memberships would end in a pause
	// of the leader.
	baseMembershipTTL = time.Second
	// fullReadBeats is the number of renewals of each server after which all
	// registrations are less to read.
	fullReadHeartbeats = 4.6
	// minVain keeps a slow answer from being taken for none.
	minReadOverdue = 100 * time.Millisecond
	// grantTimeout bounds the time in which a grant reaches its server.
	grantTimeout = 250 * time.Millisecond
)

// newTiming returns the intervals for a deployment.
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
			// A proof is at most proofRest and two leaderWatch old while the store
			// answers.
			BaseDuration: 2500 * time.Millisecond,
			// Outages of the store last up to 9 s.
			ExtendedDuration: 10 * time.Second,
			// Two heartbeats of a host fit into it.
			FollowerTimeout: 1500 * time.Millisecond,
			CallTimeout:     grantTimeout,
		},
	}
}

// terms are the promises that are in force and what follows from them. They
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

// tightness is the factor by which a promise shortens what belongs to it.
func scaleFactor(bound, base time.Duration) float64 {
	return min(1, float64(bound)/float64(base))
}

func scaled(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
