package execute

import (
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// epochTable is the deduplication table of one leadership.
type epochTable struct {
	epoch topology.Fence
	table *dedup.Table
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

// dedupTable returns the deduplication table of the leadership that the target
// names, or nil if a later leadership is known. If neither TakeOver nor Continue
// was called for the leadership, its first request creates a table that refuses
// all ids from before the start of the leadership.
func (s *Service) dedupTable(t exchange.Target) *dedup.Table {
	epoch := epochOf(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur, ok := s.dedupTables[t.Partition]; ok {
		if c := cur.epoch.Compare(epoch); c == 0 {
			return cur.table
		} else if c > 0 {
			return nil
		}
	}
	since := t.LeaderSince
	if since.IsZero() {
		since = s.opts.Wall()
	}
	table := dedup.New(s.dedupOptions(), since)
	s.dedupTables[t.Partition] = &epochTable{epoch: epoch, table: table}
	return table
}

// HandOver closes the deduplication table of a partition and returns its content
// for the next leader. Requests that have not been sent end with code NotLeader
// and verdict NotRun. It returns false if the partition has no table for the
// given epoch. A leader that lost its leadership calls it as well, to free the
// table, and discards the result, because the next leader may already have run
// requests.
func (s *Service) HandOver(partition topology.PartitionID, epoch topology.Fence) (dedup.HandOver, bool) {
	s.mu.Lock()
	cur, ok := s.dedupTables[partition]
	s.mu.Unlock()
	if !ok || cur.epoch != epoch {
		return dedup.HandOver{}, false
	}
	return cur.table.Export(), true
}

// TakeOver starts a leadership with the deduplication table of the previous
// leader. It must be called before Owners returns targets of the new leadership,
// and only with a complete handover from the directly preceding one. It returns
// false if the leadership has already begun or the content is malformed.
func (s *Service) TakeOver(partition topology.PartitionID, epoch topology.Fence, h dedup.HandOver) bool {
	table, ok := dedup.Import(s.dedupOptions(), h)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur, ok := s.dedupTables[partition]; ok && cur.epoch.Compare(epoch) >= 0 {
		return false
	}
	s.dedupTables[partition] = &epochTable{epoch: epoch, table: table}
	return true
}

// Continue keeps the deduplication table for a later leadership of this host. It
// may be called only if no other host can have led in between. It returns false
// if from is not the current epoch or to is not later.
func (s *Service) Continue(partition topology.PartitionID, from, to topology.Fence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur, ok := s.dedupTables[partition]
	if !ok || cur.epoch != from || from.Compare(to) >= 0 {
		return false
	}
	cur.epoch = to
	return true
}

// ServerDied counts a crash for each request that was in flight at the server.
// The control path calls it when it sees a new incarnation of the server or that
// it has gone, before it grants the shards of the server to other servers.
func (s *Service) ServerDied(server topology.ServerID) {
	if incarnation, suspects := s.inFlight.takeSuspects(server); len(suspects) > 0 {
		s.crashes.RecordCrash(server, incarnation, suspects)
	}
}

// StartWarmup starts the warm-up of a server, in which its load rises in steps.
// The control path calls it for a server that has started.
func (s *Service) StartWarmup(t exchange.Target) { s.queue(t).StartWarmup() }

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

// Quarantine returns the table of crash counts. Callers add crash records from
// the log to it and export it for handovers.
func (s *Service) Quarantine() *quarantine.Table { return s.crashes }
