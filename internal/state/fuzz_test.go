package state

import (
	"bytes"
	"testing"

	"github.com/lycheerudder/lycheerudder/internal/record"
)

// FuzzFold guards against panics in the decoders and the fold, and against a
// fold whose snapshot does not restore to the same state. Input is one record
// per line.
func FuzzFold(f *testing.F) {
	for _, lines := range [][][]byte{
		{enc(record.KindConfig, "a", -1, doc(1)), enc(record.KindConfigChange, "b", 0, slotsChange(2))},
		{enc(record.KindMembers, "a", -1, list(1, "h1", "h2", "h3")), enc(record.KindHostsStopped, "s", -1, stop3), enc(record.KindTakeOver, "t", -1, lost(move, "s"))},
		{enc(record.KindMembers, "a", -1, list(1, "h1")), enc(record.KindMembers, "b", 0, pledged(list(2, "h1"), record.ModeNormal, "h1"))},
		{enc(record.KindRelease, "r", -1, free), enc(record.KindTakeOver, "t", 0, move)},
		{enc(record.KindAssign, "a", -1, assigned("s1", 1, 0, 1)), enc(record.KindAssign, "b", 0, assigned("s1", 2, 1))},
		{enc(record.KindCrashes, "a", -1, crashOf("s1", 1)), enc(record.KindCrashes, "b", -1, crashOf("s2", 1))},
		{newer(1), []byte("{")},
	} {
		f.Add(bytes.Join(lines, []byte("\n")))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		for _, fresh := range []func() *Fold{
			func() *Fold { return NewConfig().Fold }, func() *Fold { return NewMembers().Fold },
			func() *Fold { return NewAssignments("c").Fold }, func() *Fold { return NewQuarantine().Fold },
		} {
			fold := fresh()
			for i, line := range bytes.Split(input, []byte("\n")) {
				fold.Apply(int64(i), line)
			}
			snapshot := must(fold.Snapshot())
			again := fresh()
			if err := again.Restore(snapshot); err != nil {
				t.Fatalf("%v: %s", err, snapshot)
			}
			if !bytes.Equal(snapshot, must(again.Snapshot())) {
				t.Fatalf("restored state differs:\n%s\n%s", snapshot, must(again.Snapshot()))
			}
		}
	})
}

// FuzzRestore guards against panics for damaged snapshots, and against a
// damaged snapshot that changes the state it failed to replace.
func FuzzRestore(f *testing.F) {
	for i, fold := range []*Fold{NewConfig().Fold, NewMembers().Fold, NewAssignments("c").Fold, NewQuarantine().Fold} {
		for o, line := range [][]byte{enc(record.KindConfig, "a", -1, doc(1)), enc(record.KindMembers, "b", -1, list(1, "h1")),
			enc(record.KindAssign, "c", -1, assigned("s1", 1, 0)), enc(record.KindCrashes, "d", -1, crashOf("s1", 1)), enc(record.KindRelease, "e", -1, free), newer(1)} {
			fold.Apply(int64(o), line)
		}
		f.Add(i, must(fold.Snapshot()))
	}
	f.Fuzz(func(t *testing.T, which int, data []byte) {
		fold := []*Fold{NewConfig().Fold, NewMembers().Fold, NewAssignments("c").Fold, NewQuarantine().Fold}[which&3]
		before := must(fold.Snapshot())
		if fold.Restore(data) != nil && !bytes.Equal(before, must(fold.Snapshot())) {
			t.Fatal("failed restore changed the state")
		}
		_ = must(fold.Snapshot())
		fold.Apply(fold.NextOffset(), enc(record.KindConfigChange, "z", 0, slotsChange(2)))
		fold.Apply(fold.NextOffset(), enc(record.KindRelease, "y", 0, free))
		_ = must(fold.Snapshot())
	})
}
