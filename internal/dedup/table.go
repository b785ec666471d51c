// Package dedup remembers the ids of requests that may run at most once, and
// their outcomes. One Memory belongs to one term of the leader of a partition.
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
	// MaxBodyBytes is the size up to which an answer is kept for repeats.
	MaxBodyBytes = 4 << 10
	// keepFor is longer than request.IDWindow by the time that an id may be
	// dated in the future and by the wall clock errors of two hosts.
	keepFor = request.IDWindow + request.MaxIDAhead + 500*time.Millisecond
	// defaultCapacity holds 4,000 ids per second. An entry takes about 363
	// bytes without its answer, so that a full memory takes about 174 MB.
	defaultCapacity = 480_000
	// defaultAnswerBytes bounds all stored answers together.
	defaultAnswerBytes = 64 << 20
)

// Options configure a Memory. Zero values select the defaults.
type Options struct {
	Clock clock.Clock
	// Wall returns the wall clock time, which the dates of ids are compared with.
	Wall           func() time.Time
	Capacity       int
	TotalBodyBytes int
}

// Outcome is the recorded result of a request.
type Outcome struct {
	Verdict     verdict.Verdict
	Status      int
	ContentType string
	Server      topology.ServerID
	Fence       topology.Fence
	// Body is the complete answer if Stored is true.
	Body       []byte
	BodyStored bool
}

// key is a UUID followed by a hash of service and customer. The hash keeps the
// ids of one customer out of the way of another's.
type key [24]byte

func keyOf(req *request.Request, id request.ID) key {
	var k key
	copy(k[:], id.UUID[:])
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(req.Service))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(req.Customer))
	d.Sum(k[:16])
	return k
}

func (k key) String() string { return hex.EncodeToString(k[:]) }

type entry struct {
	key     key
	digest  request.Digest
	expires time.Duration
	sent    bool
	gone    bool          // removed because the request was not run
	done    chan struct{} // closed when the outcome is known
	outcome Outcome
}

// Table is safe for concurrent use.
type Table struct {
	opts  Options
	since time.Time

	mu      sync.Mutex
	closed  bool
	entries map[key]*entry
	order   []*entry // by expiry
	bytes   int      // of stored answers
}

// New returns a Memory without knowledge of what ran before since, the wall
// clock time at which the leadership began. A zero since means that nothing ran.
func New(opts Options, since time.Time) *Table {
	if opts.Wall == nil {
		opts.Wall = time.Now
	}
	if opts.Capacity == 0 {
		opts.Capacity = defaultCapacity
	}
	if opts.TotalBodyBytes == 0 {
		opts.TotalBodyBytes = defaultAnswerBytes
	}
	return &Table{opts: opts, since: since, entries: make(map[key]*entry)}
}

// Claim is the answer of Memory.Claim. Exactly one field is set.
type Claim struct {
	// Permit permits the caller to run the request.
	Permit *Permit
	// Outcome is the outcome of an earlier run.
	Outcome *Outcome
	// Wait is closed when a run that is in flight has ended; the caller then
	// claims again.
	Wait <-chan struct{}
}

// Claim asks for the permission to run a request. Errors: id-reused (not run)
// for another content under the same id, id-outcome-unknown (may have run) for
// an id that this memory cannot know, overload (not run) if the memory is full,
// not-leader (not run) after Export.
func (m *Table) Claim(req *request.Request, id request.ID, digest request.Digest) (Claim, *verdict.Error) {
	k, now := keyOf(req, id), m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	if e, ok := m.entries[k]; ok {
		return e.repeat(digest)
	}
	if err := m.refuse(id); err != nil {
		return Claim{}, err
	}
	e := &entry{key: k, digest: digest, expires: now + keepFor, done: make(chan struct{})}
	m.entries[k] = e
	m.order = append(m.order, e)
	return Claim{Permit: &Permit{m: m, e: e}}, nil
}

func (e *entry) repeat(digest request.Digest) (Claim, *verdict.Error) {
	if e.digest != digest {
		return Claim{}, verdict.New(verdict.CodeIDReused, verdict.NotRun, "request id was used before with another content")
	}
	select {
	case <-e.done:
		return Claim{Outcome: &e.outcome}, nil
	default:
		return Claim{Wait: e.done}, nil
	}
}

// refuse checks whether an id without an entry may run.
func (m *Table) refuse(id request.ID) *verdict.Error {
	age := m.opts.Wall().Sub(id.Created)
	switch {
	case m.closed:
		return verdict.New(verdict.CodeNotLeader, verdict.NotRun, "leadership of the partition was handed over")
	case age > request.IDWindow:
		return verdict.New(verdict.CodeIDUnknown, verdict.MayHaveRun, "request id is %s old, outcomes are kept for %s", age.Round(time.Millisecond), request.IDWindow)
	case !m.since.IsZero() && id.Created.Before(m.since.Add(request.MaxIDAhead)):
		return verdict.New(verdict.CodeIDUnknown, verdict.MayHaveRun, "request id is older than the memory of this leader")
	case len(m.entries) >= m.opts.Capacity:
		return verdict.New(verdict.CodeOverload, verdict.NotRun, "memory of request ids is full").WithRetry(time.Second)
	}
	return nil
}

// expire drops entries whose ids would be refused by their age. An entry in
// flight is kept.
func (m *Table) expire(now time.Duration) {
	n := 0
	for n < len(m.order) {
		e := m.order[n]
		if !e.gone {
			if now < e.expires || !e.finished() {
				break
			}
			m.remove(e)
		}
		m.order[n] = nil
		n++
	}
	m.order = m.order[n:]
}

func (m *Table) remove(e *entry) {
	e.gone = true
	delete(m.entries, e.key)
	m.bytes -= len(e.outcome.Body)
}

func (e *entry) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Len returns the number of ids in the memory.
func (m *Table) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// Permit is the permission to run one request once.
type Permit struct {
	m *Table
	e *entry
}

// MarkSent must be called directly before the request is sent. After an error the
// request must not be sent: the memory was exported without it.
func (t *Permit) MarkSent() *verdict.Error {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if t.m.closed {
		return verdict.New(verdict.CodeNotLeader, verdict.NotRun, "leadership of the partition was handed over")
	}
	t.e.sent = true
	return nil
}

// Finish records the outcome. With NotRun the id is forgotten, so that a repeat
// runs. The first call counts.
func (t *Permit) Finish(o Outcome) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if t.e.finished() {
		return
	}
	if o.Verdict == verdict.NotRun {
		t.m.remove(t.e)
	} else {
		t.m.store(t.e, o)
	}
	close(t.e.done)
}

// store keeps the answer if it is small and the budget for answers permits it.
func (m *Table) store(e *entry, o Outcome) {
	if !o.BodyStored || len(o.Body) > MaxBodyBytes || m.bytes+len(o.Body) > m.opts.TotalBodyBytes {
		o.Body, o.BodyStored = nil, false
	}
	m.bytes += len(o.Body)
	e.outcome = o
}
