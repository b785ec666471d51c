package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
)

// Guards against a leader whose log grows with the servers and key ranges that change at once:
// in an incident it wrote 12,000 lines in one second. The lines on keys that became free must
// not be lost among the others.
func TestLinesOfALeaderAreBounded(t *testing.T) {
	g := NewWithT(t)
	handler := memory.New()
	log.SetHandler(handler)
	t.Cleanup(func() { log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil })) })
	clk := new(clock.Manual)
	l := newLeaderLog(logging.For(logging.Lead), clk)
	for range 5000 {
		l.recordCall(ownership.Order{Kind: ownership.Fence, Attempt: 1}, ownership.Done, nil)
		l.recordCall(ownership.Order{Kind: ownership.Fence, Attempt: 1}, ownership.Unsent, errors.New("timeout"))
		l.recordCall(ownership.Order{Kind: ownership.Grant}, ownership.Unsent, errors.New("timeout"))
		l.recordChange("booking", ownership.Change{Kind: ownership.Assigned})
	}
	for range 30 {
		l.recordChange("booking", ownership.Change{Kind: ownership.Expired})
	}
	g.Expect(len(handler.Entries)).To(BeNumerically("<=", 140))
	expired := 0
	for _, e := range handler.Entries {
		if e.Fields["kind"] == "expired" {
			expired++
		}
	}
	g.Expect(expired).To(Equal(30))
	clk.Advance(time.Second)
	l.recordCall(ownership.Order{Kind: ownership.Grant}, ownership.Unsent, errors.New("timeout"))
	last := handler.Entries[len(handler.Entries)-1]
	g.Expect(last.Fields["omitted"]).To(Equal(4980))
}
