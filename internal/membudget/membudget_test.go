package membudget_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
)

// Guards against one exchange that takes the whole budget, and against bytes that
// are not returned.
func TestOneHolderLeavesRoom(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(100)
	greedy, other := b.Holder(), b.Holder()
	for greedy.Grow(1) {
	}
	g.Expect(b.Used()).To(Equal(int64(50)))
	g.Expect(other.Grow(25)).To(BeTrue())
	g.Expect(other.Grow(1)).To(BeFalse())
	greedy.Release()
	g.Expect(other.Grow(25)).To(BeTrue())
	other.Release()
	g.Expect(b.Used()).To(BeZero())
}

// Guards against holders that together hold more than the budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := membudget.New(1000)
		holders := make([]*membudget.Holder, 5)
		for i := range holders {
			holders[i] = b.Holder()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				h.Release()
			case 1:
				h.Shrink(rapid.Int64Range(1, 700).Draw(t, "bytes"))
			default:
				h.Grow(rapid.Int64Range(1, 700).Draw(t, "bytes"))
			}
			if used := b.Used(); used < 0 || used > 1000 {
				t.Fatalf("%d bytes of 1000 are held", used)
			}
		}
	})
}
