package schedule_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
)

// Fills a saturated server. Guards against a retry delay that brings callers back while
// no slot will be free for them, and against a request that comes back and counts as new:
// it would be served late in place of one that is still in time.
func TestReturnedRequest(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	var refused *schedule.Decision
	for i := range 200 {
		j := job(1, 0, 0, 300*ms, 1500*ms)
		j.ContentHash = uint64(i) + 1
		s.Add(j, 0)
		for _, d := range s.Decide(0) {
			if d.Refused && refused == nil {
				refused = &d
			}
		}
	}
	g.Expect(refused).NotTo(BeNil())
	g.Expect(refused.RetryAfter).To(Equal(1500*ms), "the rest of its time")

	now := 500 * ms // a third of its time
	returned := job(1, 0, now, 300*ms, 1000*ms)
	returned.ContentHash = refused.Job.ContentHash
	s.Add(returned, now)
	g.Expect(returned.Target).To(Equal(300*ms), "of the first attempt")
	other := job(1, 0, now, 300*ms, 1500*ms) // the same content, from another caller
	other.ContentHash = refused.Job.ContentHash
	s.Add(other, now)
	g.Expect(other.Target).To(Equal(now + 300*ms))
}
