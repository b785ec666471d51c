// Package dedup deduplicates requests that may run at most once. A Table stores
// their ids and outcomes for one leadership of a partition, and the next leader can
// continue with its content.
package dedup

import (
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// MaxBodyBytes is the size up to which the body of a response is stored for
	// repeats of the request.
	MaxBodyBytes = 4 << 10
	// retention is the time for which an entry is kept after its claim. It exceeds
	// request.IDWindow by request.MaxIDAhead, by which an id may be dated in the
	// future, and by 500 ms for the wall clock errors of two hosts.
	retention = request.IDWindow + request.MaxIDAhead + 500*time.Millisecond
	// defaultCapacity suffices for 4,000 ids per second. An entry takes about 363
	// bytes without its body, so a full table takes about 174 MB.
	defaultCapacity = 480_000
	// defaultTotalBodyBytes is the default of Options.TotalBodyBytes.
	defaultTotalBodyBytes = 64 << 20
)

// Options configure a Table. Clock is required; zero values of the other options
// select the defaults.
type Options struct {
	Clock clock.Clock
	// Wall returns the wall clock time, from which the age of an id is computed.
	Wall func() time.Time
	// Capacity is the maximum number of ids.
	Capacity int
	// TotalBodyBytes is the maximum size of all stored bodies together.
	TotalBodyBytes int
}

// Outcome is the recorded result of a request.
type Outcome struct {
	Verdict     verdict.Verdict
	Status      int
	ContentType string
	Server      topology.ServerID
	Fence       topology.Fence
	// Body is the complete body of the response if BodyStored is true.
	Body       []byte
	BodyStored bool
}

// scopedID is the UUID of a request id, followed by a hash of service and customer.
// The hash makes equal ids of different services or customers distinct.
type scopedID [24]byte

func newScopedID(req *request.Request, id request.ID) scopedID {
	var scoped scopedID
	copy(scoped[:], id.UUID[:])
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(req.Service))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(string(req.Customer))
	hash.Sum(scoped[:16])
	return scoped
}

func (s scopedID) String() string { return hex.EncodeToString(s[:]) }

type entry struct {
	id        scopedID
	digest    request.Digest
	expiresAt time.Duration
	sent      bool          // the request may have been sent
	removed   bool          // no longer in Table.entries; Table.expire skips it
	done      chan struct{} // closed when the run has ended
	outcome   Outcome
}

// Table is a deduplication table of request ids and outcomes. It is safe for
// concurrent use.
type Table struct {
	opts          Options
	completeSince time.Time

	mu        sync.Mutex
	closed    bool // by Export
	entries   map[scopedID]*entry
	byExpiry  []*entry // in ascending order of expiresAt
	bodyBytes int      // of all stored bodies
}

// New returns an empty Table. completeSince is the wall clock time at which the
// leadership began; ids from before that time are refused, because an earlier
// leader may have run them. A zero completeSince means that there was no earlier
// leader.
func New(opts Options, completeSince time.Time) *Table {
	if opts.Wall == nil {
		opts.Wall = time.Now
	}
	if opts.Capacity == 0 {
		opts.Capacity = defaultCapacity
	}
	if opts.TotalBodyBytes == 0 {
		opts.TotalBodyBytes = defaultTotalBodyBytes
	}
	return &Table{opts: opts, completeSince: completeSince, entries: make(map[scopedID]*entry)}
}

// Claim is the result of Table.Claim. Exactly one field is set.
type Claim struct {
	// Permit is set if the caller may run the request.
	Permit *Permit
	// Outcome is set if an earlier run has ended.
	Outcome *Outcome
	// Wait is set if a run is in flight. It is closed when the run has ended; the
	// caller then calls Table.Claim again.
	Wait <-chan struct{}
}

