package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Guards against keys that stay without owner because the server that they were released for
// is no longer registered.
func TestReleasedKeysWhoseNextServerIsGone(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	s := newScheduler(clock.NewMonotonic(), nil, func() bool { return true })
	fence := int64(0)
	s.addServices(fleet.NewConfig(1, nil, []fleet.Service{{Name: "booking", Keyed: true}}, fleet.Limits{}), nil,
		func(name topology.Service, _ keymap.Map) *ownership.Manager {
			keyMap := keymap.Map{{From: 0, To: last, Server: "owner"}}
			return ownership.New(name, newTiming(Bounds{}).grants, keyMap, func() int64 { fence++; return fence }, 0)
		})
	svc := s.services[hash32("booking")]
	owner := fleet.Server{ID: "owner", Service: "booking", Slots: 2, Address: "owner:1"}
	next := fleet.Server{ID: "next", Service: "booking", Slots: 2, Address: "next:1"}
	now := time.Minute
	step := func(servers ...fleet.Server) {
		now += placementInterval
		s.setServers(servers, now)
		svc.planMoves(now)
		for _, o := range svc.grants.Step(now, now) {
			svc.grants.HandleResult(o, ownership.Done, "", now)
		}
	}
	step(owner, next)
	svc.grants.Move(0, last, "next")
	step(owner, next) // the release
	step(owner)
	keyMap, changed := svc.grants.NextKeyMap()
	g.Expect(changed).To(BeTrue())
	g.Expect(keyMap[0].Server).To(Equal(topology.ServerID("owner")))
}
