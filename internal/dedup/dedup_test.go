package dedup_test

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/google/uuid"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

var wallStart = time.UnixMilli(1_700_000_000_000)

// host provides the clocks of one host.
type host struct{ clk clock.Manual }

func (h *host) options(capacity int) dedup.Options {
	return dedup.Options{Clock: &h.clk, Wall: func() time.Time { return wallStart.Add(h.clk.Now()) }, Capacity: capacity}
}

// id returns request id n, dated the given time after wallStart.
func id(n byte, created time.Duration) request.ID {
	at := wallStart.Add(created)
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(at.UnixMilli())<<16)
	u[15] = n
	return request.ID{UUID: u, Created: at}
}

var (
	req         = &request.Request{Service: "booking", Customer: "pewright"}
	firstDigest = request.Digest{1}
	otherDigest = request.Digest{2}
)

// response returns the outcome of a request that ran, with a body of the given size.
func response(size int) dedup.Outcome {
	return dedup.Outcome{Verdict: verdict.Ran, Status: 200, Body: make([]byte, size), BodyStored: true}
}

// Guards against a second run of a request that ran or may have run, and against a
// wrong result for a repeat in each state of the first run.
func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		name           string
		finish         *dedup.Outcome // nil: in flight
		digest         request.Digest // of the repeat
		wantCode       verdict.Code
		wantVerdict    verdict.Verdict
		wantPermit     bool
		wantWait       bool
		wantBodyStored bool
	}{
		{name: "in flight", digest: firstDigest, wantWait: true},
		{name: "in flight, different content", digest: otherDigest, wantCode: verdict.CodeIDReused, wantVerdict: verdict.NotRun},
		{name: "ran, small body", finish: new(response(4096)), digest: firstDigest, wantBodyStored: true},
		{name: "ran, large body", finish: new(response(4097)), digest: firstDigest},
		{name: "ran, different content", finish: new(response(1)), digest: otherDigest, wantCode: verdict.CodeIDReused, wantVerdict: verdict.NotRun},
		{name: "may have run", finish: &dedup.Outcome{}, digest: firstDigest},
		{name: "not run", finish: &dedup.Outcome{Verdict: verdict.NotRun}, digest: firstDigest, wantPermit: true},
		{name: "not run, different content", finish: &dedup.Outcome{Verdict: verdict.NotRun}, digest: otherDigest, wantPermit: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := &host{}
			table := dedup.New(h.options(0), time.Time{})
			claim, err := table.Claim(req, id(1, 0), firstDigest)
			g.Expect(err).To(BeNil())
			g.Expect(claim.Permit.MarkSent()).To(BeNil())
			if c.finish != nil {
				claim.Permit.Finish(*c.finish)
				claim.Permit.Finish(dedup.Outcome{Verdict: verdict.NotRun}) // has no effect
			}
			repeat, err := table.Claim(req, id(1, 0), c.digest)
			if c.wantCode != "" {
				g.Expect(err.Code).To(Equal(c.wantCode))
				g.Expect(err.Verdict).To(Equal(c.wantVerdict))
				return
			}
			g.Expect(err).To(BeNil())
			g.Expect(repeat.Permit != nil).To(Equal(c.wantPermit))
			g.Expect(repeat.Wait != nil).To(Equal(c.wantWait))
			if repeat.Outcome != nil {
				g.Expect(repeat.Outcome.Verdict).To(Equal(c.finish.Verdict))
				g.Expect(repeat.Outcome.BodyStored).To(Equal(c.wantBodyStored))
			}
			otherClaim, err := table.Claim(&request.Request{Service: "booking", Customer: topology.Customer("other")}, id(1, 0), otherDigest)
			g.Expect(err).To(BeNil(), "the same id of another customer must be independent")
			g.Expect(otherClaim.Permit).NotTo(BeNil())
		})
	}
}

