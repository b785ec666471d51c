package state

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// quarantineDuration is how long a fingerprint is refused after its last
	// crash, and the time within which crashes count together.
	quarantineDuration = 10 * time.Minute
	// crashLimit is the number of crashes after which a fingerprint is
	// quarantined.
	crashLimit = 2
	// maxSuspects limits the size of the state. The suspects with the oldest
	// records are removed first, because the package has no clock to expire
	// them by.
	maxSuspects = 4096
)

// Quarantine is the state of the quarantine stream: crashes and the fingerprints
// that are refused because of them. The base rule does not apply, because the
// records are idempotent: a crash is identified by fingerprint, server and
// incarnation and counts once.
type Quarantine struct{ *Fold }

// NewQuarantine returns the state before the first record.
func NewQuarantine() *Quarantine {
	return &Quarantine{newFold(record.StreamQuarantine, &quarantineMachine{Suspects: make(map[record.Fingerprint]*suspect)})}
}

// RefusedUntil returns the wall clock time until which a fingerprint is refused;
// zero if no quarantine is recorded.
func (q *Quarantine) RefusedUntil(f record.Fingerprint) time.Time {
	if s, ok := q.machine.(*quarantineMachine).Suspects[f]; ok && s.Until > 0 {
		return time.UnixMilli(s.Until)
	}
	return time.Time{}
}

// CrashCount returns the number of stored crashes of a fingerprint in the
// quarantineDuration before now.
func (q *Quarantine) CrashCount(f record.Fingerprint, now time.Time) int {
	s, ok := q.machine.(*quarantineMachine).Suspects[f]
	if !ok {
		return 0
	}
	n := 0
	for _, c := range s.Crashes {
		if now.UnixMilli()-c.At < quarantineDuration.Milliseconds() {
			n++
		}
	}
	return n
}

// CrashesByFingerprint returns the stored crashes.
func (q *Quarantine) CrashesByFingerprint() map[record.Fingerprint][]record.Crash {
	all := make(map[record.Fingerprint][]record.Crash)
	for fp, s := range q.machine.(*quarantineMachine).Suspects {
		for _, c := range s.Crashes {
			all[fp] = append(all[fp], record.Crash{Fingerprint: fp, Server: c.Server, Incarnation: c.Incarnation, At: c.At})
		}
	}
	return all
}

type crash struct {
	Server      topology.ServerID    `json:"server"`
	Incarnation topology.Incarnation `json:"incarnation"`
	At          int64                `json:"at_ms"` // wall clock, Unix milliseconds
}

// suspect is a request that may crash servers.
type suspect struct {
	// Crashes are the last crashLimit crashes, by time.
	Crashes []crash `json:"crashes,omitempty"`
	Until   int64   `json:"until_ms,omitempty"` // wall clock, Unix milliseconds
	Reason  string  `json:"reason,omitempty"`
	// LastOffset is the offset of the last record about the request.
	LastOffset int64 `json:"touched"`
}

type quarantineMachine struct {
	Suspects map[record.Fingerprint]*suspect `json:"suspects"`
}

func (m *quarantineMachine) known(k record.Kind) bool {
	return k == record.KindCrashes || k == record.KindQuarantine
}

func (m *quarantineMachine) prepare(e record.Envelope) (change, error) {
	if e.Kind == record.KindQuarantine {
		q, err := record.Body[record.Quarantine](e)
		return change{commit: func(r Revision) { m.refuseUntil(q, r) }}, err
	}
	c, err := record.Body[record.Crashes](e)
	return change{commit: func(r Revision) {
		for _, s := range c.Suspects {
			m.addCrash(s, r)
		}
	}}, err
}

// suspectFor returns the suspect with the fingerprint and records its last
// offset. It adds a missing suspect and removes the oldest one above
// maxSuspects.
func (m *quarantineMachine) suspectFor(f record.Fingerprint, r Revision) *suspect {
	s, ok := m.Suspects[f]
	if !ok {
		s = &suspect{}
		m.Suspects[f] = s
	}
	s.LastOffset = r.Offset
	if len(m.Suspects) > maxSuspects {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(m.Suspects)), func(a, b record.Fingerprint) int {
			return int(m.Suspects[a].LastOffset - m.Suspects[b].LastOffset)
		})
		delete(m.Suspects, oldest)
	}
	return s
}

func (m *quarantineMachine) refuseUntil(q record.Quarantine, r Revision) {
	s := m.suspectFor(q.Fingerprint, r)
	if q.Until > s.Until {
		s.Until, s.Reason = q.Until, q.Reason
	}
}

func (m *quarantineMachine) addCrash(c record.Crash, r Revision) {
	s := m.suspectFor(c.Fingerprint, r)
	k := crash{c.Server, c.Incarnation, c.At}
	if slices.ContainsFunc(s.Crashes, func(o crash) bool { return o.Server == k.Server && o.Incarnation == k.Incarnation }) {
		return
	}
	s.Crashes = append(s.Crashes, k)
	slices.SortStableFunc(s.Crashes, func(a, b crash) int { return int(a.At - b.At) })
	if len(s.Crashes) > crashLimit {
		s.Crashes = s.Crashes[len(s.Crashes)-crashLimit:]
	}
	if len(s.Crashes) < crashLimit {
		return
	}
	first, last := s.Crashes[0].At, s.Crashes[crashLimit-1].At
	if until := last + quarantineDuration.Milliseconds(); last-first < quarantineDuration.Milliseconds() && until > s.Until {
		s.Until, s.Reason = until, "crashed servers"
	}
}

func (m *quarantineMachine) snapshot() any { return m }

func (m *quarantineMachine) restore(data json.RawMessage) (stateMachine, error) {
	s, err := decodeState[quarantineMachine](data)
	if err != nil {
		return nil, err
	}
	if s.Suspects == nil {
		s.Suspects = make(map[record.Fingerprint]*suspect)
	}
	maps.DeleteFunc(s.Suspects, func(_ record.Fingerprint, v *suspect) bool { return v == nil })
	return &s, nil
}
