package record

import (
	"bytes"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
)

// TestSnapshotParts guards against snapshot records that exceed the record limit
// of the log, and against states that are assembled wrongly from parts that
// arrive out of order, repeated or damaged.
func TestSnapshotParts(t *testing.T) {
	g := NewWithT(t)
	state := make([]byte, 3*snapshotPartBytes-10) // does not compress
	_, _ = rand.NewChaCha8([32]byte{1}).Read(state)
	records, err := SplitSnapshot(state, 7, 1, "w")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(4))
	var a SnapshotAssembler
	add := func(i int) ([]byte, error) {
		p, err := Body[SnapshotPart](records[i])
		g.Expect(err).NotTo(HaveOccurred())
		return a.Add(p)
	}
	for _, i := range []int{2, 0, 0, 3} {
		data, err := records[i].Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(data)).To(BeNumerically("<", platformlog.MaxRecordBytes))
		got, err := add(i)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(BeNil(), "not complete")
	}
	got, err := add(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(got, state)).To(BeTrue())
	p, _ := Body[SnapshotPart](records[0])
	p.PartCount, p.Data = 1, []byte("damaged")
	_, err = a.Add(p)
	g.Expect(err).To(MatchError(ContainSubstring("digest")))
}

// FuzzDecode guards against panics in the decoders, and against envelopes that
// change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	e, _ := New(KindMembers, NoBase, "w", MemberList{Cell: "c", DataCentre: "a", Version: 1})
	data, _ := e.Encode()
	f.Add(data)
	f.Add([]byte(`{"version":9,"kind":[],"id":7}`))
	f.Add([]byte(`{"version":1,"kind":"snapshot","id":"a","base":-1,"writer":"w","body":{"next":1,"part":0,"parts":1,"digest":"","data":"AA=="}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		_, _ = Body[config.Document](e)
		_, _ = Body[config.Change](e)
		_, _ = Body[MemberList](e)
		_, _ = Body[HostsStopped](e)
		_, _ = Body[Release](e)
		_, _ = Body[TakeOver](e)
		_, _ = Body[Assignments](e)
		_, _ = Body[Crashes](e)
		_, _ = Body[Quarantine](e)
		if p, err := Body[SnapshotPart](e); err == nil {
			var a SnapshotAssembler
			_, _ = a.Add(p)
		}
		encoded, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := Decode(encoded); err != nil || decoded.ID != e.ID || decoded.Kind != e.Kind || decoded.Base != e.Base {
			t.Fatalf("%v: %s", err, encoded)
		}
	})
}
