package gateway

import (
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/mandate"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
)

// timing holds the intervals and ages that follow from the promises of the
// deployment. A promise that is looser than usual loosens nothing: shorter ages
// than it permits cost little. A tighter one tightens all that belongs to it.
type timing struct {
	// leaderPoll is the interval at which the leader reads the registrations,
	// urgentPoll that for hosts whose leader's list is older than staleList.
	leaderPoll time.Duration
	urgentPoll time.Duration
	staleList  time.Duration
	// blindAge is the age of the leader's list above which a host that reaches
	// the store takes the lead.
	blindAge time.Duration
	// freshList is the age of the list up to which requests are sent. A server
	// may be sent requests for LeaveNotice after its announcement; the rest is
	// the time that a request needs to reach its server.
	freshList time.Duration
	// vainWait is the time after which a read without an answer counts as vain.
	// The store answers within milliseconds when it answers at all.
	vainWait time.Duration
	// fullRead is the age of the list above which reading all registrations is
	// less than reading all changes: servers renew theirs at each beat.
	fullRead time.Duration

	// leaderConfigWait and urgentConfigWait are the times for which the store
	// holds a read of the configuration open. A connection can go silent; a host
	// that is responsible for itself notices it after a short wait.
	leaderConfigWait time.Duration
	urgentConfigWait time.Duration
	// configTold is the time for which a read is left open after the leader has
	// told of a newer configuration.
	configTold time.Duration
	// configGrace is the time after such a wait at which the read is given up,
	// configCheck the interval at which this is looked at.
	configGrace time.Duration
	configCheck time.Duration

	// membershipTerm is the time after its last call for which the store lists
	// the leader as present; it bounds the time to a takeover.
	membershipTerm time.Duration
	joinInterval   time.Duration

	// notReady is the time for which a stopping host still takes requests: the
	// balancer needs two misses in a row, a second apart.
	notReady time.Duration

	grants ownership.Settings
	// earlierHold is the time by which grants of earlier leaders may last longer
	// than those of this host: they may have had other settings.
	earlierHold time.Duration
	mandate     mandate.Settings
}

const (
	// usualNotice, usualConfig and usualHold are the promises at which the
	// intervals have their full length. Longer grants would make a key wait
	// longer after the silent loss of its server.
	usualNotice = 2 * time.Second
	usualConfig = 2 * time.Second
	usualHold   = 2200 * time.Millisecond
	// usualTerm keeps a takeover short; shorter memberships would end in a pause
	// of the leader.
	usualTerm = time.Second
	// fullReadBeats is the number of renewals of each server after which all
	// registrations are less to read.
	fullReadBeats = 4.6
	// minVain keeps a slow answer from being taken for none.
	minVain = 100 * time.Millisecond
	// grantTimeout bounds the time in which a grant reaches its server.
	grantTimeout = 250 * time.Millisecond
)

// newTiming returns the intervals for a deployment.
func newTiming(b Bounds) timing {
	list := tightness(b.LeaveNotice, usualNotice)
	config := tightness(b.ConfigInForce, usualConfig)
	hold := tightness(b.GrantMax, usualHold)
	term := max(usualTerm, b.MembershipTerm)
	return timing{
		leaderPoll: scaled(list, 450*time.Millisecond),
		urgentPoll: scaled(list, 500*time.Millisecond),
		staleList:  scaled(list, 800*time.Millisecond),
		blindAge:   scaled(list, 1100*time.Millisecond),
		freshList:  scaled(list, 1400*time.Millisecond),
		vainWait:   max(minVain, scaled(list, 350*time.Millisecond)),
		fullRead:   max(time.Second, scaled(fullReadBeats, b.ServerBeat)),

		leaderConfigWait: scaled(config, time.Second),
		urgentConfigWait: scaled(config, 1500*time.Millisecond),
		configGrace:      scaled(config, callTimeout),
		configTold:       scaled(config, 300*time.Millisecond),
		configCheck:      scaled(config, 200*time.Millisecond),

		membershipTerm: term,
		joinInterval:   scaled(0.3, term),
		notReady:       min(2300*time.Millisecond, (b.StopGrace-stopReserve)/2),

		grants: ownership.Settings{
			Hold:   scaled(hold, usualHold),
			Renew:  scaled(hold, 650*time.Millisecond),
			Retry:  scaled(hold, 200*time.Millisecond),
			Flight: grantTimeout,
		},
		earlierHold: usualHold - scaled(hold, usualHold),
		mandate: mandate.Settings{
			// A proof is at most proofRest and two leaderWatch old while the store
			// answers.
			Alone: 2500 * time.Millisecond,
			// Outages of the store last up to 9 s.
			Autonomy: 10 * time.Second,
			// Two heartbeats of a host fit into it.
			Window: 1500 * time.Millisecond,
			Flight: grantTimeout,
		},
	}
}

// terms are the promises that are in force and what follows from them. They
// change with the settings while the process runs.
type terms struct {
	bounds atomic.Pointer[Bounds]
	times  atomic.Pointer[timing]
}

func newTerms(b Bounds) *terms {
	t := new(terms)
	t.set(b)
	return t
}

func (t *terms) set(b Bounds) {
	b, _ = b.kept()
	m := newTiming(b)
	t.bounds.Store(&b)
	t.times.Store(&m)
}

func (t *terms) timing() *timing { return t.times.Load() }

// tightness is the factor by which a promise shortens what belongs to it.
func tightness(promise, usual time.Duration) float64 {
	return min(1, float64(promise)/float64(usual))
}

func scaled(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}