// Guards against a run of a request that may have run already, because an earlier
// leader may have accepted its id or the entry of the id has expired.
func TestUnknownIDs(t *testing.T) {
	for _, c := range []struct {
		name          string
		completeSince time.Duration // start of the leadership; -1: no earlier leader
		now           time.Duration
		created       time.Duration
		refused       bool
	}{
		{"created before the leadership", 10 * time.Second, 11 * time.Second, 9 * time.Second, true},
		{"dated ahead when the leadership began", 10 * time.Second, 11 * time.Second, 10*time.Second + 499*time.Millisecond, true},
		{"too new for an earlier leader", 10 * time.Second, 11 * time.Second, 10*time.Second + 500*time.Millisecond, false},
		{"first leader", -1, time.Second, 0, false},
		{"at the age limit", -1, 130 * time.Second, 10 * time.Second, false},
		{"over the age limit", -1, 130 * time.Second, 10*time.Second - time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := &host{}
			h.clk.Advance(c.now)
			var completeSince time.Time
			if c.completeSince >= 0 {
				completeSince = wallStart.Add(c.completeSince)
			}
			_, err := dedup.New(h.options(0), completeSince).Claim(req, id(1, c.created), firstDigest)
			g.Expect(err != nil).To(Equal(c.refused))
			if c.refused {
				g.Expect(err.Code).To(Equal(verdict.CodeIDOutcomeUnknown))
				g.Expect(err.Verdict).To(Equal(verdict.MayHaveRun))
			}
		})
	}
}

// Guards against an entry that is removed while the age of its id still permits a
// run, and against a table that grows without bound.
func TestExpiryAndBound(t *testing.T) {
	g := NewWithT(t)
	h := &host{}
	table := dedup.New(h.options(2), time.Time{})
	claim, _ := table.Claim(req, id(1, request.MaxIDAhead), firstDigest)
	claim.Permit.Finish(response(1))
	_, _ = table.Claim(req, id(2, 0), firstDigest) // stays in flight
	_, err := table.Claim(req, id(3, 0), firstDigest)
	g.Expect(err.Code).To(Equal(verdict.CodeOverload))
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))
	for range 1210 {
		h.clk.Advance(100 * time.Millisecond)
		repeat, err := table.Claim(req, id(1, request.MaxIDAhead), firstDigest)
		g.Expect(repeat.Permit).To(BeNil())
		g.Expect(err == nil || err.Code == verdict.CodeIDOutcomeUnknown).To(BeTrue())
	}
	g.Expect(table.Len()).To(Equal(1), "the id in flight must be kept")
}

// Guards against a second run of a request at the next leader after a handover, and
// against a run at the previous leader after it.
func TestHandOver(t *testing.T) {
	g := NewWithT(t)
	previous, next := &host{}, &host{}
	previousTable := dedup.New(previous.options(0), time.Time{})
	claims := make([]dedup.Claim, 4)
	for i := range claims {
		claims[i], _ = previousTable.Claim(req, id(byte(i), 0), firstDigest)
	}
	claims[0].Permit.Finish(response(10))
	g.Expect(claims[1].Permit.MarkSent()).To(BeNil()) // in flight, sent
	claims[2].Permit.Finish(dedup.Outcome{Verdict: verdict.NotRun})
	previous.clk.Advance(50 * time.Second)
	next.clk.Advance(50 * time.Second)
	handOver := previousTable.Export()
	g.Expect(claims[3].Permit.MarkSent()).NotTo(BeNil()) // not sent before the handover
	_, err := previousTable.Claim(req, id(9, 50*time.Second), firstDigest)
	g.Expect(err.Code).To(Equal(verdict.CodeNotLeader))
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))

	claims[1].Permit.Finish(response(10)) // ends after the handover
	g.Expect(previousTable.Len()).To(BeZero())

	nextTable, ok := dedup.Import(next.options(0), handOver)
	g.Expect(ok).To(BeTrue())
	claim, _ := nextTable.Claim(req, id(0, 0), firstDigest)
	g.Expect(claim.Outcome.BodyStored).To(BeTrue())
	claim, _ = nextTable.Claim(req, id(1, 0), firstDigest)
	g.Expect(claim.Outcome.Verdict).To(Equal(verdict.MayHaveRun))
	for _, notRun := range []byte{2, 3} {
		claim, _ = nextTable.Claim(req, id(notRun, 0), firstDigest)
		g.Expect(claim.Permit).NotTo(BeNil())
	}
	next.clk.Advance(71500 * time.Millisecond)
	_, _ = nextTable.Claim(req, id(8, 121*time.Second), firstDigest)
	g.Expect(nextTable.Len()).To(Equal(3), "imported ids must keep their age")
	handOver.Entries[0].ID = "zz"
	_, ok = dedup.Import(next.options(0), handOver)
	g.Expect(ok).To(BeFalse())
}