// Claim adds the id of a request to the table and permits the caller to run it,
// unless the table contains the id already. Its errors are id-reused (not run) if
// the id was used with a different digest, id-outcome-unknown (may have run) if the
// id is too old for this table, overload (not run) if the table is full, and
// not-leader (not run) after Export.
func (t *Table) Claim(req *request.Request, id request.ID, digest request.Digest) (Claim, *verdict.Error) {
	scoped, now := newScopedID(req, id), t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.entries[scoped]; ok {
		return e.claimRepeat(digest)
	}
	if err := t.checkNewID(id); err != nil {
		return Claim{}, err
	}
	e := &entry{id: scoped, digest: digest, expiresAt: now + retention, done: make(chan struct{})}
	t.entries[scoped] = e
	t.byExpiry = append(t.byExpiry, e)
	return Claim{Permit: &Permit{table: t, entry: e}}, nil
}

// claimRepeat returns the result of another claim of an id in the table.
func (e *entry) claimRepeat(digest request.Digest) (Claim, *verdict.Error) {
	if e.digest != digest {
		return Claim{}, verdict.New(verdict.CodeIDReused, verdict.NotRun, "request id was used before for a request with different content")
	}
	select {
	case <-e.done:
		return Claim{Outcome: &e.outcome}, nil
	default:
		return Claim{Wait: e.done}, nil
	}
}

// checkNewID returns an error if a request with an id that is not in the table must
// not run. An id dated up to request.MaxIDAhead after completeSince is refused too,
// because an earlier leader may have accepted it.
func (t *Table) checkNewID(id request.ID) *verdict.Error {
	age := t.opts.Wall().Sub(id.Created)
	switch {
	case t.closed:
		return verdict.New(verdict.CodeNotLeader, verdict.NotRun, "leadership of the partition was handed over")
	case age > request.IDWindow:
		return verdict.New(verdict.CodeIDOutcomeUnknown, verdict.MayHaveRun, "request id is %s old, outcomes are kept for %s", age.Round(time.Millisecond), request.IDWindow)
	case !t.completeSince.IsZero() && id.Created.Before(t.completeSince.Add(request.MaxIDAhead)):
		return verdict.New(verdict.CodeIDOutcomeUnknown, verdict.MayHaveRun, "request id is older than the deduplication table of this leader")
	case len(t.entries) >= t.opts.Capacity:
		return verdict.New(verdict.CodeOverload, verdict.NotRun, "deduplication table of request ids is full").WithRetry(time.Second)
	}
	return nil
}

// expire removes entries whose ids checkNewID refuses by their age. It keeps entries
// in flight, and all that expire after the first of these.
func (t *Table) expire(now time.Duration) {
	n := 0
	for n < len(t.byExpiry) {
		e := t.byExpiry[n]
		if !e.removed {
			if now < e.expiresAt || !e.finished() {
				break
			}
			t.remove(e)
		}
		t.byExpiry[n] = nil
		n++
	}
	t.byExpiry = t.byExpiry[n:]
}

func (t *Table) remove(e *entry) {
	e.removed = true
	delete(t.entries, e.id)
	t.bodyBytes -= len(e.outcome.Body)
}

func (e *entry) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Len returns the number of ids in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Permit is the permission to run one request once.
type Permit struct {
	table *Table
	entry *entry
}

// MarkSent records that the request is about to be sent, and must be called directly
// before that. If it returns an error, the request must not be sent, because the
// table was exported without its id.
func (p *Permit) MarkSent() *verdict.Error {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if p.table.closed {
		return verdict.New(verdict.CodeNotLeader, verdict.NotRun, "leadership of the partition was handed over")
	}
	p.entry.sent = true
	return nil
}

// Finish records the outcome of the request. If the verdict is NotRun, it removes
// the id, so that a repeat of the request can run. Only the first call has an
// effect.
func (p *Permit) Finish(o Outcome) {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if p.entry.finished() {
		return
	}
	if o.Verdict == verdict.NotRun {
		p.table.remove(p.entry)
	} else {
		p.table.setOutcome(p.entry, o)
	}
	close(p.entry.done)
}

// setOutcome records the outcome of an entry. It drops a body that exceeds
// MaxBodyBytes or with which all stored bodies would exceed Options.TotalBodyBytes.
func (t *Table) setOutcome(e *entry, o Outcome) {
	if !o.BodyStored || len(o.Body) > MaxBodyBytes || t.bodyBytes+len(o.Body) > t.opts.TotalBodyBytes {
		o.Body, o.BodyStored = nil, false
	}
	t.bodyBytes += len(o.Body)
	e.outcome = o
}
