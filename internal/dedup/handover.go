package dedup

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// HandOverEntry is one id in a hand-over.
type HandOverEntry struct {
	// ID is the id with its scope, in hexadecimal.
	ID      string
	Digest  request.Digest
	Outcome Outcome
	// Age is the time since the id was claimed.
	Age time.Duration
}

// HandOver is the content of a Memory. It must reach the next leader as a
// whole.
type HandOver struct {
	// CompleteSince is the start of the knowledge: ids that were created earlier and
	// are not in Records may have run.
	CompleteSince time.Time
	Entries       []HandOverEntry
}

// Export closes the memory, frees it and returns its content: no request is
// sent from here afterwards. A request in flight that was sent is exported as
// may have run; one that still waits is left out and will end as not run.
func (m *Table) Export() HandOver {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	m.closed = true
	h := HandOver{CompleteSince: m.since}
	for _, e := range m.order {
		if e.gone || !e.finished() && !e.sent {
			continue
		}
		r := HandOverEntry{ID: e.key.String(), Digest: e.digest, Age: now - (e.expires - keepFor)}
		if e.finished() {
			r.Outcome = e.outcome
		}
		h.Entries = append(h.Entries, r)
	}
	m.entries, m.order, m.bytes = nil, nil, 0
	return h
}

// Import returns a Memory that continues from h. Records with a malformed id
// make the whole hand-over void, which is reported as false: the caller then
// starts with New.
func Import(opts Options, h HandOver) (*Table, bool) {
	m := New(opts, h.CompleteSince)
	now := m.opts.Clock.Now()
	done := make(chan struct{})
	close(done)
	for _, r := range h.Entries {
		raw, err := hex.DecodeString(r.ID)
		if err != nil || len(raw) != len(key{}) {
			return nil, false
		}
		e := &entry{key: key(raw), digest: r.Digest, expires: now + keepFor - r.Age, done: done, sent: true}
		if r.Outcome.Verdict == verdict.NotRun {
			return nil, false // such ids are never recorded
		}
		m.store(e, r.Outcome)
		m.entries[e.key] = e
		m.order = append(m.order, e)
	}
	slices.SortStableFunc(m.order, func(a, b *entry) int { return cmp.Compare(a.expires, b.expires) })
	return m, true
}
