package peer

import (
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Pool holds one control client per host. Control messages have connections of
// their own, so that a burst of large requests does not delay support.
type Pool struct {
	self    string
	mu      sync.Mutex
	clients map[topology.HostID]pooled
}

type pooled struct {
	address string
	client  *Client
}

// NewPool returns an empty Pool. Control messages name self as the address of
// this host.
func NewPool(self string) *Pool { return &Pool{self: self, clients: make(map[topology.HostID]pooled)} }

// Client returns the client of a host. A host that has a new address gets a
// new connection.
func (p *Pool) Client(host topology.HostID, address string) (*Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.clients[host]
	if ok && old.address == address {
		return old.client, nil
	}
	c, err := Dial(address)
	if err != nil {
		return nil, err
	}
	c.self = p.self
	if ok {
		_ = old.client.Close()
	}
	p.clients[host] = pooled{address: address, client: c}
	return c, nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		_ = c.client.Close()
	}
	clear(p.clients)
}
