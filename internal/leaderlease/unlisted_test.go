package leaderlease_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
)

// Guards against a lost leader that acts for longer than the leader after it waits: the
// followers of the lost one are hosts that the next one does not know, or itself alone.
func TestUnlistedLeaderActsNoLongerThanItsSuccessorWaits(t *testing.T) {
	for _, c := range []struct {
		name      string
		followers []uint64 // of the lost leader x (3), as it has stored them
		absent    int      // other hosts of the record before it
		known     []string // to the next leader, by the same record
	}{
		{"it follows itself alone", []uint64{3}, 3, []string{"a", "c", "x"}},
		{"its followers are a minority", []uint64{3, 20}, 3, []string{"a", "c", "x", "y"}},
		{"its followers are half of the hosts", []uint64{3, 20, 21}, 3, []string{"a", "c", "x", "y", "z"}},
		{"its followers are a majority", []uint64{3, 20, 21, 22}, 3, []string{"a", "c", "x", "y", "z", "w"}},
		{"no host is known", []uint64{3, 20, 21}, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			lost := leaderlease.New(settings, 3, "x", 0, nil)
			lost.SetStoredFollowers(c.followers, c.absent)
			next := leaderlease.New(settings, 2, "b", 0, []leaderlease.EarlierLeader{{Unlisted: true, FollowerAddresses: c.known}})
			for now := 100 * ms; now <= 12000*ms; now += 100 * ms {
				for _, h := range c.followers {
					if h != 3 {
						lost.RecordFollower(h, "y", now)
					}
				}
				next.RecordFollower(10, "a", now)
				next.RecordFollower(11, "c", now)
				if lost.Valid(now) {
					NewWithT(t).Expect(next.EarlierLeadersUntil()).To(BeNumerically(">", now), "the lost leader still sends grants")
				}
			}
		})
	}
}
