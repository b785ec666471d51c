package gateway

import (
	"context"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// HostWithoutListeners is a host that accepts no requests, for tests in virtual time.
type HostWithoutListeners struct{ g *gateway }

// StartWithoutListeners starts a host on a link of a test. It ends with the context.
func StartWithoutListeners(ctx context.Context, settings Settings, link *hostlink.Link, store Store, grants GrantClient) (*HostWithoutListeners, error) {
	g, err := newGatewayOn(clock.NewMonotonic(), link, settings, HTTPNames{}, store, grants, NewMetrics())
	if err != nil {
		return nil, err
	}
	g.startLoops(ctx, ctx)
	return &HostWithoutListeners{g}, nil
}

// Name returns the name of the host.
func (h *HostWithoutListeners) Name() topology.HostID { return h.g.settings.Host }

// Leads reports whether the host leads.
func (h *HostWithoutListeners) Leads() bool { return h.g.leaderClient.state().leads }

// ConfigVersion returns the version of the configuration in force.
func (h *HostWithoutListeners) ConfigVersion() int64 { return h.g.watcher.configVersion() }

// Servers returns the list of servers of the host.
func (h *HostWithoutListeners) Servers() []fleet.Server { return h.g.watcher.servers() }

// Owner returns the server to which the host would send a request for a key without its
// leader; empty if it knows none.
func (h *HostWithoutListeners) Owner(service topology.Service, key int) topology.ServerID {
	s := h.g.leaderClient.fallback
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc := s.services[hash32(string(service))]; svc != nil && svc.keyMap != nil {
		return svc.keyMap.Server(key)
	}
	return ""
}

// ListUsable reports whether the host may send requests by its own list of servers.
func (h *HostWithoutListeners) ListUsable() bool { return h.g.watcher.listUsable() }
