package peer

import (
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Pool holds one client per host for control messages. These have connections
// of their own, so that a burst of large requests does not delay support
// messages.
type Pool struct {
	selfAddress string
	mu          sync.Mutex
	clients     map[topology.HostID]pooledClient
}

type pooledClient struct {
	address string
	client  *Client
}

// NewPool returns an empty Pool. Its clients send selfAddress, the peer address
// of this host, with control messages.
func NewPool(selfAddress string) *Pool {
	return &Pool{selfAddress: selfAddress, clients: make(map[topology.HostID]pooledClient)}
}

// Client returns the client for a host. If the address of the host has changed,
// it closes the previous client and returns a new one.
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
	c.selfAddress = p.selfAddress
	if ok {
		_ = old.client.Close()
	}
	p.clients[host] = pooledClient{address: address, client: c}
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
