package control

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hotkey"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// maxHotKeys limits the number of keys that are passed to the placement policy.
const maxHotKeys = 64

// loadMeter measures the load of shards and servers from completed requests.
// Its lock may be acquired while Controller.mu is held.
type loadMeter struct {
	mu      sync.Mutex
	shards  map[topology.ShardRef]float64 // requests since the last takeSums
	servers map[topology.ServerID]*serverUsage
	keys    *hotkey.Sketch[topology.ShardRef]
}

// serverUsage holds the number of completed requests of one server and the sum
// of their service times.
type serverUsage struct {
	requests int
	busy     time.Duration
}

func newLoadMeter() *loadMeter {
	return &loadMeter{
		shards: make(map[topology.ShardRef]float64), servers: make(map[topology.ServerID]*serverUsage),
		keys: hotkey.New[topology.ShardRef](hotkey.DefaultCounters, hotkey.DefaultHalfLife),
	}
}

// add counts a completed request. unit is what has an owner of its own: the
// shard of the key, or the key if it is split off.
func (m *loadMeter) add(unit topology.ShardRef, key string, server topology.ServerID, busy time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[unit]++
	unit.Key = key
	m.keys.Add(unit, 1)
	u, ok := m.servers[server]
	if !ok {
		u = &serverUsage{}
		m.servers[server] = u
	}
	u.requests++
	u.busy += busy
}

// hotKeys returns the most requested keys with their request rates per second.
// It must be called once per interval.
func (m *loadMeter) hotKeys(interval time.Duration) []hotkey.Entry[topology.ShardRef] {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys.Advance(interval)
	return m.keys.Top(maxHotKeys)
}

// takeSums returns the sums since the last call and resets them.
func (m *loadMeter) takeSums() (map[topology.ShardRef]float64, map[topology.ServerID]*serverUsage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	shards, servers := m.shards, m.servers
	m.shards, m.servers = make(map[topology.ShardRef]float64), make(map[topology.ServerID]*serverUsage)
	return shards, servers
}
