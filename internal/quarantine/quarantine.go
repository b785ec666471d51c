// Package quarantine counts server crashes per request digest and blocks requests
// whose digest was in flight during two crashes. A request that crashes its server can
// therefore crash only a limited number of servers, however often its caller sends it
// again.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// Window is the time within which crashes are counted together, and the time for
	// which a digest is blocked after the last of them.
	Window = 10 * time.Minute
	// CrashLimit is the number of crashes within Window that blocks a digest.
	CrashLimit = 2
	// retention is the longest time for which a crash can matter: it may be the first
	// of two that are almost Window apart, and the block lasts for Window after the
	// second.
	retention = 2 * Window
	// maxDigests is the maximum number of digests in a Table; beyond it, the one whose
	// last crash is the oldest is dropped. 4,096 digests are enough for 2,048 crashes
	// in 10 minutes.
	maxDigests = 4096
)

// Crash records that a request was in flight at a server when the server crashed.
type Crash struct {
	// ID is the same in all records of one crash, so that the crash is counted once
	// even if it arrives both from the log and in a handover.
	ID          string               `json:"id"`
	Digest      request.Digest       `json:"content"`
	Server      topology.ServerID    `json:"server"`
	Incarnation topology.Incarnation `json:"incarnation"`
	// At is the time of the crash by the wall clock.
	At time.Time `json:"at"`
}

// crash is a Crash with its time on the table's clock.
type crash struct {
	Crash
	at time.Duration
}

// Table holds the recent crashes per request digest. It is safe for concurrent use.
type Table struct {
	clk       clock.Clock
	wallClock func() time.Time
	// publish sends a crash that this host has detected to the other hosts. It must not
	// block.
	publish func(Crash)

	mu      sync.Mutex
	crashes map[request.Digest][]crash
}

// New returns an empty Table. If wallClock is nil, time.Now is used; publish may be nil.
func New(clk clock.Clock, wallClock func() time.Time, publish func(Crash)) *Table {
	if wallClock == nil {
		wallClock = time.Now
	}
	if publish == nil {
		publish = func(Crash) {}
	}
	return &Table{clk: clk, wallClock: wallClock, publish: publish, crashes: make(map[request.Digest][]crash)}
}

// BlockedFor returns the time for which the digest stays blocked; zero if it is not
// blocked.
func (t *Table) BlockedFor(digest request.Digest) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	list, ok := t.crashes[digest]
	if !ok {
		return 0
	}
	now := t.clk.Now()
	if list = dropExpired(list, now); len(list) == 0 {
		delete(t.crashes, digest)
		return 0
	}
	t.crashes[digest] = list
	return max(0, blockedUntil(list)-now)
}

// blockedUntil returns the end of the block that results from the crashes, which are
// in order of time: Window after the last crash that completes CrashLimit crashes
// within Window; zero if there is none.
func blockedUntil(list []crash) time.Duration {
	var end time.Duration
	for i := CrashLimit - 1; i < len(list); i++ {
		if list[i].at-list[i-CrashLimit+1].at < Window {
			end = list[i].at + Window
		}
	}
	return end
}

// CrashID returns the id of the crash of an incarnation of a server. If the incarnation
// is unknown (zero), the id is random.
func CrashID(server topology.ServerID, incarnation topology.Incarnation) string {
	if incarnation == 0 {
		return uuid.NewString()
	}
	return fmt.Sprintf("%s#%d", server, incarnation)
}

// RecordCrash counts a crash of a server for each request that was in flight at it, and
// publishes the crash.
func (t *Table) RecordCrash(server topology.ServerID, incarnation topology.Incarnation, digests []request.Digest) {
	for _, digest := range digests {
		c := Crash{ID: CrashID(server, incarnation), Digest: digest, Server: server, Incarnation: incarnation, At: t.wallClock()}
		t.Apply(c)
		t.publish(c)
	}
}

// Apply counts a crash that this or another host has recorded. Records that were applied
// before or are older than the retention have no effect.
func (t *Table) Apply(c Crash) {
	now := t.clk.Now()
	age := max(0, t.wallClock().Sub(c.At))
	if age >= retention {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := dropExpired(t.crashes[c.Digest], now)
	if slices.ContainsFunc(list, func(o crash) bool { return o.ID == c.ID }) {
		return
	}
	if len(list) == 0 && len(t.crashes) >= maxDigests {
		t.dropOldest()
	}
	list = append(list, crash{Crash: c, at: now - age})
	slices.SortFunc(list, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	t.crashes[c.Digest] = list
}

// Export returns all crashes that have not expired, in order of time.
func (t *Table) Export() []Crash {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	for _, list := range t.crashes {
		for _, c := range dropExpired(list, now) {
			out = append(out, c.Crash)
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	return out
}

// Import applies the crashes that another host has exported.
func (t *Table) Import(list []Crash) {
	for _, c := range list {
		t.Apply(c)
	}
}

// dropOldest drops the digest whose last crash is the oldest.
func (t *Table) dropOldest() {
	var oldest request.Digest
	var at time.Duration
	for digest, list := range t.crashes {
		if len(list) == 0 {
			delete(t.crashes, digest)
			return
		}
		if last := list[len(list)-1].at; at == 0 || last < at {
			oldest, at = digest, last
		}
	}
	delete(t.crashes, oldest)
}

// dropExpired removes the crashes that are older than the retention.
func dropExpired(list []crash, now time.Duration) []crash {
	return slices.DeleteFunc(list, func(c crash) bool { return now-c.at >= retention })
}
