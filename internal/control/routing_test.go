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

// newRemoteRoute returns a controller of cell b, a function that sets the member
// list of cell a, a request whose partition cell a leads, and a function that
// returns the address to which the request is routed.
func newRemoteRoute(g *WithT) (c *Controller, setMembers func(...topology.HostID), req *request.Request, route func() string) {
	c = New(Options{Self: topology.Member{Host: "b1"}, DataCentre: "b", Cell: "b"})
	c.config = &config.Document{
		Services:  map[topology.Service]config.Service{"booking": {Shards: 1, DataCentres: []topology.DataCentre{"a"}}},
		Customers: map[topology.Customer]config.Customer{"pewright": {}},
	}
	c.addresses = map[topology.HostID]string{"a1": "a1:1", "a2": "a2:1", "a3": "a3:1"}
	setMembers = func(hosts ...topology.HostID) {
		l := state.MemberList{}
		l.Cell, l.DataCentre = "a", "a"
		for _, h := range hosts {
			l.Members = append(l.Members, topology.Member{Host: h})
		}
		c.memberLists["a"] = []state.MemberList{l}
	}
	req = &request.Request{Service: "booking", Customer: "pewright", Key: "job"}
	return c, setMembers, req, func() string {
		r, err := c.Route(req)
		g.Expect(err).NotTo(HaveOccurred())
		return r.Address
	}
}

// Guards against requests that are sent to a frozen leader of another cell after
// its cell has removed it from the member list. A frozen host refuses no requests.
func TestRouteDropsRemovedLeader(t *testing.T) {
	g := NewWithT(t)
	c, setMembers, req, route := newRemoteRoute(g)
	for _, leader := range []string{"a1:1", "a2:1", "a3:1"} {
		setMembers("a1", "a2", "a3")
		c.Learn(req, leader)
		g.Expect(route()).To(Equal(leader), "the cached leader is used while it is a member")
	}
	setMembers("a1", "a2")
	g.Expect(route()).NotTo(Equal("a3:1"))
}

// Guards against requests that are always sent to the same dead member of another
// cell. The member stays on the list while the log is down.
func TestRouteTriesAllMembers(t *testing.T) {
	g := NewWithT(t)
	c, setMembers, req, route := newRemoteRoute(g)
	setMembers("a1", "a2", "a3")
	tried := make(map[string]bool)
	for range 3 {
		tried[route()] = true
		c.Learn(req, "")
	}
	g.Expect(tried).To(HaveLen(3))
}

// Guards against a second cell of a data centre that leads its partitions as well.
// Elections of different cells are independent.
func TestOnlyCellNamedAfterDataCentreLeads(t *testing.T) {
	g := NewWithT(t)
	c, setMembers, _, route := newRemoteRoute(g)
	setMembers("a1")
	before := route()
	other := state.MemberList{}
	other.Cell, other.DataCentre = "a-0", "a"
	other.Members = []topology.Member{{Host: "a2"}}
	c.memberLists["a"] = append([]state.MemberList{other}, c.memberLists["a"]...)
	g.Expect(route()).To(Equal(before))

	c.memberLists["a"] = []state.MemberList{other}
	_, ok := leadingCellList(c.memberLists["a"], "a")
	g.Expect(ok).To(BeFalse())
}

// Guards against a lagging host list that replaces the address which a restarted
// host has reported, and against a changed entry of the list that is ignored.
func TestHostListAddresses(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Self: topology.Member{Host: "b1"}, DataCentre: "b", Cell: "b"})
	entry := func(address string) []hostlist.Host {
		return []hostlist.Host{{ID: "h", Role: hostlist.RoleEntry, Address: address}}
	}
	c.applyHosts(entry("old:1"))
	c.RecordAddress("h", "new:1")
	c.applyHosts(entry("old:1"))
	g.Expect(c.addresses).To(HaveKeyWithValue(topology.HostID("h"), "new:1"))
	c.applyHosts(entry("newer:1"))
	g.Expect(c.addresses).To(HaveKeyWithValue(topology.HostID("h"), "newer:1"))
}
