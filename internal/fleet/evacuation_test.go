package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// draining returns the servers that count as draining.
func draining(d *fleet.Directory) []topology.ServerID {
	var ids []topology.ServerID
	d.Servers(0, func(s fleet.Server) {
		if s.Draining {
			ids = append(ids, s.ID)
		}
	})
	return ids
}

// Guards against requests and keys for servers of an evacuated data centre, against a
// server that registers there during the evacuation, and against servers that stay unused
// after its end.
func TestServersOfEvacuatedDataCentre(t *testing.T) {
	g := NewWithT(t)
	d := fleet.NewDirectory()
	d.Set(fleet.Server{ID: "a-1", DataCentre: "a"})
	d.Set(fleet.Server{ID: "b-1", DataCentre: "b"})
	d.Evacuations().Apply([]fleet.EvacuationChange{{DataCentre: "a"}, {DataCentre: "c"}})
	d.Set(fleet.Server{ID: "a-2", DataCentre: "a"})
	g.Expect(draining(d)).To(ConsistOf(topology.ServerID("a-1"), topology.ServerID("a-2")))
	s, _ := d.Get("a-1", 0)
	g.Expect(s.Draining).To(BeTrue())
	g.Expect(d.Evacuations().List(0)).To(Equal([]topology.DataCentre{"a", "c"}))

	d.Evacuations().Apply([]fleet.EvacuationChange{{DataCentre: "a", Ended: true}, {DataCentre: "b"}, {DataCentre: "b", Ended: true}})
	g.Expect(draining(d)).To(BeEmpty())
}

// Guards against an evacuation that ended while its history was dropped, and that would
// last for good.
func TestEvacuationMissingFromFullRead(t *testing.T) {
	g := NewWithT(t)
	var e fleet.Evacuations
	e.Apply([]fleet.EvacuationChange{{DataCentre: "a"}, {DataCentre: "b"}})
	e.Replace([]fleet.EvacuationChange{{DataCentre: "b"}}, false, 0)
	g.Expect(e.List(0)).To(Equal([]topology.DataCentre{"b"}))
}

// Guards against requests to an evacuated data centre after the store was restored from a
// copy without the evacuation, until the operator has written it again; and against an
// evacuation that ends although it was written again.
func TestEvacuationThatRestoredStoreLacks(t *testing.T) {
	g := NewWithT(t)
	var e fleet.Evacuations
	e.Apply([]fleet.EvacuationChange{{DataCentre: "a"}, {DataCentre: "b"}})
	e.Replace(nil, true, 10*second)
	g.Expect(e.List(14 * second)).To(Equal([]topology.DataCentre{"a", "b"}))
	e.Apply([]fleet.EvacuationChange{{DataCentre: "b"}})
	g.Expect(e.List(16 * second)).To(Equal([]topology.DataCentre{"b"}))
	g.Expect(e.Includes("b", 60*second)).To(BeTrue())
}
