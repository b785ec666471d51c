package ownership_test

import (
	"testing"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// newLeader returns a Manager whose stored key map names server a for all keys.
func newLeader(earlierUntil time.Duration) *ownership.Manager {
	var fence int64
	keyMap := keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "a"}}
	return ownership.New("booking", settings, keyMap, func() int64 { fence++; return fence }, earlierUntil)
}

func registrations(incarnationOfA int64) map[topology.ServerID]ownership.Server {
	return map[topology.ServerID]ownership.Server{"a": {Address: "a", Incarnation: incarnationOfA}, "b": {Address: "b", Incarnation: 1}}
}

// Guards against keys that are granted to another server while the new incarnation of
// a server still owns them: the list of servers shows a restart later than the calls,
// so grants may have reached the new incarnation before the list names it.
func TestGrantToNewIncarnationBeforeItsRegistration(t *testing.T) {
	m := newLeader(-time.Hour)
	m.SetServers(registrations(1))
	for _, o := range m.Step(0, 0) {
		m.HandleResult(o, ownership.Done, "", 0)
	}
	// Server a starts again. The leader learns of the lost connection, then renews
	// with a newer confirmation.
	for _, o := range m.Step(650*time.Millisecond, 650*time.Millisecond) {
		m.HandleResult(o, ownership.Unsent, "", 650*time.Millisecond)
	}
	renewed := 850 * time.Millisecond
	for _, o := range m.Step(renewed, renewed) {
		m.HandleResult(o, ownership.Done, "", renewed)
	}
	m.SetServers(registrations(2))
	m.Move(0, keymap.KeyCount-1, "b")
	released := false
	for now := 900 * time.Millisecond; now < renewed+settings.GrantDuration; now += step {
		for _, o := range m.Step(now, now) {
			released = released || o.Kind == ownership.Release
			m.HandleResult(o, ownership.Done, "", now)
		}
		if _, changed := m.NextKeyMap(); changed {
			if !released {
				t.Errorf("at %v the keys are free; server a got a grant at %v and has not released them", now, renewed)
			}
			return
		}
	}
	t.Error("the keys were not moved")
}

// Guards against keys that are granted to another server while an earlier leader may
// grant them to a new incarnation of their server, which started at another address.
func TestServerGoneWhileEarlierLeaderMayAct(t *testing.T) {
	earlierUntil := 3 * time.Second
	m := newLeader(earlierUntil)
	m.SetServers(registrations(1))
	for _, o := range m.Step(0, 0) {
		m.HandleResult(o, ownership.ServerGone, "", 0)
	}
	m.Move(0, keymap.KeyCount-1, "b")
	for now := time.Duration(0); now < earlierUntil; now += step {
		for _, o := range m.Step(now, now) {
			m.HandleResult(o, ownership.ServerGone, "", now)
		}
		if _, changed := m.NextKeyMap(); changed {
			t.Fatalf("at %v the keys are free; an earlier leader may grant them to server a until %v", now, earlierUntil)
		}
	}
}

// Guards against a new incarnation of a server that gets keys with the fence of the
// earlier one.
func TestGrantAfterLostConnectionHasHigherFence(t *testing.T) {
	m := newLeader(-time.Hour)
	m.SetServers(registrations(1))
	var fence int64
	for _, o := range m.Step(0, 0) {
		fence = o.Fence
		m.HandleResult(o, ownership.Done, "", 0)
	}
	for _, o := range m.Step(650*time.Millisecond, 0) {
		m.HandleResult(o, ownership.Unsent, "", 650*time.Millisecond)
	}
	orders := m.Step(850*time.Millisecond, 700*time.Millisecond)
	if len(orders) != 1 || orders[0].Fence <= fence {
		t.Errorf("orders after the connection was lost: %+v; want a grant with a fence above %d", orders, fence)
	}
}

// Guards against keys that are granted to another server while their server owns them,
// because an older list of servers names its earlier incarnation for a moment.
func TestIncarnationThatGoesBack(t *testing.T) {
	m := newLeader(-time.Hour)
	m.SetServers(registrations(2))
	for _, o := range m.Step(0, 0) {
		m.HandleResult(o, ownership.Done, "", 0)
	}
	m.SetServers(registrations(1))
	m.SetServers(registrations(2))
	m.Move(0, keymap.KeyCount-1, "b")
	m.Step(step, step)
	if _, changed := m.NextKeyMap(); changed {
		t.Error("the keys are free; server a got a grant at 0 and has not released them")
	}
}
