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

// split returns a snapshot as parts records.
func split(f *Fold, parts int) [][]byte {
	es, err := record.SplitSnapshot(must(f.Snapshot()), f.NextOffset(), 1, "w")
	if err != nil {
		panic(err)
	}
	whole, err := record.Body[record.SnapshotPart](es[0])
	if err != nil {
		panic(err)
	}
	var out [][]byte
	for i, data := range slices.Collect(slices.Chunk(whole.Data, len(whole.Data)/parts+1)) {
		p := whole
		p.Index, p.PartCount, p.Data = i, parts, data
		out = append(out, enc(record.KindSnapshot, fmt.Sprintf("s%d.%d", f.NextOffset(), i), -1, p))
	}
	return out
}

// world is a log with its readers. ref folds every record at its append.
type world struct {
	t       *rapid.T
	records [][]byte
	first   int64
	ref     *Config
	readers []*reader
	pending [][]byte // parts of a snapshot that are not appended yet
	safe    int64    // Next of the newest complete snapshot
}

type reader struct {
	*Config
	scan int64 // where the search for a snapshot goes on
	rev  int64
}

func (w *world) append(data []byte) {
	w.ref.Apply(int64(len(w.records)), data)
	w.records = append(w.records, data)
	w.safe = w.ref.LatestSnapshot().NextOffset
}

func (w *world) write() {
	_, rev := w.ref.Document()
	id := fmt.Sprint(len(w.records))
	slots := rapid.IntRange(1, 50).Draw(w.t, "slots")
	switch rapid.SampledFrom([]string{"valid", "valid", "valid", "stale", "repeat", "garbage", "unknown", "snapshot"}).Draw(w.t, "write") {
	case "valid":
		if rev.Offset < 0 {
			w.append(enc(record.KindConfig, id, -1, doc(slots)))
		} else {
			w.append(enc(record.KindConfigChange, id, rev.Offset, slotsChange(slots)))
		}
	case "stale":
		w.append(enc(record.KindConfig, id, rapid.Int64Range(-1, max(-1, rev.Offset-1)).Draw(w.t, "base"), doc(slots)))
		if _, now := w.ref.Document(); rev.Offset >= 0 && now != rev {
			w.t.Fatalf("revision %d was replaced by stale revision %d", rev.Offset, now.Offset)
		}
	case "repeat":
		if n := len(w.records); n > 0 {
			w.append(w.records[rapid.IntRange(0, n-1).Draw(w.t, "repeated")])
		}
	case "garbage":
		w.append([]byte(rapid.StringN(0, 8, 8).Draw(w.t, "garbage")))
	case "unknown":
		w.append(newer(1))
	case "snapshot":
		if len(w.pending) == 0 && w.ref.NextOffset() > 0 {
			w.pending = split(w.ref.Fold, rapid.IntRange(1, 3).Draw(w.t, "parts"))
		}
	}
}

func (w *world) appendPart() {
	if len(w.pending) > 0 {
		w.append(w.pending[0])
		w.pending = w.pending[1:]
	}
}

// read folds up to n records the way a follower does.
func (w *world) read(r *reader, n int) {
	from := max(r.NextOffset(), w.first)
	if from > r.NextOffset() {
		from = max(from, r.scan)
	}
	for o := from; o < min(from+int64(n), int64(len(w.records))); o++ {
		r.scan = o + 1
		if r.Apply(o, w.records[o]).Kind == Restored {
			break
		}
	}
	w.check(r)
}

func (w *world) check(r *reader) {
	_, rev := r.Document()
	if rev.Offset < r.rev {
		w.t.Fatalf("configuration reverted from revision %d to %d", r.rev, rev.Offset)
	}
	r.rev = rev.Offset
}

func (w *world) reader() *reader {
	return w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(w.t, "reader")]
}

// TestInterleavings guards against hosts that fold the same log to different
// states, and against configuration that reverts, for any order of appends,
// partial snapshots, expiry, reads, repeated reads, restarts and snapshots
// taken from other hosts.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, ref: NewConfig()}
		for range 3 {
			w.readers = append(w.readers, &reader{Config: NewConfig(), rev: -1})
		}
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(*rapid.T) { w.write() },
			"part":   func(*rapid.T) { w.appendPart() },
			"expire": func(t *rapid.T) { w.first = rapid.Int64Range(w.first, max(w.first, w.safe)).Draw(t, "first") },
			"read":   func(t *rapid.T) { w.read(w.reader(), rapid.IntRange(1, 9).Draw(t, "n")) },
			"repeat": func(t *rapid.T) {
				r := w.reader()
				if r.NextOffset() > w.first {
					o := rapid.Int64Range(w.first, r.NextOffset()-1).Draw(t, "offset")
					r.Apply(o, w.records[o])
				}
				w.check(r)
			},
			"restart": func(*rapid.T) { *w.reader() = reader{Config: NewConfig(), rev: -1} },
			"peer": func(*rapid.T) {
				r := w.reader()
				_ = r.Restore(must(w.reader().Snapshot()))
				w.check(r)
			},
		})
		for i, r := range w.readers {
			for range 4 {
				w.read(r, len(w.records))
			}
			if string(must(r.Snapshot())) != string(must(w.ref.Snapshot())) {
				t.Fatalf("reader %d differs: next %d, log %d to %d", i, r.NextOffset(), w.first, len(w.records))
			}
		}
	})
}

// TestGapRule guards against a fold across missing records, and shows that the
// state differs if the rule is switched off.
func TestGapRule(t *testing.T) {
	records := [][]byte{
		enc(record.KindConfig, "a", -1, doc(1)), enc(record.KindConfigChange, "b", 0, slotsChange(2)),
		enc(record.KindConfigChange, "c", 0, slotsChange(3)),
	}
	whole := NewConfig()
	for i, r := range records {
		whole.Apply(int64(i), r)
	}
	snapshot := split(whole.Fold, 1)[0]
	for _, rule := range []bool{true, false} {
		f := NewConfig()
		f.Apply(0, records[0])
		if !rule {
			f.next = 2
		}
		kind := f.Apply(2, records[2]).Kind
		end := f.Apply(3, snapshot).Kind
		NewWithT(t).Expect(kind == Gap && end == Restored).To(Equal(rule))
		NewWithT(t).Expect(string(must(f.Snapshot())) == string(must(whole.Snapshot()))).To(Equal(rule))
	}
}
