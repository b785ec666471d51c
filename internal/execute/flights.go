package execute

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// suspectTime is the time after the loss of a connection within which the news
// of the server's death makes the request a suspect. A new incarnation is
// seen at the next renewal, after 0.4 s at most.
const suspectTime = 2 * time.Second

// flight is a request at a server.
type flight struct {
	server  topology.ServerID
	content request.Digest
	// counted is set when the flight was reported as a suspect.
	counted bool
	lost    bool
	lostAt  time.Duration
}

// flights knows which requests are at which server, and which were there when
// their connection broke.
type flights struct {
	clk clock.Clock

	mu      sync.Mutex
	servers map[topology.ServerID]map[*flight]struct{}
}

func newFlights(clk clock.Clock) *flights {
	return &flights{clk: clk, servers: make(map[topology.ServerID]map[*flight]struct{})}
}

func (f *flights) start(server topology.ServerID, content request.Digest) *flight {
	fl := &flight{server: server, content: content}
	f.mu.Lock()
	defer f.mu.Unlock()
	set, ok := f.servers[server]
	if !ok {
		set = make(map[*flight]struct{})
		f.servers[server] = set
	}
	set[fl] = struct{}{}
	return fl
}

// end removes a flight; one whose connection was lost stays for suspectTime.
func (f *flights) end(fl *flight, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set, now := f.servers[fl.server], f.clk.Now()
	if lost && !fl.counted {
		fl.lost, fl.lostAt = true, now
	} else {
		delete(set, fl)
	}
	f.dropOld(set, now)
}

func (f *flights) dropOld(set map[*flight]struct{}, now time.Duration) {
	for fl := range set {
		if fl.lost && now-fl.lostAt > suspectTime {
			delete(set, fl)
		}
	}
}

// died returns the contents that were in flight when the server died. Each
// flight is returned once, and each content once per crash.
func (f *flights) died(server topology.ServerID) []request.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.servers[server]
	f.dropOld(set, f.clk.Now())
	seen := make(map[request.Digest]bool)
	var out []request.Digest
	for fl := range set {
		if !fl.counted && !seen[fl.content] {
			seen[fl.content] = true
			out = append(out, fl.content)
		}
		fl.counted = true
		if fl.lost {
			delete(set, fl)
		}
	}
	return out
}
