// Package quarantine counts the crashes of servers per request content and
// blocks contents that were in flight during two crashes. A request that
// crashes its server therefore takes down a bounded number of servers, however
// often its caller sends it again.
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
	// Window is the time over which crashes are counted, and the time for
	// which a content is blocked after the last of them.
	Window = 10 * time.Minute
	// CrashLimit is the number of crashes that blocks a content.
	CrashLimit = 2
	// A crash counts while a block that it justifies may last: it can be the
	// first of a pair that is almost Window apart.
	keepFor = 2 * Window
	// maxContents bounds the table. 4,096 contents are 2,048 crashes in 10
	// minutes; the one with the oldest crash is dropped beyond that.
	maxContents = 4096
)

// Crash is the record of one suspect of one crash.
type Crash struct {
	// ID is the same in all records of one crash, so that it counts once
	// although it arrives from the log and in a hand-over.
	ID          string               `json:"id"`
	Digest      request.Digest       `json:"content"`
	Server      topology.ServerID    `json:"server"`
	Incarnation topology.Incarnation `json:"incarnation"`
	// At is the wall clock time of the crash.
	At time.Time `json:"at"`
}

type crash struct {
	Crash
	at time.Duration // on the table's clock
}

// Table is safe for concurrent use.
type Table struct {
	clk  clock.Clock
	wall func() time.Time
	// publish passes on a crash that this host has seen. It must not block.
	publish func(Crash)

	mu      sync.Mutex
	crashes map[request.Digest][]crash
}

// New returns an empty Table. The publish function may be nil.
func New(clk clock.Clock, wall func() time.Time, publish func(Crash)) *Table {
	if wall == nil {
		wall = time.Now
	}
	if publish == nil {
		publish = func(Crash) {}
	}
	return &Table{clk: clk, wall: wall, publish: publish, crashes: make(map[request.Digest][]crash)}
}

// BlockedFor returns the time for which the content stays blocked; zero if it is
// not blocked.
func (t *Table) BlockedFor(content request.Digest) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	list, ok := t.crashes[content]
	if !ok {
		return 0
	}
	now := t.clk.Now()
	if list = kept(list, now); len(list) == 0 {
		delete(t.crashes, content)
		return 0
	}
	t.crashes[content] = list
	return max(0, blockedUntil(list)-now)
}

// blockedUntil returns the end of the block that the crashes justify: Window
// after each crash that completes Limit crashes within Window.
func blockedUntil(list []crash) time.Duration {
	var until time.Duration
	for i := CrashLimit - 1; i < len(list); i++ {
		if list[i].at-list[i-CrashLimit+1].at < Window {
			until = list[i].at + Window
		}
	}
	return until
}

// CrashID returns the id of the crash of one incarnation of a server. An
// unknown incarnation (zero) gets a unique id.
func CrashID(server topology.ServerID, inc topology.Incarnation) string {
	if inc == 0 {
		return uuid.NewString()
	}
	return fmt.Sprintf("%s#%d", server, inc)
}

// RecordCrash counts a crash of a server for each suspect and publishes it.
func (t *Table) RecordCrash(server topology.ServerID, inc topology.Incarnation, suspects []request.Digest) {
	for _, content := range suspects {
		c := Crash{ID: CrashID(server, inc), Digest: content, Server: server, Incarnation: inc, At: t.wall()}
		t.Apply(c)
		t.publish(c)
	}
}

// Apply counts a crash that this or another host has recorded. Repeated and
// outdated records have no effect.
func (t *Table) Apply(c Crash) {
	now := t.clk.Now()
	age := max(0, t.wall().Sub(c.At))
	if age >= keepFor {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := kept(t.crashes[c.Digest], now)
	if slices.ContainsFunc(list, func(o crash) bool { return o.ID == c.ID }) {
		return
	}
	if len(list) == 0 && len(t.crashes) >= maxContents {
		t.dropOldest()
	}
	list = append(list, crash{Crash: c, at: now - age})
	slices.SortFunc(list, func(a, b crash) int { return cmp.Compare(a.at, b.at) })
	t.crashes[c.Digest] = list
}

// Export returns the crashes that still count.
func (t *Table) Export() []Crash {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	for _, list := range t.crashes {
		for _, c := range kept(list, now) {
			out = append(out, c.Crash)
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	return out
}

// Import counts the crashes of a hand-over.
func (t *Table) Import(list []Crash) {
	for _, c := range list {
		t.Apply(c)
	}
}

// dropOldest drops the content whose last crash is the oldest.
func (t *Table) dropOldest() {
	var oldest request.Digest
	var at time.Duration
	for content, list := range t.crashes {
		if len(list) == 0 {
			delete(t.crashes, content)
			return
		}
		if last := list[len(list)-1].at; at == 0 || last < at {
			oldest, at = content, last
		}
	}
	delete(t.crashes, oldest)
}

// kept drops the crashes that no longer count.
func kept(list []crash, now time.Duration) []crash {
	return slices.DeleteFunc(list, func(c crash) bool { return now-c.at >= keepFor })
}
