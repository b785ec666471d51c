package router

import (
	"errors"
	"runtime/debug"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/metrics"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
)

const (
	// bodyMemoryShare is the share of the host's memory that the bodies of requests may hold
	// together. A body exists up to twice more while it is passed on to another host.
	bodyMemoryShare = 0.25
	// goMemoryShare is the share of the host's memory that is set as the soft limit of the Go
	// runtime. About 10 MB of the process are not the runtime's.
	goMemoryShare = 0.82
	// defaultBodyMemoryMB is the memory for bodies in MiB if that of the host is not stated.
	defaultBodyMemoryMB = 256
	// refusalLinesPerSecond bounds the log lines on refused bodies.
	refusalLinesPerSecond = 2
)

// SetMemoryLimit sets the soft limit of the Go runtime, if the memory of the host is stated.
func (s *Settings) SetMemoryLimit() {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(int64(s.MemoryMB)<<20)))
	}
}

// bodyMemory returns the memory for request bodies on a host with so much memory.
func bodyMemory(hostMB int) *membudget.RequestBudget {
	if hostMB == 0 {
		return frontend.NewBodyMemory(defaultBodyMemoryMB << 20)
	}
	return frontend.NewBodyMemory(int64(bodyMemoryShare * float64(int64(hostMB)<<20)))
}

// refusalRecorder returns a function that counts and logs refused bodies.
func refusalRecorder(log logging.Logger, set *metrics.Set) func(error) {
	limiter, clk := &logging.Limiter{PerSecond: refusalLinesPerSecond}, clock.NewMonotonic()
	return func(reason error) {
		counter := metrics.RefusedNoMemory
		if errors.Is(reason, pieces.ErrEvicted) {
			counter = metrics.RefusedEvicted
		}
		set.Count(counter, 1)
		if ok, omitted := limiter.Allow(clk.Now()); ok {
			log.With("reason", reason.Error()).With("omitted", omitted).Warn("a request body is refused for lack of memory")
		}
	}
}
