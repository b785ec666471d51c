package ownership_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Guards against keys that change their owner without a trace of the reason: whether the
// former owner released them or its grants ran out, and which grants were waited for.
func TestChangesStateTheirReason(t *testing.T) {
	const last = keymap.KeyCount - 1
	g := NewWithT(t)
	l := newFencingLeader(keymap.Map{{From: 0, To: last, Server: "cut"}}, 100)
	l.Move(0, last, "up")
	l.run(4*time.Second, "up")
	changes, omitted := l.TakeChanges()
	g.Expect(omitted).To(BeZero())
	g.Expect(changes).To(HaveLen(3))
	g.Expect(changes[0]).To(And(HaveField("Kind", ownership.Expired), HaveField("From", 0), HaveField("To", last),
		HaveField("Server", topology.ServerID("cut")), HaveField("Registered", true), HaveField("LatestExpiry", BeNumerically("<", l.now))))
	g.Expect(changes[1]).To(And(HaveField("Kind", ownership.Assigned), HaveField("Server", topology.ServerID("up"))))
	g.Expect(changes[2]).To(And(HaveField("Kind", ownership.Granted), HaveField("Server", topology.ServerID("up"))))

	l.Move(0, last, "cut")
	l.run(4*time.Second, "up", "cut")
	changes, _ = l.TakeChanges()
	g.Expect(changes).To(HaveLen(3))
	g.Expect(changes[0]).To(And(HaveField("Kind", ownership.Released), HaveField("Server", topology.ServerID("up")), HaveField("LatestExpiry", BeZero())))
	g.Expect(changes[1]).To(And(HaveField("Kind", ownership.Assigned), HaveField("Server", topology.ServerID("cut"))))
	g.Expect(changes[2]).To(And(HaveField("Kind", ownership.Granted), HaveField("Server", topology.ServerID("cut"))))
}

// Guards against a list of changes that grows without bound while nobody takes it.
func TestChangesAreBounded(t *testing.T) {
	g := NewWithT(t)
	const maxChanges, moves = 1024, 700
	l := newFencingLeader(keymap.Empty(), 100)
	for i := range moves {
		l.Move(0, keymap.KeyCount-1, []topology.ServerID{"cut", "up"}[i%2])
		l.run(8*step, "up", "cut")
	}
	changes, omitted := l.TakeChanges()
	g.Expect(changes).To(HaveLen(maxChanges))
	g.Expect(omitted).To(BeNumerically(">", 0))
	changes, omitted = l.TakeChanges()
	g.Expect(changes).To(BeEmpty())
	g.Expect(omitted).To(BeZero())
}
