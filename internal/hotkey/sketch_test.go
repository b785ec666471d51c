package hotkey_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/hotkey"
)

func TestHotkey(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hotkey")
}

// addStream adds some seconds of a Zipf-distributed stream, whose keys are
// shifted by offset, to the sketch and to the exact decayed weights.
func addStream(s *hotkey.Sketch[uint64], exact map[uint64]float64, rng *rand.Rand, zipf *rand.Zipf, offset uint64, seconds int) {
	factor := math.Exp2(-1 / hotkey.DefaultHalfLife.Seconds())
	for range seconds {
		for range 700 {
			k, w := zipf.Uint64()+offset, 0.5+rng.Float64()
			s.Add(k, w)
			exact[k] += w
		}
		s.Advance(time.Second)
		for k := range exact {
			exact[k] *= factor
		}
	}
}

// Guards against estimates outside the documented bounds: keys that are not hot
// would be split off, and hot keys would be missed.
var _ = DescribeTable("error bound",
	func(counters int, exponent float64, shifts int) {
		rng := rand.New(rand.NewPCG(1, uint64(counters)))
		zipf := rand.NewZipf(rng, exponent, 1, 50_000)
		s := hotkey.New[uint64](counters, hotkey.DefaultHalfLife)
		exact := make(map[uint64]float64)
		for i := range shifts {
			addStream(s, exact, rng, zipf, uint64(1000*i), 60)
		}
		Expect(s.Len()).To(BeNumerically("<=", counters))
		var sum float64
		for _, w := range exact {
			sum += w
		}
		// Rate divides by the same decayed time for all keys.
		scale := sum / s.Total()
		limit := sum / float64(counters)
		found := make(map[uint64]bool)
		for _, e := range s.Top(counters) {
			found[e.Key] = true
			upper, lower := e.Rate*scale, (e.Rate-e.Error)*scale
			Expect(exact[e.Key]).To(And(BeNumerically("<=", upper*(1+1e-9)), BeNumerically(">=", lower*(1-1e-9)-1e-9)))
			Expect(upper - lower).To(BeNumerically("<=", limit*(1+1e-9)))
		}
		for k, w := range exact {
			if w > limit {
				Expect(found).To(HaveKey(k))
			}
		}
	},
	Entry("steep", 1024, 1.5, 1),
	Entry("flat", 1024, 1.01, 1),
	Entry("few counters", 16, 1.1, 1),
	Entry("hot set changes", 1024, 1.1, 4),
	Entry("one counter", 1, 1.5, 2),
)

var _ = Describe("decay", func() {
	// Guards against keys of an earlier hot set that rank above the current
	// ones. After a minute, an old key counts 1/16 of its former rate, which is
	// less than the rate of the fifth key of this distribution.
	It("ranks the current hot keys first within a minute of a change", func() {
		rng := rand.New(rand.NewPCG(2, 0))
		zipf := rand.NewZipf(rng, 1.2, 1, 50_000)
		s := hotkey.New[uint64](hotkey.DefaultCounters, hotkey.DefaultHalfLife)
		exact := make(map[uint64]float64)
		addStream(s, exact, rng, zipf, 0, 300)
		addStream(s, exact, rng, zipf, 1_000_000, 60)
		for _, e := range s.Top(5) {
			Expect(e.Key).To(BeNumerically(">=", 1_000_000))
		}
	})

	// Guards against rates that are too low just after the start, when the counts
	// cover less time than the half-life.
	It("reports the rate of a constant stream from the first second", func() {
		s := hotkey.New[string](4, hotkey.DefaultHalfLife)
		Expect(s.Top(1)).To(BeEmpty())
		for range 200 {
			s.Add("job", 10)
			s.Advance(time.Second)
			Expect(s.Top(1)[0].Rate).To(BeNumerically("~", 10, 1e-9))
			Expect(s.Total()).To(BeNumerically("~", 10, 1e-9))
		}
	})
})
