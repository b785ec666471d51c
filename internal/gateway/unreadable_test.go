package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
	"github.com/lycheerudder/lycheerudder/internal/logging"
)

// recordStore returns its records as those of the ownership topic.
type recordStore struct {
	Store
	records []Record
}

func (s *recordStore) Owners(context.Context) ([]Record, Position, error) {
	return s.records, Position{Era: FirstEra, Offset: int64(len(s.records))}, nil
}

func newRecordElector(records ...Record) (*elector, *recordStore) {
	store := &recordStore{records: records}
	client := newLeaderClient(clock.NewMonotonic(), nil, 7, "dc", func() {}, func() bool { return true })
	return &elector{clk: clock.NewMonotonic(), store: store, watcher: newStoreWatcher(clock.NewMonotonic(), store, newActiveBounds(typicalBounds()), nil, func() {}), log: logging.For(logging.Lead), leaderClient: client}, store
}

var unreadableValues = map[string]string{
	"bytes": "\xff\xfe", "a list": "[]", "number too large": `{"epoch":1e400,"member":"x"}`, "another type": `{"member":"edge-9","address":7}`,
}

// Guards against a leader record that cannot be decoded and that hides a leader that may
// still act: the next leader would grant its keys at once. Also guards against one of which
// only a part is used.
func TestUnreadableLeaderRecord(t *testing.T) {
	const known = `{"member":"edge-1","address":"10.0.0.1:1","epoch":4,"process":9,"list":[9,10,11]}`
	for name, value := range unreadableValues {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, store := newRecordElector(Record{Key: leaderKey, Value: []byte(known)})
			before, _, err := e.readOwners(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			store.records = []Record{{Key: leaderKey, Value: []byte(value)}}
			after, _, err := e.readOwners(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect([]any{after.Member, after.Address, after.Epoch}).To(Equal([]any{before.Member, before.Address, before.Epoch}))
			g.Expect(after.leadersThatMayAct()).To(ContainElement(before.leadersThatMayAct()[0]))

			started, _ := newRecordElector(store.records...)
			unknown, _, err := started.readOwners(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			for _, leader := range []leaderRecord{after, unknown} {
				settings := leaderlease.Settings{BaseDuration: time.Second, ExtendedDuration: time.Minute, FollowerTimeout: time.Second, CallTimeout: time.Second}
				lease := leaderlease.New(settings, 1, "10.0.0.2:1", 0, leader.leadersThatMayAct())
				lease.RecordFollower(2, "10.0.0.3:1", 0)
				g.Expect(lease.EarlierLeadersUntil()).To(BeNumerically(">=", settings.ExtendedDuration))
			}
		})
	}
}

// Guards against a key map that cannot be decoded and that counts as never stored: its
// keys would be granted at once although their owner may hold them.
func TestUnreadableKeyMap(t *testing.T) {
	stored, err := keymap.Map{{From: 0, To: 99, Server: "a"}, {From: 100, To: keymap.KeyCount - 1, Server: "b"}}.Encode(FirstEra)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, value := range unreadableValues {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			other := Record{Key: keyMapPrefix + "other", Value: stored}
			e, store := newRecordElector(Record{Key: keyMapPrefix + "svc", Value: stored}, other)
			_, _, err := e.readOwners(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			before := e.keyMaps["svc"]
			store.records = []Record{{Key: keyMapPrefix + "svc", Value: []byte(value)}, other}
			_, _, err = e.readOwners(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(e.keyMaps["svc"]).To(Equal(before.WithUnknownOwners()), "the lost key map may name other owners")
			g.Expect(e.keyMaps["other"]).To(Equal(before))

			started, _ := newRecordElector(store.records...)
			_, _, err = started.readOwners(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(started.keyMaps["svc"]).To(Equal(keymap.Empty().WithUnknownOwners()), "keys without an owner are granted at once")
			g.Expect(started.keyMaps["other"]).To(Equal(before))
		})
	}
}
