package serverfake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Begin admits a request for a shard or returns the reason for its refusal. After
// a nil error the caller must call Commit and End.
func (s *Server) Begin(ref topology.ShardRef, key string, fence topology.Fence) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.opts.Slots {
		return verdict.New(verdict.CodeOverload, verdict.NotRun, "server %s has no free slot", s.opts.ID)
	}
	if s.opts.ChecksFences {
		if err := s.checkGrant(ref, key, fence); err != nil {
			return err
		}
	}
	s.inFlight++
	s.running[ref]++
	return nil
}

// Commit checks the grant again when the request takes effect. A request whose
// grant has ended must have no effect.
func (s *Server) Commit(ref topology.ShardRef, key string, fence topology.Fence) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opts.ChecksFences {
		return nil
	}
	return s.checkGrant(ref, key, fence)
}

// End ends a request that Begin admitted.
func (s *Server) End(ref topology.ShardRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.running[ref]--; s.running[ref] == 0 {
		delete(s.running, ref)
	}
}

// countRun records that a request took effect.
func (s *Server) countRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalRuns++
	if s.opts.CountRuns {
		s.runCounts[id]++
	}
	if s.opts.RunLog != nil {
		_, _ = fmt.Fprintln(s.opts.RunLog, id)
	}
}

// Stats counts the requests that took effect. Repeated maps each id that ran more
// than once to its number of runs. It is empty without Options.CountRuns.
type Stats struct {
	Total    int            `json:"total"`
	Repeated map[string]int `json:"repeated"`
}

// Stats returns the counts of the requests that took effect.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Total: s.totalRuns, Repeated: make(map[string]int)}
	for id, n := range s.runCounts {
		if n > 1 {
			stats.Repeated[id] = n
		}
	}
	return stats
}

// RunCount returns how often the request with the id took effect. It is 0 without
// Options.CountRuns.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// TotalRuns returns the number of requests that took effect.
func (s *Server) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

func (s *Server) checkGrant(ref topology.ShardRef, key string, fence topology.Fence) *verdict.Error {
	s.dropExpired()
	grant, ok := s.grants[ref]
	if !ok || grant.fence != fence {
		return verdict.New(verdict.CodeFence, verdict.NotRun, "server %s has no grant for shard %s with fence %s", s.opts.ID, ref, fence)
	}
	if ref.Key == "" && slices.Contains(grant.except, key) {
		return verdict.New(verdict.CodeFence, verdict.NotRun, "key %q was split off shard %s", key, ref)
	}
	return nil
}

// Handler returns an HTTP handler for the contract of package serverapi, which
// passes admitted requests to app. It also serves GET /stats.
func (s *Server) Handler(app http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lease", func(w http.ResponseWriter, r *http.Request) {
		reply, _ := s.Lease(r.Context())
		writeJSON(w, reply)
	})
	mux.HandleFunc("PUT /v1/lease", s.serveUpdate)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, r *http.Request) {
		reply, _ := s.Lease(r.Context())
		writeJSON(w, reply.Load)
	})
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	mux.Handle("/v1/run/", http.StripPrefix("/v1/run", s.runHandler(app)))
	return mux
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request) {
	var req serverapi.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, _ := s.UpdateLease(r.Context(), req)
	writeJSON(w, reply)
}

func (s *Server) runHandler(app http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(serverapi.HeaderExchange, r.Header.Get(serverapi.HeaderExchange))
		ref, refErr := topology.ParseShardRef(r.Header.Get(serverapi.HeaderShard))
		fence, fenceErr := topology.ParseFence(r.Header.Get(serverapi.HeaderFence))
		if refErr != nil || fenceErr != nil {
			refuse(w, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "invalid shard or fence header"))
			return
		}
		if notAfterPassed(r) {
			refuse(w, verdict.New(verdict.CodeDeadline, verdict.NotRun, "not-after time of the request has passed"))
			return
		}
		key := r.Header.Get(serverapi.HeaderKey)
		if err := s.Begin(ref, key, fence); err != nil {
			refuse(w, err)
			return
		}
		defer s.End(ref)
		if err := s.Commit(ref, key, fence); err != nil {
			refuse(w, err)
			return
		}
		s.countRun(r.Header.Get(serverapi.HeaderRequest))
		w.Header().Set(serverapi.HeaderVerdict, verdict.Ran.String())
		app.ServeHTTP(w, r)
	})
}

func notAfterPassed(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(serverapi.HeaderNotAfter), 10, 64)
	return err == nil && time.Now().UnixMilli() > ms
}

func refuse(w http.ResponseWriter, err *verdict.Error) {
	w.Header().Set(serverapi.HeaderVerdict, err.Verdict.String())
	w.Header().Set(serverapi.HeaderError, string(err.Code))
	http.Error(w, err.Message, err.Status())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
