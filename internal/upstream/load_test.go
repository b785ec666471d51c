package upstream

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
)

// Guards against a load header with a fourth figure that is rejected as a whole, and
// against a figure that cannot be read and is taken for a load.
func TestLoadHeader(t *testing.T) {
	known := func(running, waiting int, pace float64) schedule.Report {
		return schedule.Report{Running: running, Waiting: waiting, LoadKnown: true, Pace: pace}
	}
	for value, want := range map[string]schedule.Report{
		"2,1,4":        known(2, 1, 0),
		"2,1,4,100":    known(2, 1, 1),
		"2, 1, 4, 300": known(2, 1, 3),
		"2,1,4,87.5":   known(2, 1, 0.875),
		"2,1,4,NaN":    known(2, 1, 0),
		"2,1,4,inf":    known(2, 1, 0),
		"2,1,4,-5":     known(2, 1, 0),
		"2,1,4,0":      known(2, 1, 0),
		"2,1,4,":       known(2, 1, 0),
		"":             {},
		"2,1":          {},
		"2,1,4,100,7":  {},
		"two,1,4,100":  {},
		"2,,4,100":     {},
	} {
		var report schedule.Report
		parseLoad(value, &report)
		NewWithT(t).Expect(report).To(Equal(want), value)
	}
}
