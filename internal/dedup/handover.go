package dedup

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// HandOverEntry is one id with its outcome in a HandOver.
type HandOverEntry struct {
	// ID is the request id and the hash of its service and customer in hexadecimal.
	ID      string
	Digest  request.Digest
	Outcome Outcome
	// Age is the time since the id was claimed.
	Age time.Duration
}

// HandOver is the content of a Table. It must reach the next leader complete.
type HandOver struct {
	// CompleteSince is the time since which Entries are complete: a request whose id
	// was created earlier may have run even if Entries do not contain the id.
	CompleteSince time.Time
	Entries       []HandOverEntry
}

// Export closes the table, frees its entries and returns its content. Afterwards
// Permit.MarkSent fails, so that no further request is sent. A request in flight is
// exported as may have run if it was sent; if it was not, it is left out and ends
// as not run.
func (t *Table) Export() HandOver {
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.closed = true
	h := HandOver{CompleteSince: t.completeSince}
	for _, e := range t.byExpiry {
		if e.removed || !e.finished() && !e.sent {
			continue
		}
		exported := HandOverEntry{ID: e.id.String(), Digest: e.digest, Age: now - (e.expiresAt - retention)}
		if e.finished() {
			exported.Outcome = e.outcome
		}
		h.Entries = append(h.Entries, exported)
	}
	t.entries, t.byExpiry, t.bodyBytes = nil, nil, 0
	return h
}

// Import returns a Table with the content of h. If an entry has a malformed id or
// the verdict NotRun, it returns false, and the caller must use New instead.
func Import(opts Options, h HandOver) (*Table, bool) {
	t := New(opts, h.CompleteSince)
	now := t.opts.Clock.Now()
	done := make(chan struct{})
	close(done)
	for _, imported := range h.Entries {
		raw, err := hex.DecodeString(imported.ID)
		if err != nil || len(raw) != len(scopedID{}) {
			return nil, false
		}
		e := &entry{id: scopedID(raw), digest: imported.Digest, expiresAt: now + retention - imported.Age, done: done, sent: true}
		if imported.Outcome.Verdict == verdict.NotRun {
			return nil, false // Export leaves out such ids
		}
		t.setOutcome(e, imported.Outcome)
		t.entries[e.id] = e
		t.byExpiry = append(t.byExpiry, e)
	}
	slices.SortStableFunc(t.byExpiry, func(a, b *entry) int { return cmp.Compare(a.expiresAt, b.expiresAt) })
	return t, true
}
