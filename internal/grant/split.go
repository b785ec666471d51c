package grant

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// A hot key that is split off its shard is a unit of ownership of its own. The
// grant of the shard lists the keys that it does not cover. The key is granted
// only after the owner of the shard has acknowledged such a grant.

// Unit returns the unit of ownership of a key of a shard: the key itself if it
// is split off, or the shard.
func (m *Manager) Unit(shard topology.ShardRef, key string) topology.ShardRef {
	if s, ok := m.byRef[shard]; ok && len(s.splitKeys) > 0 && slices.Contains(s.splitKeys, key) {
		shard.Key = key
	}
	return shard
}

// Split splits a key off its shard and assigns it to a server, which may be the
// owner of the shard.
func (m *Manager) Split(key topology.ShardRef, to topology.ServerID, now time.Duration) error {
	parent, ok := m.byRef[wholeShard(key)]
	if !ok || key.Key == "" || m.byRef[key] != nil {
		return ErrUnknownShard
	}
	if parent.state != Owned {
		return ErrNotOwned
	}
	if target, ok := m.byID[to]; !ok || !target.acceptsShards(now) {
		return ErrInvalidTarget
	}
	newKey := m.addKey(key, parent, now, now)
	newKey.moveTarget = to
	m.regrant(parent)
	newKey.splitFence = parent.fence
	return nil
}

// Join returns a split-off key to its shard, after the owner of the key has
// acknowledged a revoke.
func (m *Manager) Join(key topology.ShardRef, now time.Duration) error {
	k, ok := m.byRef[key]
	if !ok || k.parent == nil {
		return ErrUnknownShard
	}
	if k.state != Owned || k.parent.state != Owned {
		return ErrNotOwned
	}
	k.joining = true
	m.revoke(k, "", now)
	return nil
}

// wholeShard returns the shard of a key.
func wholeShard(key topology.ShardRef) topology.ShardRef {
	key.Key = ""
	return key
}

// addKey adds a split-off key, with its shard as the parent.
func (m *Manager) addKey(key topology.ShardRef, parent *shard, freeAt, now time.Duration) *shard {
	k := m.addShard(key, freeAt, now)
	k.parent = parent
	if parent != nil && !slices.Contains(parent.splitKeys, key.Key) {
		parent.splitKeys = append(slices.Clone(parent.splitKeys), key.Key)
	}
	return k
}

// regrant grants a shard to its owner again, with a new fence and the current
// list of keys that it does not cover.
func (m *Manager) regrant(s *shard) {
	m.setState(s, Granting, m.byID[s.server])
	s.fence, s.nextOrderAt, s.extendOnly = m.nextFence(), 0, false
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

// finishJoins removes joining keys whose owner has given them up, and grants
// their shards again so that they cover the keys.
func (m *Manager) finishJoins(now time.Duration) {
	for _, k := range slices.Clone(m.shards) {
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
			continue // an order with the old list of keys may be in the network
		}
		m.shards = slices.DeleteFunc(m.shards, func(s *shard) bool { return s == k })
		delete(m.byRef, k.ref)
		p.splitKeys = slices.DeleteFunc(slices.Clone(p.splitKeys), func(key string) bool { return key == k.ref.Key })
		m.joinedKeys = append(m.joinedKeys, k.ref)
		if p.state == Owned {
			m.regrant(p)
		}
	}
}

// TakeJoinedKeys returns the keys that were joined since the last call.
func (m *Manager) TakeJoinedKeys() []topology.ShardRef {
	keys := m.joinedKeys
	m.joinedKeys = nil
	return keys
}
