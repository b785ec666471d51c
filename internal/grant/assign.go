package grant

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func (s *server) leaves() bool { return !s.listed || s.leaving || s.draining }

func (s *server) answers(now time.Duration) bool {
	return s.answered && now-s.answeredAt < silentAfter
}

// takes reports whether the server may get further shards.
func (s *server) takes(now time.Duration) bool {
	return s.adopted && s.answers(now) && !s.leaves()
}

// own changes the server that a shard counts for.
func (l *Manager) own(s *shard, state ShardState, srv *server) {
	if s.state != Waiting {
		l.byID[s.server].shards--
	}
	s.state = state
	if state == Waiting {
		return
	}
	s.server, s.inc = srv.id, srv.inc
	srv.shards++
}

// wait gives up the grant of a shard. Another server may get it from free on.
func (l *Manager) wait(s *shard, free time.Duration) {
	l.own(s, Waiting, nil)
	s.freeAt, s.onlyIf = free, false
}

// lapse frees the shards of servers whose grants have ended.
func (l *Manager) lapse(now time.Duration) {
	for _, s := range l.shards {
		if s.state == Waiting {
			continue
		}
		srv := l.byID[s.server]
		ended := now >= srv.mayHold && (s.state != Granting || !srv.answers(now))
		if l.unsafe.noGrantWait {
			ended = srv.waitFor != 0 && now-srv.answeredAt > silentAfter
		}
		if !ended {
			continue
		}
		l.counters.Expired++
		free := max(srv.mayHold, l.earlier) + l.exchangeWait()
		if l.unsafe.noGrantWait {
			free = now
		}
		l.wait(s, free)
	}
}

// drain starts to move shards away from leaving servers.
func (l *Manager) drain(now time.Duration) {
	moving := make(map[topology.ServerID]int)
	for _, s := range l.shards {
		if s.state == Revoking {
			moving[s.server]++
		}
	}
	for _, s := range l.shards {
		if s.state != Owned || !l.byID[s.server].leaves() || moving[s.server] >= movesPerServer {
			continue
		}
		target := l.leastLoaded(now)
		if target == nil {
			return
		}
		moving[s.server]++
		l.revoke(s, target.id, now)
	}
}

// Move starts a planned move of a shard to another server: the owner is asked
// to give it up, and takes no new requests of the shard meanwhile. If the
// target cannot take the shard by then, another server gets it.
func (l *Manager) Move(ref topology.ShardRef, to topology.ServerID, now time.Duration) error {
	s, ok := l.byRef[ref]
	if !ok {
		return ErrUnknownShard
	}
	if s.state != Owned {
		return ErrNotOwned
	}
	target, ok := l.byID[to]
	if !ok || s.server == to || !target.takes(now) {
		return ErrTarget
	}
	l.revoke(s, to, now)
	return nil
}

func (l *Manager) revoke(s *shard, to topology.ServerID, now time.Duration) {
	s.to, s.nextTry, s.revokedAt = to, 0, now
	if l.unsafe.noRevoke {
		l.wait(s, 0)
		return
	}
	l.own(s, Revoking, l.byID[s.server])
	s.fence = l.nextFence()
}

// place grants shards that are free.
func (l *Manager) place(now time.Duration) {
	for _, s := range l.shards {
		if s.state != Waiting {
			continue
		}
		target := l.target(s, now)
		if target == nil {
			continue
		}
		l.own(s, Granting, target)
		s.fence, s.nextTry, s.to = l.nextFence(), 0, ""
	}
}

// target returns the server that gets a waiting shard: the target of a planned
// move, the last owner, or the server with the fewest shards.
func (l *Manager) target(s *shard, now time.Duration) *server {
	if s.joining || !s.parentReady(now) && !l.unsafe.noSplitWait {
		return nil
	}
	last := l.byID[s.server]
	if now < s.freeAt {
		// Only the last owner may get the shard before earlier grants end.
		if last != nil && s.inc != 0 && last.inc == s.inc && last.takes(now) && s.to == "" {
			return last
		}
		return nil
	}
	if to, ok := l.byID[s.to]; ok && to.takes(now) {
		return to
	}
	if last != nil && last.takes(now) && s.to == "" && last.shards < l.fairShare(now) {
		return last
	}
	return l.leastLoaded(now)
}

// fairShare is the number of shards per server that takes shards, rounded up.
func (l *Manager) fairShare(now time.Duration) int {
	n := 0
	for _, s := range l.servers {
		if s.takes(now) {
			n++
		}
	}
	return (len(l.shards) + n - 1) / max(n, 1)
}

func (l *Manager) leastLoaded(now time.Duration) *server {
	var best *server
	for _, s := range l.servers {
		if s.takes(now) && (best == nil || s.shards < best.shards) {
			best = s
		}
	}
	return best
}
