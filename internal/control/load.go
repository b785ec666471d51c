package control

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hotkey"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// topKeys is the number of keys that the placement policy looks at.
const topKeys = 64

// loadMeter measures the load of shards and servers from completed requests.
// Its lock is taken after Controller.mu.
type loadMeter struct {
	mu      sync.Mutex
	shards  map[topology.ShardRef]float64 // requests since the last read
	servers map[topology.ServerID]*usage
	keys    *hotkey.Sketch[topology.ShardRef]
}

// usage sums the requests of one server.
type usage struct {
	requests int
	busy     time.Duration
}

func newLoadMeter() *loadMeter {
	return &loadMeter{
		shards: make(map[topology.ShardRef]float64), servers: make(map[topology.ServerID]*usage),
		keys: hotkey.New[topology.ShardRef](hotkey.DefaultCounters, hotkey.DefaultHalfLife),
	}
}

// add counts a request for a key of a unit of ownership.
func (m *loadMeter) add(unit topology.ShardRef, key string, server topology.ServerID, busy time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[unit]++
	unit.Key = key
	m.keys.Add(unit, 1)
	u, ok := m.servers[server]
	if !ok {
		u = &usage{}
		m.servers[server] = u
	}
	u.requests++
	u.busy += busy
}

// hot returns the most requested keys with their rates per second. It must be
// called once per interval.
func (m *loadMeter) hot(interval time.Duration) []hotkey.Entry[topology.ShardRef] {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys.Advance(interval)
	return m.keys.Top(topKeys)
}

// read returns the sums since the last call and starts over.
func (m *loadMeter) read() (map[topology.ShardRef]float64, map[topology.ServerID]*usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	shards, servers := m.shards, m.servers
	m.shards, m.servers = make(map[topology.ShardRef]float64), make(map[topology.ServerID]*usage)
	return shards, servers
}
