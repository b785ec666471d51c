package execute

import (
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// term is the memory of ids of one leader term.
type term struct {
	epoch  topology.Fence
	memory *dedup.Table
}

func (s *Service) dedupOptions() dedup.Options {
	return dedup.Options{Clock: s.opts.Clock, Wall: s.opts.Wall}
}

func epochOf(t exchange.Target) topology.Fence {
	if t.Leadership != (topology.Fence{}) {
		return t.Leadership
	}
	return t.Fence.Epoch()
}

// memory returns the memory of the target's leader term, or nil if a later term
// is known. The first request of a term without TakeOver or Continue creates a
// memory that refuses all ids from before the term.
func (s *Service) memory(t exchange.Target) *dedup.Table {
	epoch := epochOf(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur, ok := s.memories[t.Partition]; ok {
		if c := cur.epoch.Compare(epoch); c == 0 {
			return cur.memory
		} else if c > 0 {
			return nil
		}
	}
	since := t.LeaderSince
	if since.IsZero() {
		since = s.opts.Wall()
	}
	m := dedup.New(s.dedupOptions(), since)
	s.memories[t.Partition] = &term{epoch: epoch, memory: m}
	return m
}

// HandOver closes the memory of ids of a partition and returns its content for
// the next leader. Requests that have not been sent end as not-leader, not run.
// It returns false if the partition has no memory in the given term. A leader
// that lost its leadership calls it as well, to free the memory, and drops the
// result: the next leader may have run requests already.
func (s *Service) HandOver(partition topology.PartitionID, epoch topology.Fence) (dedup.HandOver, bool) {
	s.mu.Lock()
	cur, ok := s.memories[partition]
	s.mu.Unlock()
	if !ok || cur.epoch != epoch {
		return dedup.HandOver{}, false
	}
	return cur.memory.Export(), true
}

// TakeOver starts a leader term with the memory of the previous leader. It must
// be called before Owners names the term, and only with a complete hand-over of
// the directly preceding term. It returns false if it comes too late or the
// content is malformed.
func (s *Service) TakeOver(partition topology.PartitionID, epoch topology.Fence, h dedup.HandOver) bool {
	m, ok := dedup.Import(s.dedupOptions(), h)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur, ok := s.memories[partition]; ok && cur.epoch.Compare(epoch) >= 0 {
		return false
	}
	s.memories[partition] = &term{epoch: epoch, memory: m}
	return true
}

// Continue carries the memory of ids over to a later term of this host, if no
// other host can have led in between.
func (s *Service) Continue(partition topology.PartitionID, from, to topology.Fence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur, ok := s.memories[partition]
	if !ok || cur.epoch != from || from.Compare(to) >= 0 {
		return false
	}
	cur.epoch = to
	return true
}

// ServerDied counts a crash for each request that was at the server. The
// control path calls it when it sees a new incarnation or the end of the
// server, before it grants the server's shards elsewhere.
func (s *Service) ServerDied(server topology.ServerID) {
	if process, suspects := s.flights.died(server); len(suspects) > 0 {
		s.crashes.RecordCrash(server, process, suspects)
	}
}

// ServerCold makes the load on a server rise in steps. The control path calls
// it for a server that has started.
func (s *Service) ServerCold(t exchange.Target) { s.queue(t).StartWarmup() }

// Queued returns the number of requests that wait for a slot of a server.
func (s *Service) Queued(server topology.ServerID) int {
	s.mu.Lock()
	q, ok := s.queues[server]
	s.mu.Unlock()
	if !ok {
		return 0
	}
	_, waiting := q.Load()
	return waiting
}

// Quarantine returns the table of crash counts, for records from the log and
// for hand-overs.
func (s *Service) Quarantine() *quarantine.Table { return s.crashes }
