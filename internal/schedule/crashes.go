package schedule

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// harm counts the crashes of servers per content of a request. It answers a
// request that crashes each server that begins to run it and that its caller
// sends again: after three crashes the content is refused for a time, so that it
// takes down a bounded number of servers.
type harm struct {
	// ended holds the contents whose exchange with a server broke lately.
	ended   map[topology.ServerID][]brokenRun
	crashes map[uint64][]time.Duration
}

type brokenRun struct {
	content uint64
	at      time.Duration
}

const (
	// harmfulCrashes is the number of crashes after which a content is refused.
	harmfulCrashes = 3
	// harmWindow is the time over which crashes count and for which a content
	// stays refused.
	harmWindow = time.Minute
	// suspectTime is the time between the end of a connection and the sign of a
	// crash within which the two belong together: registrations are read about
	// twice a second, and a server registers its new life within seconds.
	suspectTime = 5 * time.Second
	// maxHarmful bounds the contents that are remembered.
	maxHarmful = 4096
	// maxSuspects bounds the runs that one crash is counted for: a server has few
	// slots, so more broken runs have another cause.
	maxSuspects = 4
)

func newHarm() *harm {
	return &harm{ended: make(map[topology.ServerID][]brokenRun), crashes: make(map[uint64][]time.Duration)}
}

// broke records that the connection ended while the content ran.
func (h *harm) broke(server topology.ServerID, content uint64, now time.Duration) {
	keep := h.ended[server][:0]
	for _, r := range h.ended[server] {
		if now-r.at <= suspectTime {
			keep = append(keep, r)
		}
	}
	h.ended[server] = append(keep, brokenRun{content, now})
}

// crashed records that a server's life has ended, and counts it for the contents
// whose run broke shortly before.
func (h *harm) crashed(server topology.ServerID, now time.Duration) {
	runs := h.ended[server]
	delete(h.ended, server)
	seen := make(map[uint64]bool)
	for _, r := range runs {
		if now-r.at > suspectTime || seen[r.content] || len(runs) > maxSuspects {
			continue
		}
		seen[r.content] = true
		if len(h.crashes) >= maxHarmful {
			h.forget(now)
		}
		h.crashes[r.content] = append(h.crashes[r.content], now)
	}
}

// forget drops outdated contents, and all if there are still too many.
func (h *harm) forget(now time.Duration) {
	for c, list := range h.crashes {
		if now-list[len(list)-1] > harmWindow {
			delete(h.crashes, c)
		}
	}
	if len(h.crashes) >= maxHarmful {
		clear(h.crashes)
	}
}

// harmful reports whether a content has crashed too many servers.
func (h *harm) harmful(content uint64, now time.Duration) bool {
	list := h.crashes[content]
	n := 0
	for _, at := range list {
		if now-at <= harmWindow {
			n++
		}
	}
	return n >= harmfulCrashes
}
