package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func listed(d *fleet.Directory, now time.Duration) []topology.ServerID {
	var ids []topology.ServerID
	d.Servers(now, func(s fleet.Server) { ids = append(ids, s.ID) })
	return ids
}

const second = time.Second

// Guards against requests to a server whose registration was removed: a host
// that reads the list every few seconds must not take its own pause for an
// outage of the registry.
func TestRemovedAfterAPause(t *testing.T) {
	g := NewWithT(t)
	d := fleet.NewDirectory()
	d.ReadSucceeded(0)
	d.Set(fleet.Server{ID: "a"})
	d.ReadSucceeded(4 * second)
	d.Remove("a", 4*second)
	g.Expect(listed(d, 4*second)).To(BeEmpty())
}

// Guards against the loss of all servers after an outage in which their
// registrations lapsed: live servers come back within two seconds.
func TestLapsedInAnOutage(t *testing.T) {
	g := NewWithT(t)
	d := fleet.NewDirectory()
	d.ReadSucceeded(0)
	d.Set(fleet.Server{ID: "a"})
	d.Set(fleet.Server{ID: "b"})
	d.ReadFailed(1 * second)
	d.ReadFailed(4 * second)
	d.ReadSucceeded(5 * second)
	d.Replace(nil, 5*second)
	g.Expect(listed(d, 5*second)).To(ConsistOf(topology.ServerID("a"), topology.ServerID("b")))
	d.ReadSucceeded(6 * second)
	d.Set(fleet.Server{ID: "b"})
	g.Expect(listed(d, 7*second)).To(ConsistOf(topology.ServerID("b")), "what is still missing is gone")
}

// Guards against a short failure that keeps a removed server in use.
func TestRemovedAfterAShortFailure(t *testing.T) {
	g := NewWithT(t)
	d := fleet.NewDirectory()
	d.ReadSucceeded(0)
	d.Set(fleet.Server{ID: "a"})
	d.ReadFailed(500 * time.Millisecond)
	d.ReadSucceeded(second)
	d.Remove("a", second)
	g.Expect(listed(d, second)).To(BeEmpty())
}
