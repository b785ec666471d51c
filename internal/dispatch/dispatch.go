// Package dispatch passes a request to the host that leads its partition.
package dispatch

import (
	"context"
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Route says where a request goes.
type Route struct {
	// Local is true if this host leads the partition.
	Local bool
	// Address is the peer address of the leader host otherwise.
	Address string
}

// Routes finds the leader of a request's partition. Errors are of type
// *verdict.Error with verdict NotRun.
type Routes interface {
	Route(req *request.Request) (Route, error)
}

// Dispatcher implements request.Doer for requests of callers.
type Dispatcher struct {
	self   topology.HostID
	routes Routes
	local  request.Doer

	mu    sync.Mutex
	peers map[string]*peer.Client
}

// New returns a Dispatcher that executes local requests with local.
func New(self topology.HostID, routes Routes, local request.Doer) *Dispatcher {
	return &Dispatcher{self: self, routes: routes, local: local, peers: make(map[string]*peer.Client)}
}

// Do implements request.Doer.
func (d *Dispatcher) Do(ctx context.Context, req *request.Request) (*request.Answer, error) {
	route, err := d.routes.Route(req)
	if err != nil {
		return nil, err
	}
	if route.Local {
		return d.local.Do(ctx, req)
	}
	c, err := d.client(route.Address)
	if err != nil {
		return nil, verdict.New(verdict.CodeNoLeader, verdict.NotRun, "leader host %s: %v", route.Address, err)
	}
	return c.Do(ctx, req)
}

func (d *Dispatcher) client(address string) (*peer.Client, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.peers[address]; ok {
		return c, nil
	}
	c, err := peer.Dial(address)
	if err != nil {
		return nil, err
	}
	d.peers[address] = c
	return c, nil
}
