package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
	"github.com/lycheerudder/lycheerudder/internal/logging"
)

// restoredStore reports that it was restored after it has run before.
type restoredStore struct {
	Store
	before func()
}

func (s *restoredStore) OwnersEnd(context.Context, Position, time.Duration) (Position, error) {
	s.before()
	return Position{}, ErrRestored
}

func leaderForTest(t *testing.T, store Store) *leadership {
	link, err := hostlink.Listen("127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = link.Close() })
	clk, active := clock.NewMonotonic(), newActiveBounds(typicalBounds())
	e := &elector{clk: clk, store: store, watcher: newStoreWatcher(clk, store, active, nil, func() {}), log: logging.For(logging.Lead), memberID: "edge-1#y", self: link.Address(), active: active}
	e.leaderClient = newLeaderClient(clk, link, 7, "dc", func() {}, func() bool { return true })
	e.leaderClient.active, e.leaderClient.endLeadership = active, func() {}
	e.followers = &followers{clk: clk, link: link, incarnation: 7, currentLeader: e.leaderClient.currentLeader}
	now := clk.Now()
	l := &leadership{
		elector: e, timing: active.timing(), storeWake: make(chan struct{}, 1), absentSince: make(map[string]time.Duration), ownersEnd: Position{Era: FirstEra, Offset: 9}, confirmedAt: now, storeSeenAt: now,
		lease: leaderlease.New(active.timing().lease, 7, e.self.String(), now, nil), cancel: func() { t.Error("the leader resigned") },
	}
	l.record = leaderRecord{Member: e.memberID, Address: e.self.String(), Epoch: 9, Incarnation: 7}
	return l
}

// Guards against a call that was sent before a leader has claimed a restored store, and
// whose response arrives afterwards: it says nothing about the present era.
func TestLateSignOfARestoredStore(t *testing.T) {
	store := &restoredStore{}
	l := leaderForTest(t, store)
	store.before = func() {
		l.noteRestore(FirstEra)
		l.endReclaim(l.reclaimRecord(Position{Era: 2, Offset: 5}), Position{Era: 2, Offset: 6}, l.clk.Now())
	}
	l.confirmReadAt = -time.Hour
	l.confirmWithStore(t.Context())
	NewWithT(t).Expect(l.restoreNoted()).To(BeFalse())
}

// Guards against a leader that takes lost leaders for ended although hosts that it has
// heard of earlier may be among them: their data centre was cut off when the store was
// restored.
func TestHostsThatFellSilentCountAsLostLeaders(t *testing.T) {
	l := leaderForTest(t, nil)
	long := l.clk.Now() - 10*time.Second
	l.lease.RecordFollower(20, "127.0.0.9:1", long)
	l.lease.RecordFollower(21, "127.0.0.8:1", l.clk.Now())
	l.record.Followers, l.record.FollowerAddresses = []uint64{7, 20, 21}, []string{l.self.String(), "127.0.0.9:1", "127.0.0.8:1"}
	record := l.reclaimRecord(Position{Era: 2, Offset: 5})
	unlisted := record.Earlier[len(record.Earlier)-1]
	NewWithT(t).Expect(unlisted.FollowerAddresses).To(ContainElements("127.0.0.9:1", "127.0.0.8:1"))
}
