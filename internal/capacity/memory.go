package capacity

import (
	"context"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// idMemory measures ids with an outcome, without and with a stored answer.
func idMemory() ([]*Series, error) {
	const answer = 200
	var all []*Series
	for _, body := range []int{0, answer} {
		name := "request ids without answers"
		if body > 0 {
			name = "request ids with answers of 200 bytes"
		}
		s := &Series{Name: name, Size: "ids", Unit: "bytes"}
		for _, n := range []int{10_000, 20_000, 40_000, 80_000} {
			before, _ := memory()
			m := dedup.New(dedup.Options{Clock: clock.NewMonotonic()}, time.Time{})
			for range n {
				if err := remember(m, body); err != nil {
					return nil, err
				}
			}
			after, _ := memory()
			s.add(float64(n), after-before)
			runtime.KeepAlive(m)
		}
		all = append(all, s)
	}
	return all, nil
}

func remember(m *dedup.Table, body int) error {
	u, err := uuid.NewV7()
	if err != nil {
		return eris.Wrap(err, "request id")
	}
	id, err := request.ParseID(u.String())
	if err != nil {
		return err
	}
	req := &request.Request{Service: "booking", Customer: "pewright", Key: "k"}
	claim, refused := m.Claim(req, id, req.Digest(nil))
	if refused != nil {
		return refused
	}
	claim.Permit.Finish(dedup.Outcome{
		Verdict: verdict.Ran, Status: 200, ContentType: "text/plain", Server: "booking-1", Body: make([]byte, body), BodyStored: body > 0,
	})
	return nil
}

// handOvers measures the hand-over of ids with answers of 200 bytes over a
// socket. CPU time is that of both sides, with encoding and decoding.
func handOvers() ([]*Series, error) {
	const answer = 200
	took := &Series{Name: "hand-over of request ids", Size: "ids", Unit: "ms"}
	used := &Series{Name: "hand-over of request ids", Size: "ids", Unit: "CPU ms of both sides"}
	sent := &Series{Name: "hand-over of request ids", Size: "ids", Unit: "bytes"}
	for _, n := range []int{10_000, 20_000, 40_000, 80_000} {
		m := dedup.New(dedup.Options{Clock: clock.NewMonotonic()}, time.Time{})
		for range n {
			if err := remember(m, answer); err != nil {
				return nil, err
			}
		}
		if err := handOver(m, n, took, used, sent); err != nil {
			return nil, err
		}
	}
	return []*Series{took, used, sent}, nil
}

func handOver(m *dedup.Table, ids int, took, used, sent *Series) error {
	var w wire
	l, err := listen(&w)
	if err != nil {
		return err
	}
	server := peer.NewGRPCServer(peer.NewServer(nil).WithControl(quiet{}))
	defer server.Stop()
	go func() { _ = server.Serve(l) }()
	client, err := peer.Dial(l.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	if _, err := client.Support(context.Background(), election.SupportRequest{}); err != nil {
		return err
	}
	start, before, bytes := time.Now(), cpu(), w.total()
	accepted, err := client.HandOver(context.Background(), peer.HandOver{Partition: "booking.kgn-a.0", IDs: m.Export()})
	if err != nil {
		return err
	}
	if !accepted {
		return eris.New("hand-over was not accepted")
	}
	took.add(float64(ids), float64(time.Since(start).Microseconds())/1e3)
	used.add(float64(ids), float64((cpu()-before).Microseconds())/1e3)
	sent.add(float64(ids), w.total()-bytes)
	return nil
}

// quiet answers support requests without a state and accepts hand-overs.
type quiet struct{}

// RecordAddress implements peer.Control. Addresses are fixed here.
func (quiet) RecordAddress(topology.HostID, string) {}

// Support implements peer.Control.
func (quiet) Support(election.SupportRequest) election.SupportReply { return election.SupportReply{} }

// Pledge implements peer.Control.
func (quiet) Pledge(election.PledgeRequest) election.PledgeReply { return election.PledgeReply{} }

// HandOver implements peer.Control and builds the memory of the next leader.
func (quiet) HandOver(h peer.HandOver) bool {
	_, ok := dedup.Import(dedup.Options{Clock: clock.NewMonotonic()}, h.IDs)
	return ok
}

// connections measures both ends of idle gRPC connections.
func connections() ([]*Series, error) {
	const idle = 2 * time.Second
	held := &Series{Name: "gRPC connections, both ends", Size: "connections", Unit: "bytes of heap and stacks"}
	sent := &Series{Name: "idle gRPC connections", Size: "connections", Unit: "bytes per second"}
	for _, n := range []int{50, 100, 200, 400} {
		bytes, rate, err := connectionCost(n, idle)
		if err != nil {
			return nil, err
		}
		held.add(float64(n), bytes)
		sent.add(float64(n), rate)
	}
	return []*Series{held, sent}, nil
}

func connectionCost(n int, idle time.Duration) (bytes, rate float64, err error) {
	var w wire
	l, err := listen(&w)
	if err != nil {
		return 0, 0, err
	}
	server := peer.NewGRPCServer(peer.NewServer(nil).WithControl(quiet{}))
	defer server.Stop()
	go func() { _ = server.Serve(l) }()
	heap, stacks := memory()
	clients := make([]*peer.Client, n)
	for i := range clients {
		if clients[i], err = peer.Dial(l.Addr().String()); err != nil {
			return 0, 0, err
		}
		defer func() { _ = clients[i].Close() }()
		if _, err := clients[i].Support(context.Background(), election.SupportRequest{}); err != nil {
			return 0, 0, err
		}
	}
	time.Sleep(200 * time.Millisecond) // settings frames and the first pings
	heapAfter, stacksAfter := memory()
	before := w.total()
	time.Sleep(idle)
	return heapAfter - heap + stacksAfter - stacks, (w.total() - before) / idle.Seconds(), nil
}
