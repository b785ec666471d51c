package upstream_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// Guards against responses that fail, and count against their servers, because callers that do
// not read hold all memory; and against a wait for none.
func TestResponseWaitsForSlowReaders(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, nil)
	memory := membudget.New(64)
	var unread []*membudget.Holder
	for range 64 {
		h := memory.Holder()
		if h.Grow(1) {
			unread = append(unread, h)
		}
	}
	client := upstream.New(headers, memory)
	do := func(id string) upstream.Outcome {
		return client.Do(t.Context(), "s", address, time.Now().Add(2*time.Second), request(id, ""))
	}
	g.Expect(do("refused").Response).To(BeNil())
	asked := 0
	client.SetMakeRoom(func() bool {
		asked++
		for _, h := range unread[:min(8, len(unread))] {
			h.Release()
		}
		unread = unread[min(8, len(unread)):]
		return true
	})
	out := do("served")
	g.Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
	g.Expect(asked).To(BeNumerically("<=", 2))
	for _, h := range unread {
		h.Release()
	}
	client.SetMakeRoom(func() bool { return false })
	start := time.Now()
	g.Expect(do("longer-than-the-budget-permits").Response).To(BeNil())
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
}
