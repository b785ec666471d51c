package statesync_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/statesync"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// host is a copy of the state of a leader.
type host struct {
	cursor  statesync.Cursor
	servers map[topology.ServerID]fleet.Server
	owners  map[topology.Service]keymap.Map
}

func (h *host) digest() uint64 {
	var list []fleet.Server
	for _, s := range h.servers {
		list = append(list, s)
	}
	return statesync.Digest(list, h.owners)
}

func (h *host) apply(after uint64, p statesync.Page) {
	unlisted, ok := h.cursor.Advance(after, p)
	if !ok {
		return
	}
	for _, c := range p.Changes {
		switch {
		case c.Range != nil:
			m := h.owners[c.Service]
			if m == nil {
				m = keymap.Empty()
			}
			h.owners[c.Service] = statesync.Assign(m, *c.Range)
		case c.Removed:
			delete(h.servers, c.Server.ID)
		default:
			h.servers[c.Server.ID] = *c.Server
		}
	}
	for id := range h.servers {
		if unlisted != nil && unlisted(id) {
			delete(h.servers, id)
		}
	}
}

// Guards against hosts that keep servers or owners that their leader no longer has, in any
// order of changes, lost and repeated pages, and changes of the leader.
func TestCopiesFollowTheLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		log := statesync.NewLog()
		h := &host{servers: make(map[topology.ServerID]fleet.Server), owners: make(map[topology.Service]keymap.Map)}
		servers := make(map[int]fleet.Server)
		owners := keymap.Empty()
		set := func() {
			var list []fleet.Server
			for _, s := range servers {
				list = append(list, s)
			}
			log.SetServers(list)
			var ranges []statesync.Range
			for _, r := range owners {
				ranges = append(ranges, statesync.Range{From: r.From, To: r.To, Server: r.Server})
			}
			log.SetOwners("svc", ranges)
		}
		type reply struct {
			after uint64
			page  statesync.Page
		}
		var earlier []reply
		ask := func() statesync.Page {
			after := h.cursor.After()
			p := log.Page(after, h.digest(), rapid.IntRange(1, 300).Draw(t, "bytes"))
			earlier = append(earlier, reply{after, p})
			h.apply(after, p)
			return p
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(0, 5).Draw(t, "server")
				servers[n] = fleet.Server{ID: topology.ServerID(fmt.Sprint(n)), Slots: rapid.IntRange(1, 2).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining")}
			case 1:
				delete(servers, rapid.IntRange(0, 5).Draw(t, "server"))
			case 2:
				from := rapid.IntRange(0, keymap.KeyCount-1).Draw(t, "from")
				owners = statesync.Assign(owners, statesync.Range{From: from, To: rapid.IntRange(from, keymap.KeyCount-1).Draw(t, "to"), Server: topology.ServerID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "owner"))})
			case 3:
				log = statesync.NewLog() // another leader
				h.cursor.Reset()
				earlier = nil
			case 4:
				if len(earlier) > 0 {
					r := rapid.SampledFrom(earlier).Draw(t, "late page")
					if r.after != 0 { // a first page is told apart by its request, see gateway
						h.apply(r.after, r.page)
					}
				}
			default:
				set()
				ask()
			}
		}
		set()
		for range 10_000 {
			if !ask().More {
				break
			}
		}
		ask()
		g.Expect(log.Page(0, h.digest(), 1).Same).To(BeTrue())
		var list []fleet.Server
		for _, s := range servers {
			list = append(list, s)
		}
		g.Expect(h.servers).To(HaveLen(len(servers)))
		for _, s := range list {
			g.Expect(h.servers[s.ID]).To(Equal(s))
		}
		for range 20 {
			key := rapid.IntRange(0, keymap.KeyCount-1).Draw(t, "key")
			if m := h.owners["svc"]; m != nil {
				g.Expect(m.Server(key)).To(Equal(owners.Server(key)))
			} else {
				g.Expect(owners.Server(key)).To(BeEmpty())
			}
		}
	})
}

// Guards against renewals of 200 registrations every 0.87 s that are passed to every host:
// only what routing uses is.
func TestRenewalsAreNoChanges(t *testing.T) {
	g := NewWithT(t)
	log := statesync.NewLog()
	server := fleet.Server{ID: "s", Slots: 4, Sequence: 1, WarmupLeft: 3 * time.Second}
	log.SetServers([]fleet.Server{server})
	number := log.Page(0, 0, 1000).Next
	server.Sequence, server.WarmupLeft = 2, 2*time.Second
	log.SetServers([]fleet.Server{server})
	g.Expect(log.Page(number, 0, 1000).Changes).To(BeEmpty())
	server.WarmupLeft = 0
	log.SetServers([]fleet.Server{server})
	g.Expect(log.Page(number, 0, 1000).Changes).To(HaveLen(1))
}
