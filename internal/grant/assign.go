package grant

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// isDraining reports whether shards must move away from the server.
func (s *server) isDraining() bool { return !s.listed || s.listedDraining || s.reportedDraining }

// responsive reports whether the server has replied within unresponsiveAfter.
func (s *server) responsive(now time.Duration) bool {
	return s.hasReplied && now-s.lastReply < unresponsiveAfter
}

// acceptsShards reports whether the server may get further shards.
func (s *server) acceptsShards(now time.Duration) bool {
	return s.adopted && s.responsive(now) && !s.isDraining()
}

// setState changes the state and the owner of a shard, and the shard counts of
// the servers. In state Waiting the last owner stays recorded.
func (m *Manager) setState(s *shard, state ShardState, srv *server) {
	if s.state != Waiting {
		m.byID[s.server].shardCount--
	}
	s.state = state
	if state == Waiting {
		return
	}
	s.server, s.incarnation = srv.id, srv.incarnation
	srv.shardCount++
}

// freeShard gives up the grant of a shard. Another server may get it from freeAt
// on.
func (m *Manager) freeShard(s *shard, freeAt time.Duration) {
	m.setState(s, Waiting, nil)
	s.freeAt, s.extendOnly = freeAt, false
}

// freeExpired frees the shards whose grants have expired.
func (m *Manager) freeExpired(now time.Duration) {
	for _, s := range m.shards {
		if s.state == Waiting {
			continue
		}
		srv := m.byID[s.server]
		expired := now >= srv.mayHoldUntil && (s.state != Granting || !srv.responsive(now))
		if m.unsafe.noGrantWait {
			expired = srv.awaiting != 0 && now-srv.lastReply > unresponsiveAfter
		}
		if !expired {
			continue
		}
		m.counters.Expired++
		freeAt := max(srv.mayHoldUntil, m.earlierGrantsUntil) + m.exchangeWait()
		if m.unsafe.noGrantWait {
			freeAt = now
		}
		m.freeShard(s, freeAt)
	}
}

// moveFromDraining starts to move shards away from draining servers.
func (m *Manager) moveFromDraining(now time.Duration) {
	moving := make(map[topology.ServerID]int)
	for _, s := range m.shards {
		if s.state == Revoking {
			moving[s.server]++
		}
	}
	for _, s := range m.shards {
		if s.state != Owned || !m.byID[s.server].isDraining() || moving[s.server] >= maxMovesPerServer {
			continue
		}
		target := m.leastLoaded(now)
		if target == nil {
			return
		}
		moving[s.server]++
		m.revoke(s, target.id, now)
	}
}

// Move starts a planned move of a shard to another server. The owner gets no new
// requests of the shard from now on and must acknowledge a revoke first. If the
// target cannot accept the shard by then, another server gets it.
func (m *Manager) Move(ref topology.ShardRef, to topology.ServerID, now time.Duration) error {
	s, ok := m.byRef[ref]
	if !ok {
		return ErrUnknownShard
	}
	if s.state != Owned {
		return ErrNotOwned
	}
	target, ok := m.byID[to]
	if !ok || s.server == to || !target.acceptsShards(now) {
		return ErrInvalidTarget
	}
	m.revoke(s, to, now)
	return nil
}

// revoke starts to revoke a shard from its owner. If to is not empty, it is the
// target of a planned move.
func (m *Manager) revoke(s *shard, to topology.ServerID, now time.Duration) {
	s.moveTarget, s.nextOrderAt, s.revokedAt = to, 0, now
	if m.unsafe.noRevoke {
		m.freeShard(s, 0)
		return
	}
	m.setState(s, Revoking, m.byID[s.server])
	s.fence = m.nextFence()
}

// assignFree grants the waiting shards that a server may get now.
func (m *Manager) assignFree(now time.Duration) {
	for _, s := range m.shards {
		if s.state != Waiting {
			continue
		}
		target := m.chooseServer(s, now)
		if target == nil {
			continue
		}
		m.setState(s, Granting, target)
		s.fence, s.nextOrderAt, s.moveTarget = m.nextFence(), 0, ""
	}
}

// chooseServer returns the server that gets a waiting shard: the target of a
// planned move, the last owner, or the server with the fewest shards. It returns
// nil if no server may get the shard now.
func (m *Manager) chooseServer(s *shard, now time.Duration) *server {
	if s.joining || !s.parentReady(now) && !m.unsafe.noSplitWait {
		return nil
	}
	last := m.byID[s.server]
	if now < s.freeAt {
		// Only the last owner may get the shard before earlier grants end.
		if last != nil && s.incarnation != 0 && last.incarnation == s.incarnation && last.acceptsShards(now) && s.moveTarget == "" {
			return last
		}
		return nil
	}
	if to, ok := m.byID[s.moveTarget]; ok && to.acceptsShards(now) {
		return to
	}
	if last != nil && last.acceptsShards(now) && s.moveTarget == "" && last.shardCount < m.fairShare(now) {
		return last
	}
	return m.leastLoaded(now)
}

// fairShare returns the number of shards per server that accepts shards, rounded
// up.
func (m *Manager) fairShare(now time.Duration) int {
	n := 0
	for _, s := range m.servers {
		if s.acceptsShards(now) {
			n++
		}
	}
	return (len(m.shards) + n - 1) / max(n, 1)
}

// leastLoaded returns the server with the fewest shards among those that accept
// shards, or nil.
func (m *Manager) leastLoaded(now time.Duration) *server {
	var best *server
	for _, s := range m.servers {
		if s.acceptsShards(now) && (best == nil || s.shardCount < best.shardCount) {
			best = s
		}
	}
	return best
}
