package schedule

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// crashTracker counts server crashes by the content of the request that was
// running. Some requests crash every server that runs them, and their callers
// retry them. Content that has caused three crashes is refused for a time, which
// bounds the number of servers that it can crash.
type crashTracker struct {
	// brokenRuns holds the contents whose connection to a server failed recently.
	brokenRuns map[topology.ServerID][]brokenRun
	crashes    map[uint64][]time.Duration
}

// brokenRun is a request whose connection failed while it ran.
type brokenRun struct {
	content uint64
	at      time.Duration
}

const (
	// harmfulCrashes is the number of crashes after which content is refused.
	harmfulCrashes = 3
	// crashWindow is how long a crash counts, and therefore how long content
	// stays refused.
	crashWindow = time.Minute
	// suspectWindow is the longest time between a connection failure and the
	// detection of a crash for which the two are attributed to each other:
	// registrations are read about twice a second, and a server that restarts
	// registers its new incarnation within seconds.
	suspectWindow = 5 * time.Second
	// maxTrackedContents bounds the number of contents whose crashes are counted.
	maxTrackedContents = 4096
	// maxSuspects bounds the number of requests that one crash is attributed to:
	// a server has few slots, so more broken connections have another cause.
	maxSuspects = 4
)

func newCrashTracker() *crashTracker {
	return &crashTracker{brokenRuns: make(map[topology.ServerID][]brokenRun), crashes: make(map[uint64][]time.Duration)}
}

// recordBroken records that the connection to a server failed while it ran a
// request with the given content.
func (t *crashTracker) recordBroken(server topology.ServerID, content uint64, now time.Duration) {
	kept := t.brokenRuns[server][:0]
	for _, r := range t.brokenRuns[server] {
		if now-r.at <= suspectWindow {
			kept = append(kept, r)
		}
	}
	t.brokenRuns[server] = append(kept, brokenRun{content, now})
}

// recordCrash records that a server has crashed and attributes the crash to the
// contents whose connections failed shortly before.
func (t *crashTracker) recordCrash(server topology.ServerID, now time.Duration) {
	runs := t.brokenRuns[server]
	delete(t.brokenRuns, server)
	seen := make(map[uint64]bool)
	for _, r := range runs {
		if now-r.at > suspectWindow || seen[r.content] || len(runs) > maxSuspects {
			continue
		}
		seen[r.content] = true
		if len(t.crashes) >= maxTrackedContents {
			t.evict(now)
		}
		t.crashes[r.content] = append(t.crashes[r.content], now)
	}
}

// evict drops contents whose last crash is too long ago, or all contents if
// there are still too many.
func (t *crashTracker) evict(now time.Duration) {
	for content, times := range t.crashes {
		if now-times[len(times)-1] > crashWindow {
			delete(t.crashes, content)
		}
	}
	if len(t.crashes) >= maxTrackedContents {
		clear(t.crashes)
	}
}

// isHarmful reports whether the content has crashed too many servers.
func (t *crashTracker) isHarmful(content uint64, now time.Duration) bool {
	times := t.crashes[content]
	n := 0
	for _, at := range times {
		if now-at <= crashWindow {
			n++
		}
	}
	return n >= harmfulCrashes
}
