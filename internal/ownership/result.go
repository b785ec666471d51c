package ownership

import (
	"time"
)

// HandleResult records the end of a call. The time is that of the answer or of the
// moment at which the call was given up.
func (l *Manager) HandleResult(o Order, outcome Outcome, handover string, now time.Duration) {
	s := l.byID(o.id)
	if s == nil {
		l.orphan(o, outcome, now)
		return
	}
	s.busy = false
	if outcome == Unsent {
		if o.Kind == Grant {
			s.mayHold = s.before
		}
		s.fail(now)
		return
	}
	if outcome == ServerGone {
		l.ended(s, now)
		return
	}
	if o.Kind == Release {
		l.released(s, o, outcome, handover, now)
		return
	}
	l.granted(s, o, outcome, now)
}

// ended records that the server of a segment holds nothing any more.
func (l *Manager) ended(s *segment, now time.Duration) {
	s.mayHold, s.rival, s.doubt = now, false, false
	s.failures = max(s.failures, unreachableAfter)
	s.failed = now
	l.version++
}

func (s *segment) fail(now time.Duration) {
	s.failures++
	s.failed = now
}

func (l *Manager) released(s *segment, o Order, outcome Outcome, handover string, now time.Duration) {
	if outcome != Done || (s.phase != releasing && s.phase != waiting) || s.from < o.From || s.to > o.To || s.rival {
		s.fail(now)
		return
	}
	if s.doubt {
		// An unanswered grant may still be carried out after the release. The
		// server answers again, so a grant with a higher fence comes first.
		s.phase, s.failures = unsecured, 0
		return
	}
	s.handover = handover
	l.freed(s)
}

func (l *Manager) granted(s *segment, o Order, outcome Outcome, now time.Duration) {
	switch outcome {
	case Done:
		s.mayHold = now + l.holdBound()
		s.rival = false
		switch s.phase {
		case unsecured:
			s.phase = held
			l.version++
		case waiting:
			// The server answers again: whether its keys should move is to be
			// decided anew.
			s.phase, s.next = held, ""
			l.version++
		}
		s.renewed = s.sent
		s.failures, s.handover = 0, ""
		if o.Fence == s.fence {
			s.doubt = false
		}
	case Unknown:
		s.mayHold = max(s.mayHold, now+l.holdBound())
		s.doubt = true
		s.fail(now)
	case Refused:
		s.mayHold = s.before
		s.fail(now)
	case Fenced:
		s.mayHold = s.before
		s.fail(now)
		if s.failures > 1 {
			l.deposed = true
		}
		s.fence = l.fences()
		s.sent = -time.Hour
	default:
		s.fail(now)
	}
}

// orphan records the end of a call whose segment was split or replaced since.
// A grant may still hold for the keys of that call.
func (l *Manager) orphan(o Order, outcome Outcome, now time.Duration) {
	if o.Kind != Grant || (outcome != Done && outcome != Unknown) {
		return
	}
	for _, s := range l.segments {
		if s.server == o.Server && s.from <= o.To && s.to >= o.From && s.fence <= o.Fence {
			s.mayHold = max(s.mayHold, now+l.holdBound())
			s.doubt = s.doubt || outcome == Unknown
		}
	}
}
