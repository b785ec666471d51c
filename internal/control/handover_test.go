package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/dedup"
)

// Guards against a handover that is refused as a whole because its stored response
// bodies are too large, and against bodies that are dropped below the limit.
func TestTrimBodies(t *testing.T) {
	for name, c := range map[string]struct {
		entries, size int
		kept          bool
	}{
		"bodies below the limit": {entries: 1000, size: 4096, kept: true},
		"bodies above the limit": {entries: 5000, size: 4096, kept: false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			entries := make([]dedup.HandOverEntry, c.entries)
			for i := range entries {
				entries[i].Outcome = dedup.Outcome{Status: 200, Body: make([]byte, c.size), BodyStored: true}
			}
			trimBodies(entries)
			g.Expect(entries[0].Outcome.BodyStored).To(Equal(c.kept))
			g.Expect(entries[0].Outcome.Body != nil).To(Equal(c.kept))
			g.Expect(entries[0].Outcome.Status).To(Equal(200))
		})
	}
}
