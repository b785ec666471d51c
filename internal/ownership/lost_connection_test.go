package ownership_test

import (
	"testing"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Guards against a replaced leader that, after the connection to a server was lost,
// grants another of the server's key ranges without a later confirmation. The server
// may have started again and forgotten the fences of the later leader, which may have
// moved those keys.
func TestLostConnectionStopsGrantsOfAllRangesOfServer(t *testing.T) {
	var fence int64
	keyMap := keymap.Map{{From: 0, To: 99, Server: "c"}, {From: 100, To: 199, Server: "b"}, {From: 200, To: keymap.KeyCount - 1, Server: "c"}}
	m := ownership.New("booking", settings, keyMap, func() int64 { fence++; return fence }, 0)
	m.SetServers(map[topology.ServerID]ownership.Server{"b": {Address: "b", Incarnation: 1}, "c": {Address: "c", Incarnation: 1}})

	const ms = time.Millisecond
	var lost bool
	var lostAt, confirmedAt time.Duration
	granted := make(map[int]bool) // first keys of the ranges granted to c after the loss
	for now := time.Duration(0); now < 2400*ms; now += step {
		if now == 100*ms || now == 2*time.Second {
			confirmedAt = now
		}
		for _, o := range m.Step(now, confirmedAt) {
			switch {
			case o.Server == "b":
				m.HandleResult(o, ownership.Done, "", now)
			case now == 0 && o.From == 0:
				// The renewals of the two ranges are not due at the same time.
				m.HandleResult(o, ownership.Unsent, "", now)
			case !lost && now > 500*ms && o.From == 200:
				m.HandleResult(o, ownership.Unsent, "", now)
				lost, lostAt = true, now
			case lost && confirmedAt < lostAt:
				t.Errorf("at %v: %v of the range from key %d; the connection was lost at %v, the last confirmation was at %v", now, o.Kind, o.From, lostAt, confirmedAt)
				m.HandleResult(o, ownership.Done, "", now)
			default:
				granted[o.From] = lost
				m.HandleResult(o, ownership.Done, "", now)
			}
		}
	}
	if !lost || !granted[0] || !granted[200] {
		t.Errorf("connection lost: %v, granted to c after the confirmation: %v; want both ranges", lost, granted)
	}
}

// Guards against a replaced leader that sends a grant of another key range after the
// connection to a server was lost, because it made both orders at the same time. The
// server may have started again and forgotten the fences of the later leader.
func TestGrantsOfServerWaitForEachOther(t *testing.T) {
	var fence int64
	keyMap := keymap.Map{{From: 0, To: 99, Server: "c"}, {From: 100, To: 199, Server: "b"}, {From: 200, To: keymap.KeyCount - 1, Server: "c"}}
	m := ownership.New("booking", settings, keyMap, func() int64 { fence++; return fence }, 0)
	m.SetServers(map[topology.ServerID]ownership.Server{"b": {Address: "b", Incarnation: 1}, "c": {Address: "c", Incarnation: 1}})
	grants := make(map[topology.ServerID][]ownership.Order)
	record := func(orders []ownership.Order) {
		for _, o := range orders {
			grants[o.Server] = append(grants[o.Server], o)
		}
	}
	record(m.Step(0, 0))
	if len(grants["b"]) != 1 || len(grants["c"]) != 1 {
		t.Fatalf("%d grants to b and %d to c at the same time; want one each", len(grants["b"]), len(grants["c"]))
	}
	m.HandleResult(grants["c"][0], ownership.Done, "", 0)
	record(m.Step(0, 0))
	if len(grants["c"]) != 2 || grants["c"][1].From == grants["c"][0].From {
		t.Errorf("grants to c: %+v; want one of each range", grants["c"])
	}
	m.HandleResult(grants["c"][1], ownership.Unsent, "", 0)
	record(m.Step(time.Second, 0))
	if len(grants["c"]) != 2 {
		t.Errorf("a grant to c without a later confirmation: %+v", grants["c"][2:])
	}
}
