// Package serverfake is an in-memory stand-in for a backend server. It keeps
// grants as the contract of package serverapi says, runs requests in a fixed
// number of slots, and has switches for the faults of real servers.
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
	// ChecksFences is false for a server that runs any request it receives.
	ChecksFences bool
	// Slots is the number of requests that run at the same time.
	Slots int
	Clock clock.Clock
	// CountRuns keeps the number of runs of each request id, without bound.
	CountRuns bool
	// RunLog receives the id of each request that takes effect, one a line,
	// before its answer. Unlike the counts it outlives the process.
	RunLog io.Writer
}

type held struct {
	fence  topology.Fence
	except []string
}

// Server is the state of one backend server. It is safe for concurrent use.
type Server struct {
	opts Options

	mu       sync.Mutex
	until    time.Duration // end of the lease on the server's clock
	epoch    topology.Fence
	grants   map[topology.ShardRef]held
	newest   map[topology.ShardRef]topology.Fence
	running  map[topology.ShardRef]int
	runs     map[string]int
	total    int
	inFlight int
	draining bool
	load     *serverapi.LoadReport // overrides the true report if set
}

// New returns a server without grants.
func New(opts Options) *Server {
	if opts.Slots == 0 {
		opts.Slots = 2
	}
	return &Server{
		opts:    opts,
		grants:  make(map[topology.ShardRef]held),
		newest:  make(map[topology.ShardRef]topology.Fence),
		running: make(map[topology.ShardRef]int),
		runs:    make(map[string]int),
	}
}

// Drain marks the server as leaving, or as staying again.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// Report makes the server report r as its load; nil restores the true report.
func (s *Server) Report(r *serverapi.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = r
}

// Lease implements serverapi.Control.
func (s *Server) Lease(context.Context) (serverapi.LeaseReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired()
	return s.reply(true), nil
}

// UpdateLease implements serverapi.Control.
func (s *Server) UpdateLease(_ context.Context, req serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired()
	if code := s.refuseAll(req); code != "" {
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
			refusals = append(refusals, serverapi.Refusal{Ref: o.Ref, Code: code, Newest: s.newest[o.Ref]})
			continue
		}
		revoked = append(revoked, o.Ref)
	}
	for _, o := range req.Grant {
		if code := s.grant(o); code != "" {
			refusals = append(refusals, serverapi.Refusal{Ref: o.Ref, Code: code, Newest: s.newest[o.Ref]})
		}
	}
	s.until = max(s.until, req.Tick+req.Duration)
	r := s.reply(req.WithHeld)
	r.Refusals, r.Revoked = refusals, revoked
	return r, nil
}

func (s *Server) refuseAll(req serverapi.LeaseRequest) serverapi.RefusalCode {
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
	case s.opts.ChecksFences && o.Fence.Compare(s.newest[o.Ref]) < 0:
		return serverapi.RefusedFence
	case s.running[o.Ref] > 0:
		return serverapi.RefusedBusy
	}
	delete(s.grants, o.Ref)
	s.newest[o.Ref] = o.Fence
	return ""
}

func (s *Server) grant(o serverapi.GrantOrder) serverapi.RefusalCode {
	_, isHeld := s.grants[o.Ref]
	switch {
	case o.OnlyIfHeld && !isHeld:
		return serverapi.RefusedNotHeld
	case s.opts.ChecksFences && o.Fence.Compare(s.newest[o.Ref]) < 0:
		return serverapi.RefusedFence
	case s.draining && !isHeld:
		return serverapi.RefusedDraining
	}
	s.grants[o.Ref] = held{fence: o.Fence, except: o.Except}
	s.newest[o.Ref] = o.Fence
	return ""
}

func (s *Server) dropExpired() {
	if s.opts.Clock.Now() >= s.until {
		clear(s.grants)
	}
}

func (s *Server) reply(withHeld bool) serverapi.LeaseReply {
	now := s.opts.Clock.Now()
	r := serverapi.LeaseReply{
		Server: s.opts.ID, Incarnation: s.opts.Incarnation, Tick: now,
		Remaining: max(0, s.until-now), Newest: s.epoch, Draining: s.draining, Load: s.report(),
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

func (s *Server) report() serverapi.LoadReport {
	if s.load != nil {
		return *s.load
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
