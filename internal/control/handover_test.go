package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/dedup"
)

// Guards against a hand-over that is refused as a whole because of the size of
// its stored answers, and against answers that are dropped without need.
func TestTrimAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		records, size int
		kept          bool
	}{
		"few answers":  {records: 1000, size: 4096, kept: true},
		"many answers": {records: 5000, size: 4096, kept: false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ids := make([]dedup.HandOverEntry, c.records)
			for i := range ids {
				ids[i].Outcome = dedup.Outcome{Status: 200, Body: make([]byte, c.size), BodyStored: true}
			}
			trimAnswers(ids)
			g.Expect(ids[0].Outcome.BodyStored).To(Equal(c.kept))
			g.Expect(ids[0].Outcome.Body != nil).To(Equal(c.kept))
			g.Expect(ids[0].Outcome.Status).To(Equal(200))
		})
	}
}
