package topology_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func TestTopology(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "topology")
}

// Guards against a fence that looks newer after a change of leader than the
// fence that replaced it.
var _ = DescribeTable("order of fences",
	func(older, newer topology.Fence) {
		Expect(older.Compare(newer)).To(BeNumerically("<", 0))
		Expect(newer.Compare(older)).To(BeNumerically(">", 0))
	},
	Entry("home before list", topology.Fence{Home: 1, List: 9}, topology.Fence{Home: 2}),
	Entry("list before term", topology.Fence{List: 1, Term: 9}, topology.Fence{List: 2}),
	Entry("term before sequence", topology.Fence{Term: 1, Seq: 9}, topology.Fence{Term: 2}),
	Entry("sequence", topology.Fence{Seq: 1}, topology.Fence{Seq: 2}),
)

var _ = Describe("text forms", func() {
	It("round-trips fences and shard references", func() {
		f := topology.Fence{Home: 1, List: 2, Term: 3, Seq: 4}
		Expect(topology.ParseFence(f.String())).To(Equal(f))
		r := topology.ShardRef{Service: "booking", Shard: 7, Key: "a/b"}
		Expect(topology.ParseShardRef(r.String())).To(Equal(r))
	})
	DescribeTable("rejects malformed input",
		func(s string) {
			_, err := topology.ParseFence(s)
			Expect(err).To(HaveOccurred())
			_, err = topology.ParseShardRef(s)
			Expect(err).To(HaveOccurred())
		},
		Entry("empty", ""), Entry("too few parts", "1.2"), Entry("not a number", "a/x"), Entry("out of range", "9999999999.0.0.0"),
	)
})
