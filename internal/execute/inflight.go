package execute

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// suspectWindow is how long a request stays tracked after its connection was
// lost. If the server is found to have crashed within this time, the request is
// a suspect. The next renewal, at most 0.4 s later, shows a new incarnation.
const suspectWindow = 2 * time.Second

// inFlightRequest is a request that was sent to a server.
type inFlightRequest struct {
	server      topology.ServerID
	incarnation topology.Incarnation
	digest      request.Digest
	// reported is set once takeSuspects has returned the request.
	reported   bool
	connLost   bool
	connLostAt time.Duration
}

// inFlightTracker records which requests are in flight at which server, and
// which ones recently lost their connection.
type inFlightTracker struct {
	clk clock.Clock

	mu      sync.Mutex
	servers map[topology.ServerID]map[*inFlightRequest]struct{}
}

func newInFlightTracker(clk clock.Clock) *inFlightTracker {
	return &inFlightTracker{clk: clk, servers: make(map[topology.ServerID]map[*inFlightRequest]struct{})}
}

func (f *inFlightTracker) add(t exchange.Target, digest request.Digest) *inFlightRequest {
	server := t.Server
	r := &inFlightRequest{server: server, incarnation: t.Incarnation, digest: digest}
	f.mu.Lock()
	defer f.mu.Unlock()
	set, ok := f.servers[server]
	if !ok {
		set = make(map[*inFlightRequest]struct{})
		f.servers[server] = set
	}
	set[r] = struct{}{}
	return r
}

// remove ends the tracking of a request. If its connection was lost and it has
// not been reported as a suspect, it stays for suspectWindow.
func (f *inFlightTracker) remove(r *inFlightRequest, connLost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set, now := f.servers[r.server], f.clk.Now()
	if connLost && !r.reported {
		r.connLost, r.connLostAt = true, now
	} else {
		delete(set, r)
	}
	f.dropExpired(set, now)
}

func (f *inFlightTracker) dropExpired(set map[*inFlightRequest]struct{}, now time.Duration) {
	for r := range set {
		if r.connLost && now-r.connLostAt > suspectWindow {
			delete(set, r)
		}
	}
}

// takeSuspects returns the digests of the requests that were in flight when the
// server crashed, and the newest incarnation that they were sent to. Each request
// is reported once, and each digest once per crash.
func (f *inFlightTracker) takeSuspects(server topology.ServerID) (incarnation topology.Incarnation, suspects []request.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.servers[server]
	f.dropExpired(set, f.clk.Now())
	seen := make(map[request.Digest]bool)
	for r := range set {
		if !r.reported && !seen[r.digest] {
			seen[r.digest] = true
			suspects = append(suspects, r.digest)
			incarnation = max(incarnation, r.incarnation)
		}
		r.reported = true
		if r.connLost {
			delete(set, r)
		}
	}
	return incarnation, suspects
}
