package state

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// snapshotRecords returns a snapshot as parts records.
func snapshotRecords(f *Fold, parts int) [][]byte {
	records, err := record.SplitSnapshot(must(f.Snapshot()), f.NextOffset(), 1, "w")
	if err != nil {
		panic(err)
	}
	whole, err := record.Body[record.SnapshotPart](records[0])
	if err != nil {
		panic(err)
	}
	var out [][]byte
	for i, data := range slices.Collect(slices.Chunk(whole.Data, len(whole.Data)/parts+1)) {
		p := whole
		p.Index, p.PartCount, p.Data = i, parts, data
		out = append(out, encodeRecord(record.KindSnapshot, fmt.Sprintf("s%d.%d", f.NextOffset(), i), -1, p))
	}
	return out
}

// simulation is a log with several readers. reference applies every record when
// it is appended.
type simulation struct {
	t           *rapid.T
	records     [][]byte
	firstOffset int64 // first record that has not expired
	reference   *Config
	readers     []*reader
	pending     [][]byte // parts of a snapshot that are not appended yet
	expirableTo int64    // NextOffset of the newest complete snapshot
}

type reader struct {
	*Config
	scanOffset   int64 // offset at which the search for a snapshot continues
	lastRevision int64
}

func (s *simulation) append(data []byte) {
	s.reference.Apply(int64(len(s.records)), data)
	s.records = append(s.records, data)
	s.expirableTo = s.reference.LatestSnapshot().NextOffset
}

func (s *simulation) write() {
	_, rev := s.reference.Document()
	id := fmt.Sprint(len(s.records))
	slots := rapid.IntRange(1, 50).Draw(s.t, "slots")
	switch rapid.SampledFrom([]string{"valid", "valid", "valid", "stale", "repeat", "garbage", "unknown", "snapshot"}).Draw(s.t, "write") {
	case "valid":
		if rev.Offset < 0 {
			s.append(encodeRecord(record.KindConfig, id, -1, configDoc(slots)))
		} else {
			s.append(encodeRecord(record.KindConfigChange, id, rev.Offset, slotsChange(slots)))
		}
	case "stale":
		s.append(encodeRecord(record.KindConfig, id, rapid.Int64Range(-1, max(-1, rev.Offset-1)).Draw(s.t, "base"), configDoc(slots)))
		if _, now := s.reference.Document(); rev.Offset >= 0 && now != rev {
			s.t.Fatalf("revision %d was replaced by stale revision %d", rev.Offset, now.Offset)
		}
	case "repeat":
		if n := len(s.records); n > 0 {
			s.append(s.records[rapid.IntRange(0, n-1).Draw(s.t, "repeated")])
		}
	case "garbage":
		s.append([]byte(rapid.StringN(0, 8, 8).Draw(s.t, "garbage")))
	case "unknown":
		s.append(unknownVersionRecord(1))
	case "snapshot":
		if len(s.pending) == 0 && s.reference.NextOffset() > 0 {
			s.pending = snapshotRecords(s.reference.Fold, rapid.IntRange(1, 3).Draw(s.t, "parts"))
		}
	}
}

func (s *simulation) appendPart() {
	if len(s.pending) > 0 {
		s.append(s.pending[0])
		s.pending = s.pending[1:]
	}
}

// read reads up to n records as internal/follow does: after a gap it searches for
// a snapshot, and after a restore it continues at NextOffset.
func (s *simulation) read(r *reader, n int) {
	from := max(r.NextOffset(), s.firstOffset)
	if from > r.NextOffset() {
		from = max(from, r.scanOffset)
	}
	for o := from; o < min(from+int64(n), int64(len(s.records))); o++ {
		r.scanOffset = o + 1
		if r.Apply(o, s.records[o]).Kind == Restored {
			break
		}
	}
	s.check(r)
}

func (s *simulation) check(r *reader) {
	_, rev := r.Document()
	if rev.Offset < r.lastRevision {
		s.t.Fatalf("configuration reverted from revision %d to %d", r.lastRevision, rev.Offset)
	}
	r.lastRevision = rev.Offset
}

func (s *simulation) reader() *reader {
	return s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(s.t, "reader")]
}

// TestReadersConverge guards against hosts that derive different states from the
// same log, and against a configuration that reverts to an earlier revision. It
// combines appends, partial snapshots, expiry, reads, repeated reads, restarts
// and snapshots from other hosts in any order.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, reference: NewConfig()}
		for range 3 {
			s.readers = append(s.readers, &reader{Config: NewConfig(), lastRevision: -1})
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) { s.write() },
			"part":  func(*rapid.T) { s.appendPart() },
			"expire": func(t *rapid.T) {
				s.firstOffset = rapid.Int64Range(s.firstOffset, max(s.firstOffset, s.expirableTo)).Draw(t, "first")
			},
			"read": func(t *rapid.T) { s.read(s.reader(), rapid.IntRange(1, 9).Draw(t, "n")) },
			"repeat": func(t *rapid.T) {
				r := s.reader()
				if r.NextOffset() > s.firstOffset {
					o := rapid.Int64Range(s.firstOffset, r.NextOffset()-1).Draw(t, "offset")
					r.Apply(o, s.records[o])
				}
				s.check(r)
			},
			"restart": func(*rapid.T) { *s.reader() = reader{Config: NewConfig(), lastRevision: -1} },
			"peer": func(*rapid.T) {
				r := s.reader()
				_ = r.Restore(must(s.reader().Snapshot()))
				s.check(r)
			},
		})
		for i, r := range s.readers {
			for range 4 {
				s.read(r, len(s.records))
			}
			if string(must(r.Snapshot())) != string(must(s.reference.Snapshot())) {
				t.Fatalf("reader %d differs: next %d, log %d to %d", i, r.NextOffset(), s.firstOffset, len(s.records))
			}
		}
	})
}

// TestGapRule guards against a reader that folds records after a gap. The second
// run skips the check of the offset and shows that the state then differs.
func TestGapRule(t *testing.T) {
	records := [][]byte{
		encodeRecord(record.KindConfig, "a", -1, configDoc(1)), encodeRecord(record.KindConfigChange, "b", 0, slotsChange(2)),
		encodeRecord(record.KindConfigChange, "c", 0, slotsChange(3)),
	}
	complete := NewConfig()
	for i, r := range records {
		complete.Apply(int64(i), r)
	}
	snapshot := snapshotRecords(complete.Fold, 1)[0]
	for _, gapRule := range []bool{true, false} {
		f := NewConfig()
		f.Apply(0, records[0])
		if !gapRule {
			f.nextOffset = 2
		}
		kind := f.Apply(2, records[2]).Kind
		end := f.Apply(3, snapshot).Kind
		NewWithT(t).Expect(kind == Gap && end == Restored).To(Equal(gapRule))
		NewWithT(t).Expect(string(must(f.Snapshot())) == string(must(complete.Snapshot()))).To(Equal(gapRule))
	}
}
