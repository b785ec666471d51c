package grant

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// A hot key that is split off its shard is a unit of ownership of its own. The
// grant of the shard lists the keys that it does not cover, and the key is
// granted only when the owner of the shard has acknowledged such a grant.

// Unit returns the unit of ownership of a key of a shard: the key itself if it
// is split off, or the shard.
func (l *Manager) Unit(shard topology.ShardRef, key string) topology.ShardRef {
	if s, ok := l.byRef[shard]; ok && len(s.except) > 0 && slices.Contains(s.except, key) {
		shard.Key = key
	}
	return shard
}

// Split takes a key off its shard and gives it to a server, which may be the
// owner of the shard.
func (l *Manager) Split(key topology.ShardRef, to topology.ServerID, now time.Duration) error {
	parent, ok := l.byRef[shardOf(key)]
	if !ok || key.Key == "" || l.byRef[key] != nil {
		return ErrUnknownShard
	}
	if parent.state != Owned {
		return ErrNotOwned
	}
	if target, ok := l.byID[to]; !ok || !target.takes(now) {
		return ErrTarget
	}
	k := l.addKey(key, parent, now, now)
	k.to = to
	l.regrant(parent)
	k.splitFence = parent.fence
	return nil
}

// Join gives a split-off key back to its shard. The key's owner gives it up
// first.
func (l *Manager) Join(key topology.ShardRef, now time.Duration) error {
	k, ok := l.byRef[key]
	if !ok || k.parent == nil {
		return ErrUnknownShard
	}
	if k.state != Owned || k.parent.state != Owned {
		return ErrNotOwned
	}
	k.joining = true
	l.revoke(k, "", now)
	return nil
}

func shardOf(key topology.ShardRef) topology.ShardRef {
	key.Key = ""
	return key
}

// addKey adds a key as a unit, with its shard as the parent.
func (l *Manager) addKey(key topology.ShardRef, parent *shard, free, now time.Duration) *shard {
	k := l.addShard(key, free, now)
	k.parent = parent
	if parent != nil && !slices.Contains(parent.except, key.Key) {
		parent.except = append(slices.Clone(parent.except), key.Key)
	}
	return k
}

// regrant grants a shard to its owner again, with a new fence and the present
// list of keys that it does not cover.
func (l *Manager) regrant(s *shard) {
	l.own(s, Granting, l.byID[s.server])
	s.fence, s.nextTry, s.onlyIf = l.nextFence(), 0, false
}

// parentReady reports whether no server can run requests for the key under a
// grant of its shard.
func (s *shard) parentReady(now time.Duration) bool {
	p := s.parent
	switch {
	case p == nil:
		return true
	case p.state == Owned:
		return p.fence.Compare(s.splitFence) >= 0
	case p.state == Waiting:
		return now >= p.freeAt // later grants list the key
	default:
		return false
	}
}

// finishJoins removes keys whose owner has given them up and grants their
// shards without the exception.
func (l *Manager) finishJoins(now time.Duration) {
	for _, k := range slices.Clone(l.shards) {
		if !k.joining || k.state != Waiting || now < k.freeAt {
			continue
		}
		p := k.parent
		switch p.state {
		case Owned:
		case Waiting:
			if now < p.freeAt {
				continue
			}
		default:
			continue // an order with the old list of keys is on its way
		}
		l.shards = slices.DeleteFunc(l.shards, func(s *shard) bool { return s == k })
		delete(l.byRef, k.ref)
		p.except = slices.DeleteFunc(slices.Clone(p.except), func(key string) bool { return key == k.ref.Key })
		l.joined = append(l.joined, k.ref)
		if p.state == Owned {
			l.regrant(p)
		}
	}
}

// TakeJoinedKeys returns the keys that were joined since the last call.
func (l *Manager) TakeJoinedKeys() []topology.ShardRef {
	j := l.joined
	l.joined = nil
	return j
}
