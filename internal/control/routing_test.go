package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// cellA returns a controller of cell b, a setter of cell a's list, a request
// whose partition cell a leads, and its route.
func cellA(g *WithT) (c *Controller, list func(...topology.HostID), req *request.Request, route func() string) {
	c = New(Options{Self: topology.Member{Host: "b1"}, DataCentre: "b", Cell: "b"})
	c.config = &config.Document{
		Services:  map[topology.Service]config.Service{"booking": {Shards: 1, DataCentres: []topology.DataCentre{"a"}}},
		Customers: map[topology.Customer]config.Customer{"pewright": {}},
	}
	c.addresses = map[topology.HostID]string{"a1": "a1:1", "a2": "a2:1", "a3": "a3:1"}
	list = func(hosts ...topology.HostID) {
		l := state.MemberList{}
		l.Cell, l.DataCentre = "a", "a"
		for _, h := range hosts {
			l.Members = append(l.Members, topology.Member{Host: h})
		}
		c.lists["a"] = []state.MemberList{l}
	}
	req = &request.Request{Service: "booking", Customer: "pewright", Key: "job"}
	return c, list, req, func() string {
		r, err := c.Route(req)
		g.Expect(err).NotTo(HaveOccurred())
		return r.Address
	}
}

// Guards against requests that are sent to a frozen leader of another cell
// after its cell has removed it from the list: it never refuses them.
func TestRouteForgetsRemovedLeader(t *testing.T) {
	g := NewWithT(t)
	c, list, req, route := cellA(g)
	for _, leader := range []string{"a1:1", "a2:1", "a3:1"} {
		list("a1", "a2", "a3")
		c.Learn(req, leader)
		g.Expect(route()).To(Equal(leader), "a member that answered keeps the route")
	}
	list("a1", "a2")
	g.Expect(route()).NotTo(Equal("a3:1"))
}

// Guards against requests that never leave a dead member of another cell's
// list, which stays on the list while the log is down.
func TestRouteTriesAllMembers(t *testing.T) {
	g := NewWithT(t)
	c, list, req, route := cellA(g)
	list("a1", "a2", "a3")
	tried := make(map[string]bool)
	for range 3 {
		tried[route()] = true
		c.Learn(req, "")
	}
	g.Expect(tried).To(HaveLen(3))
}

// Guards against a second cell of a data centre that takes over partitions:
// leaders of different cells do not exclude each other.
func TestOtherCellsLeadNothing(t *testing.T) {
	g := NewWithT(t)
	c, list, _, route := cellA(g)
	list("a1")
	before := route()
	other := state.MemberList{}
	other.Cell, other.DataCentre = "a-0", "a"
	other.Members = []topology.Member{{Host: "a2"}}
	c.lists["a"] = append([]state.MemberList{other}, c.lists["a"]...)
	g.Expect(route()).To(Equal(before))

	c.lists["a"] = []state.MemberList{other}
	_, ok := cellOf(c.lists["a"], "a")
	g.Expect(ok).To(BeFalse())
}

// Guards against a lagging list of hosts that replaces the address which a
// restarted host has named, and against one that changes and is ignored.
func TestAddresses(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Self: topology.Member{Host: "b1"}, DataCentre: "b", Cell: "b"})
	entry := func(address string) []hostlist.Host {
		return []hostlist.Host{{ID: "h", Role: hostlist.RoleEntry, Address: address}}
	}
	c.applyHosts(entry("old:1"))
	c.Seen("h", "new:1")
	c.applyHosts(entry("old:1"))
	g.Expect(c.addresses).To(HaveKeyWithValue(topology.HostID("h"), "new:1"))
	c.applyHosts(entry("newer:1"))
	g.Expect(c.addresses).To(HaveKeyWithValue(topology.HostID("h"), "newer:1"))
}
