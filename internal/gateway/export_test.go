package gateway

import (
	"context"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
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

// Leads reports whether the host leads.
func (h *HostWithoutListeners) Leads() bool { return h.g.leaderClient.state().leads }

// ConfigVersion returns the version of the configuration in force.
func (h *HostWithoutListeners) ConfigVersion() int64 { return h.g.watcher.configVersion() }

// Servers returns the list of servers of the host.
func (h *HostWithoutListeners) Servers() []fleet.Server { return h.g.watcher.servers() }
