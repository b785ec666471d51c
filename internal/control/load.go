package control

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// loadMeter measures the load of shards and servers from completed requests.
// Its lock is taken after Controller.mu.
type loadMeter struct {
	mu      sync.Mutex
	shards  map[topology.ShardRef]float64 // busy seconds since the last read
	servers map[topology.ServerID]*usage
}

// usage sums the requests of one server.
type usage struct {
	requests int
	busy     time.Duration
}

func newLoadMeter() *loadMeter {
	return &loadMeter{shards: make(map[topology.ShardRef]float64), servers: make(map[topology.ServerID]*usage)}
}

func (m *loadMeter) add(ref topology.ShardRef, server topology.ServerID, busy time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[ref]++
	u, ok := m.servers[server]
	if !ok {
		u = &usage{}
		m.servers[server] = u
	}
	u.requests++
	u.busy += busy
}

// read returns the sums since the last call and starts over.
func (m *loadMeter) read() (map[topology.ShardRef]float64, map[topology.ServerID]*usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	shards, servers := m.shards, m.servers
	m.shards, m.servers = make(map[topology.ShardRef]float64), make(map[topology.ServerID]*usage)
	return shards, servers
}
