package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	tick = 10 * time.Millisecond
	// warmUp lets leaders start and settle.
	warmUp = 3 * time.Second
	// span is the virtual time of a measurement. Messages follow each other
	// without a pause, so the CPU time leaves out the wake-up of idle threads.
	span = 60 * time.Second
	// cellSlots is the number of leaderships of a cell.
	cellSlots = 8
	fullCell  = 5
)

// cellHost is a election.Node behind a peer server.
type cellHost struct {
	mu   sync.Mutex
	node *election.Node
	cell *cell

	server  *grpc.Server
	clients map[topology.HostID]*peer.Client
}

// Pledge implements peer.Control. Pledges do not occur here.
func (h *cellHost) Pledge(election.PledgeRequest) election.PledgeReply { return election.PledgeReply{} }

// HandOver implements peer.Control. Hand-overs do not occur here.
func (h *cellHost) HandOver(peer.HandOver) bool { return false }

// RecordAddress implements peer.Control. Addresses are fixed here.
func (h *cellHost) RecordAddress(topology.HostID, string) {}

// Support implements peer.Control.
func (h *cellHost) Support(req election.SupportRequest) election.SupportReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.HandleSupport(req, h.cell.now)
}

// cell runs the support rounds of one cell in virtual time over sockets.
type cell struct {
	now   time.Duration
	hosts []*cellHost
	wire  wire
}

func member(i int) topology.Member {
	return topology.Member{Host: topology.HostID(fmt.Sprintf("entry-%04d", i)), Incarnation: 1_700_000_000_000_000_000}
}

func newNode(i, members, slots int) *election.Node {
	n := election.NewNode(election.Config{Self: member(i), Cell: "kgn-a.0001", Partitions: slots, Params: election.DefaultParams()})
	l := election.MemberList{Version: 1}
	for j := range members {
		l.Members = append(l.Members, member(j))
	}
	n.ApplyList(l, 0)
	return n
}

func newCell(members, slots int) (*cell, error) {
	c := &cell{}
	addresses := make([]string, members)
	for i := range members {
		h := &cellHost{cell: c, node: newNode(i, members, slots), clients: make(map[topology.HostID]*peer.Client)}
		c.hosts = append(c.hosts, h)
		l, err := listen(&c.wire)
		if err != nil {
			c.close()
			return nil, err
		}
		addresses[i] = l.Addr().String()
		h.server = peer.NewGRPCServer(peer.NewServer(nil).WithControl(h))
		go func() { _ = h.server.Serve(l) }()
	}
	for i, h := range c.hosts {
		for j, a := range addresses {
			if i == j {
				continue
			}
			client, err := peer.Dial(a)
			if err != nil {
				c.close()
				return nil, err
			}
			h.clients[member(j).Host] = client
		}
	}
	return c, nil
}

func (c *cell) close() {
	for _, h := range c.hosts {
		for _, client := range h.clients {
			_ = client.Close()
		}
		if h.server != nil {
			h.server.Stop()
		}
	}
}

func (c *cell) run(d time.Duration) error {
	for end := c.now + d; c.now < end; c.now += tick {
		for _, h := range c.hosts {
			h.mu.Lock()
			h.node.LogRead(c.now, c.now)
			a := h.node.Tick(c.now)
			h.mu.Unlock()
			for _, m := range a.Support {
				r, err := h.clients[m.To.Host].Support(context.Background(), m.Request)
				if err != nil {
					return err
				}
				h.mu.Lock()
				h.node.HandleSupportReply(r, c.now, c.now)
				h.mu.Unlock()
			}
		}
	}
	return nil
}

// supportCost returns the CPU time in microseconds and the bytes, sent and
// received, of one node in one second.
func supportCost(members, slots int) (micros, bytes float64, err error) {
	c, err := newCell(members, slots)
	if err != nil {
		return 0, 0, err
	}
	defer c.close()
	if err := c.run(warmUp); err != nil {
		return 0, 0, err
	}
	used, sent := cpu(), c.wire.total()
	if err := c.run(span); err != nil {
		return 0, 0, err
	}
	nodeSeconds := float64(members) * span.Seconds()
	micros = float64((cpu() - used).Nanoseconds()) / 1e3 / nodeSeconds
	return micros, 2 * (c.wire.total() - sent) / nodeSeconds, nil
}

func supportByMembers() ([]*Series, error) {
	return pair("support rounds, 8 slots", "members", "CPU us per node and second", "bytes per node and second", []int{2, 3, 4, 5}, func(n int) (float64, float64, error) {
		return supportCost(n, cellSlots)
	})
}

func supportBySlots() ([]*Series, error) {
	return pair("support rounds, 5 members", "slots of the cell", "CPU us per node and second", "bytes per node and second", []int{5, 10, 20, 40, 80}, func(n int) (float64, float64, error) {
		return supportCost(fullCell, n)
	})
}

// leadBySlots measures election.Node without messages of other hosts.
func leadBySlots() ([]*Series, error) {
	const ticks = 2000
	took := &Series{Name: "lead.Node, one member", Size: "slots", Unit: "ns per tick"}
	held := &Series{Name: "lead.Node, one member", Size: "slots", Unit: "bytes"}
	for _, n := range []int{100, 200, 400, 800} {
		before, _ := memory()
		node, now := newNode(0, 1, n), time.Duration(0)
		step := func() {
			now += tick
			node.LogRead(now, now)
			node.Tick(now)
		}
		for range 300 {
			step()
		}
		after, _ := memory()
		start := cpu()
		for range ticks {
			step()
		}
		took.add(float64(n), float64((cpu()-start).Nanoseconds())/ticks)
		held.add(float64(n), after-before)
		node.Status(now)
	}
	return []*Series{took, held}, nil
}
