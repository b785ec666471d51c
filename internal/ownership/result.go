package ownership

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// HandleResult records the outcome of an order. The time now is that of the response
// or of the timeout.
func (m *Manager) HandleResult(o Order, outcome Outcome, handover string, now time.Duration) {
	if o.Kind == Fence {
		m.handleFence(o, outcome)
		return
	}
	// A release that waits for long requests times out without a lost connection.
	if outcome != Done && (o.Kind == Grant || outcome != Unknown) {
		m.recordFailure(o.Server, now)
	}
	switch o.Kind {
	case Grant:
		delete(m.grantsInFlight, o.Server)
	case Release:
		m.releasesInFlight--
	}
	r := m.rangeByID(o.id)
	if r == nil {
		m.handleUnmatched(o, outcome, now)
		return
	}
	r.inFlight = false
	if outcome == Unsent {
		if o.Kind == Grant {
			r.latestExpiry = r.priorExpiry
		}
		r.failures++
		return
	}
	if outcome == ServerGone {
		m.handleServerGone(r, o, now)
		return
	}
	if o.Kind == Release {
		m.handleRelease(r, o, outcome, handover)
		return
	}
	m.handleGrant(r, o, outcome, now)
}

// recordFailure records a failed call to a server, which concerns all of its ranges.
func (m *Manager) recordFailure(server topology.ServerID, now time.Duration) {
	m.failedAt[server] = now
	for _, r := range m.ranges {
		if r.server == server {
			r.raisesFence = true
		}
	}
}

// handleServerGone records that the process that owned the range no longer exists. An
// earlier leader may still grant the keys to a new incarnation of the server.
func (m *Manager) handleServerGone(r *keyRange, o Order, now time.Duration) {
	if o.Address == r.grantedAt {
		r.latestExpiry, r.unansweredGrant = now, false
	}
	r.failures = max(r.failures, unreachableAfter)
	m.version++
}

func (m *Manager) handleRelease(r *keyRange, o Order, outcome Outcome, handover string) {
	if outcome != Done || (r.phase != releasing && r.phase != expiring) || r.from < o.From || r.to > o.To || r.earlierGrants {
		r.failures++
		return
	}
	if r.unansweredGrant {
		// A grant without a response may still be carried out after the release.
		// The server is reachable again, so it gets a grant with a higher fence
		// before the next release.
		r.phase, r.failures = granting, 0
		return
	}
	r.handover = handover
	m.markFree(r, Released)
}

func (m *Manager) handleGrant(r *keyRange, o Order, outcome Outcome, now time.Duration) {
	switch outcome {
	case Done:
		r.grantedAt = o.Address
		r.latestExpiry = now + m.maxGrantDuration()
		r.earlierGrants = false
		switch r.phase {
		case granting:
			r.phase = granted
			m.version++
			m.recordChange(Granted, r)
		case expiring:
			// The server is reachable again, so the planned move may no longer be
			// needed. The planner decides again.
			r.phase, r.next = granted, ""
			m.version++
			m.recordChange(Granted, r)
		}
		r.renewedAt = r.sentAt
		r.failures, r.handover = 0, ""
		if o.Fence == r.fence {
			r.unansweredGrant = false
		}
	case Unknown:
		r.latestExpiry = max(r.latestExpiry, now+m.maxGrantDuration())
		r.unansweredGrant = true
		r.failures++
	case Refused:
		r.latestExpiry = r.priorExpiry
		r.failures++
	case Fenced:
		r.latestExpiry = r.priorExpiry
		r.failures++
		if r.failures > 1 {
			m.suspectsLaterLeader = true
		}
		r.fence = m.nextFence()
		r.sentAt = -time.Hour
	default:
		r.failures++
	}
}

// handleUnmatched records the outcome of an order whose range has a new id since. A
// grant may still be in force for the keys of that order.
func (m *Manager) handleUnmatched(o Order, outcome Outcome, now time.Duration) {
	if o.Kind != Grant || (outcome != Done && outcome != Unknown) {
		return
	}
	for _, r := range m.ranges {
		if r.server == o.Server && r.from <= o.To && r.to >= o.From && r.fence <= o.Fence {
			r.latestExpiry = max(r.latestExpiry, now+m.maxGrantDuration())
			r.unansweredGrant = r.unansweredGrant || outcome == Unknown
		}
	}
}
