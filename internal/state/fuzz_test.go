package state

import (
	"bytes"
	"testing"

	"github.com/lycheerudder/lycheerudder/internal/record"
)

// FuzzFold guards against panics in the decoders and in Fold.Apply, and against
// snapshots that do not restore to the same state. The input is one record per
// line.
func FuzzFold(f *testing.F) {
	for _, lines := range [][][]byte{
		{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), encodeRecord(record.KindConfigChange, "b", 0, slotsChange(2))},
		{encodeRecord(record.KindMembers, "a", -1, memberList(1, "h1", "h2", "h3")), encodeRecord(record.KindHostsStopped, "s", -1, hostsStopped), encodeRecord(record.KindTakeOver, "t", -1, withStoppedDataCentre(takeOver, "s"))},
		{encodeRecord(record.KindMembers, "a", -1, memberList(1, "h1")), encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(2, "h1"), record.ModeNormal, "h1"))},
		{encodeRecord(record.KindRelease, "r", -1, release), encodeRecord(record.KindTakeOver, "t", 0, takeOver)},
		{encodeRecord(record.KindAssign, "a", -1, assignment("s1", 1, 0, 1)), encodeRecord(record.KindAssign, "b", 0, assignment("s1", 2, 1))},
		{encodeRecord(record.KindCrashes, "a", -1, crashRecord("s1", 1)), encodeRecord(record.KindCrashes, "b", -1, crashRecord("s2", 1))},
		{unknownVersionRecord(1), []byte("{")},
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
			restored := fresh()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatalf("%v: %s", err, snapshot)
			}
			if !bytes.Equal(snapshot, must(restored.Snapshot())) {
				t.Fatalf("restored state differs:\n%s\n%s", snapshot, must(restored.Snapshot()))
			}
		}
	})
}

// FuzzRestore guards against panics on malformed snapshots, and against a failed
// restore that changes the state.
func FuzzRestore(f *testing.F) {
	for i, fold := range []*Fold{NewConfig().Fold, NewMembers().Fold, NewAssignments("c").Fold, NewQuarantine().Fold} {
		for o, line := range [][]byte{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), encodeRecord(record.KindMembers, "b", -1, memberList(1, "h1")),
			encodeRecord(record.KindAssign, "c", -1, assignment("s1", 1, 0)), encodeRecord(record.KindCrashes, "d", -1, crashRecord("s1", 1)), encodeRecord(record.KindRelease, "e", -1, release), unknownVersionRecord(1)} {
			fold.Apply(int64(o), line)
		}
		f.Add(i, must(fold.Snapshot()))
	}
	f.Fuzz(func(t *testing.T, stream int, data []byte) {
		fold := []*Fold{NewConfig().Fold, NewMembers().Fold, NewAssignments("c").Fold, NewQuarantine().Fold}[stream&3]
		before := must(fold.Snapshot())
		if fold.Restore(data) != nil && !bytes.Equal(before, must(fold.Snapshot())) {
			t.Fatal("failed restore changed the state")
		}
		_ = must(fold.Snapshot())
		fold.Apply(fold.NextOffset(), encodeRecord(record.KindConfigChange, "z", 0, slotsChange(2)))
		fold.Apply(fold.NextOffset(), encodeRecord(record.KindRelease, "y", 0, release))
		_ = must(fold.Snapshot())
	})
}
