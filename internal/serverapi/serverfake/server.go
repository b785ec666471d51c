// Package serverfake is an in-memory stand-in for a backend server. It
// implements the contract of package serverapi, runs requests in a fixed number
// of slots, and can imitate the faults of real servers.
package serverfake

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Options configure a Server.
type Options struct {
	ID          topology.ServerID
	Incarnation topology.Incarnation
	// ChecksFences is false for a server that runs every request that it receives.
	ChecksFences bool
	// Slots is the number of requests that can run at the same time; the default
	// is 2.
	Slots int
	Clock clock.Clock
	// CountRuns enables the count of runs of each request id. The number of ids
	// is not limited.
	CountRuns bool
	// RunLog receives the id of each request that takes effect, one per line,
	// before the response is sent. Unlike the counts, a file survives the process.
	RunLog io.Writer
}

type shardGrant struct {
	fence  topology.Fence
	except []string
}

// Server is the state of one backend server. It is safe for concurrent use.
type Server struct {
	opts Options

	mu           sync.Mutex
	leaseEnd     time.Duration // end of the lease, on opts.Clock
	epoch        topology.Fence
	grants       map[topology.ShardRef]shardGrant
	newestFences map[topology.ShardRef]topology.Fence
	running      map[topology.ShardRef]int
	runCounts    map[string]int
	totalRuns    int
	inFlight     int
	draining     bool
	loadOverride *serverapi.LoadReport // replaces the actual load in replies if set
}

// New returns a server without grants.
func New(opts Options) *Server {
	if opts.Slots == 0 {
		opts.Slots = 2
	}
	return &Server{
		opts:         opts,
		grants:       make(map[topology.ShardRef]shardGrant),
		newestFences: make(map[topology.ShardRef]topology.Fence),
		running:      make(map[topology.ShardRef]int),
		runCounts:    make(map[string]int),
	}
}

// SetDraining marks the server as draining, or clears the mark if on is false.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// SetLoad makes the server report r as its load. With nil it reports its actual
// load again.
func (s *Server) SetLoad(r *serverapi.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadOverride = r
}

// Lease implements serverapi.LeaseAPI.
func (s *Server) Lease(context.Context) (serverapi.LeaseReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired()
	return s.reply(true), nil
}

// UpdateLease implements serverapi.LeaseAPI.
func (s *Server) UpdateLease(_ context.Context, req serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired()
	if code := s.checkRequest(req); code != "" {
		r := s.reply(req.WithHeld)
		r.Refused = code
		return r, nil
	}
	s.epoch = req.Epoch
	if req.Duration == 0 {
		return s.reply(req.WithHeld), nil
	}
	var refusals []serverapi.Refusal
	var revoked []topology.ShardRef
	for _, o := range req.Revoke {
		if code := s.revoke(o); code != "" {
			refusals = append(refusals, serverapi.Refusal{Ref: o.Ref, Code: code, Newest: s.newestFences[o.Ref]})
			continue
		}
		revoked = append(revoked, o.Ref)
	}
	for _, o := range req.Grant {
		if code := s.grant(o); code != "" {
			refusals = append(refusals, serverapi.Refusal{Ref: o.Ref, Code: code, Newest: s.newestFences[o.Ref]})
		}
	}
	s.leaseEnd = max(s.leaseEnd, req.Tick+req.Duration)
	r := s.reply(req.WithHeld)
	r.Refusals, r.Revoked = refusals, revoked
	return r, nil
}

// checkRequest returns the reason why the whole request is refused, or "".
func (s *Server) checkRequest(req serverapi.LeaseRequest) serverapi.RefusalCode {
	switch {
	case s.opts.ChecksFences && req.Epoch.Compare(s.epoch) < 0:
		return serverapi.RefusedEpoch
	case req.Duration == 0:
		return ""
	case req.Incarnation != s.opts.Incarnation:
		return serverapi.RefusedIncarnation
	case req.Tick+req.Duration <= s.opts.Clock.Now():
		return serverapi.RefusedExpired
	}
	return ""
}

func (s *Server) revoke(o serverapi.RevokeOrder) serverapi.RefusalCode {
	switch {
	case s.opts.ChecksFences && o.Fence.Compare(s.newestFences[o.Ref]) < 0:
		return serverapi.RefusedFence
	case s.running[o.Ref] > 0:
		return serverapi.RefusedBusy
	}
	delete(s.grants, o.Ref)
	s.newestFences[o.Ref] = o.Fence
	return ""
}

func (s *Server) grant(o serverapi.GrantOrder) serverapi.RefusalCode {
	_, granted := s.grants[o.Ref]
	switch {
	case o.OnlyIfHeld && !granted:
		return serverapi.RefusedNotHeld
	case s.opts.ChecksFences && o.Fence.Compare(s.newestFences[o.Ref]) < 0:
		return serverapi.RefusedFence
	case s.draining && !granted:
		return serverapi.RefusedDraining
	}
	s.grants[o.Ref] = shardGrant{fence: o.Fence, except: o.Except}
	s.newestFences[o.Ref] = o.Fence
	return ""
}

// dropExpired removes all grants if the lease has ended.
func (s *Server) dropExpired() {
	if s.opts.Clock.Now() >= s.leaseEnd {
		clear(s.grants)
	}
}

func (s *Server) reply(withHeld bool) serverapi.LeaseReply {
	now := s.opts.Clock.Now()
	r := serverapi.LeaseReply{
		Server: s.opts.ID, Incarnation: s.opts.Incarnation, Tick: now,
		Remaining: max(0, s.leaseEnd-now), Newest: s.epoch, Draining: s.draining, Load: s.loadReport(),
	}
	if withHeld {
		for ref, g := range s.grants {
			r.Held = append(r.Held, serverapi.HeldGrant{Ref: ref, Fence: g.fence, Except: g.except})
		}
		slices.SortFunc(r.Held, func(a, b serverapi.HeldGrant) int {
			return compareRefs(a.Ref, b.Ref)
		})
	}
	return r
}

func (s *Server) loadReport() serverapi.LoadReport {
	if s.loadOverride != nil {
		return *s.loadOverride
	}
	return serverapi.LoadReport{
		Utilisation: float64(s.inFlight) / float64(s.opts.Slots), InFlight: s.inFlight, Warm: true,
	}
}

func compareRefs(a, b topology.ShardRef) int {
	return cmp.Or(
		strings.Compare(string(a.Service), string(b.Service)), cmp.Compare(a.Shard, b.Shard), strings.Compare(a.Key, b.Key),
	)
}
