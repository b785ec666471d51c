package state

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// encodeRecord encodes a record of a writer named after its id.
func encodeRecord(kind record.Kind, id string, base int64, body any) []byte {
	e, err := record.New(kind, base, "w-"+id, body)
	if err != nil {
		panic(err)
	}
	e.ID = id
	data, err := e.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func configDoc(slots int) *config.Document {
	return &config.Document{
		Services:  map[topology.Service]config.Service{"booking": {Shards: 8, DataCentres: []topology.DataCentre{"a"}, Slots: slots, MaxConns: 1}},
		Customers: map[topology.Customer]config.Customer{"pewright": {Share: 1}},
	}
}

func slotsChange(slots int) config.Change { return config.Diff(configDoc(1), configDoc(slots)) }

func member(host string) topology.Member {
	return topology.Member{Host: topology.HostID(host), Incarnation: 1}
}

func memberList(version uint32, hosts ...string) record.MemberList {
	l := record.MemberList{Cell: "c", DataCentre: "a", Version: version}
	for _, h := range hosts {
		l.Members = append(l.Members, member(h))
	}
	return l
}

func withPledges(l record.MemberList, mode record.Mode, hosts ...string) record.MemberList {
	for _, h := range hosts {
		l.Pledges = append(l.Pledges, record.Pledge{ListVersion: l.Version - 1, Host: topology.HostID(h), Incarnation: 1, Mode: mode})
	}
	return l
}

func withHostsStopped(l record.MemberList, id string) record.MemberList {
	l.HostsStoppedID = id
	return l
}

func unknownVersionRecord(body any) []byte {
	e, _ := record.New(record.KindMembers, -1, "w-new", body)
	e.Version = 2
	data, _ := e.Encode()
	return data
}

func assignment(server string, term uint32, shards ...topology.ShardID) record.Assignments {
	return record.Assignments{Partition: "p", Service: "booking", ListVersion: 1, Term: term, Grants: []record.Grant{{
		Server: topology.ServerID(server), Fence: topology.Fence{List: 1, Term: term, Seq: 1}, Reason: "test", Shards: shards,
	}}}
}

func crashRecord(server string, at int64) record.Crashes {
	return record.Crashes{Suspects: []record.Crash{{Fingerprint: "f", Server: topology.ServerID(server), Incarnation: 1, At: at}}}
}

var (
	hostsStopped = record.HostsStopped{Members: []topology.Member{member("h1"), member("h2"), member("h3")}, Reason: "fire"}
	takeOver     = record.TakeOver{Service: "booking", Shards: []topology.ShardID{3}, Partition: "booking.b.0", DataCentre: "b"}
	release      = record.Release{Service: "booking", Shards: []topology.ShardID{3}, Partition: "booking.a.0", DataCentre: "a"}
)

func withStoppedDataCentre(t record.TakeOver, id string) record.TakeOver {
	t.From, t.HostsStoppedID = "a", id
	return t
}

// step is a record and a prefix of its expected outcome; "" means Applied.
type step struct {
	data []byte
	want string
}

func describe(o Outcome) string {
	if o.Kind == Applied {
		return ""
	}
	if o.Err != nil {
		return o.Err.Error()
	}
	if o.First != nil {
		return fmt.Sprintf("duplicate of %d", o.First.Offset)
	}
	return o.Kind.String()
}

// TestStreamRules guards against records that are accepted although they break a
// rule of their stream, and against valid records that are rejected. It also
// checks that a snapshot restores to the same state.
func TestStreamRules(t *testing.T) {
	firstList := encodeRecord(record.KindMembers, "v1", -1, memberList(1, "h1", "h2", "h3"))
	newConfig := func() *Fold { return NewConfig().Fold }
	newMembers := func() *Fold { return NewMembers().Fold }
	newAssignments := func() *Fold { return NewAssignments("c").Fold }
	withoutReason := slotsChange(2)
	withoutReason.Exceptions = []config.Exception{{ID: "x", Target: config.Target{Service: "booking"}, Setting: "slots", Value: []byte("3")}}
	for name, c := range map[string]struct {
		fold  func() *Fold
		steps []step
	}{
		"first configuration, change, whole document": {newConfig, []step{
			{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), ""}, {encodeRecord(record.KindConfigChange, "b", 0, slotsChange(2)), ""}, {encodeRecord(record.KindConfig, "c", 1, configDoc(3)), ""}}},
		"repeat after a lost reply has no effect": {newConfig, []step{
			{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), ""}, {encodeRecord(record.KindConfig, "a", -1, configDoc(1)), "duplicate of 0"},
			{encodeRecord(record.KindConfigChange, "b", 0, slotsChange(2)), ""}, {encodeRecord(record.KindConfig, "a", -1, configDoc(1)), "duplicate of 0"}}},
		"two concurrent changes: the first wins and is named": {newConfig, []step{
			{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), ""}, {encodeRecord(record.KindConfigChange, "b", 0, slotsChange(2)), ""},
			{encodeRecord(record.KindConfigChange, "c", 0, slotsChange(3)), `configuration: base 0 is older than revision 1 of writer "w-b"`},
			{encodeRecord(record.KindConfigChange, "d", 1, slotsChange(3)), ""}}},
		"rejected record does not become a revision": {newConfig, []step{
			{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), ""}, {encodeRecord(record.KindConfigChange, "b", 0, withoutReason), `invalid record: exception "x": needs a written reason`},
			{encodeRecord(record.KindConfigChange, "c", 0, slotsChange(3)), ""}}},
		"base in the future": {newConfig, []step{{encodeRecord(record.KindConfig, "a", 0, configDoc(1)), "invalid record: base is not older"}}},
		"removed service keeps its shard count": {newConfig, []step{
			{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), ""},
			{encodeRecord(record.KindConfigChange, "b", 0, config.Change{Services: map[topology.Service]*config.Service{"booking": nil}}), ""},
			{encodeRecord(record.KindConfigChange, "c", 1, config.Change{Services: map[topology.Service]*config.Service{"booking": {Shards: 9, DataCentres: []topology.DataCentre{"a"}, Slots: 1, MaxConns: 1}}}), `invalid record: service "booking" had 8 shards`}}},
		"malformed and unknown records do not change the state": {newConfig, []step{
			{[]byte("{"), "invalid record: decode"}, {[]byte(`{"version":0}`), "invalid record: record has no valid version"},
			{[]byte(`{"version":1,"kind":"config","id":"a","base":-1,"writer":"w","body":{},"more":1}`), "invalid record: decode record: json: unknown field"},
			{[]byte(`{"version":7,"kind":4}`), "unknown"}, {encodeRecord("later", "z", -1, 1), "unknown"},
			{encodeRecord(record.KindConfig, "a", -1, configDoc(1)), ""}}},
		"first list of a cell wins": {newMembers, []step{
			{encodeRecord(record.KindMembers, "x", -1, memberList(2, "h1")), "invalid record: the first list"},
			{firstList, ""}, {encodeRecord(record.KindMembers, "y", -1, memberList(1, "h9")), "cell c: base -1 is older than revision 1"}}},
		"one pledge in mode normal": {newMembers, []step{{firstList, ""}, {encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(2, "h1"), record.ModeNormal, "h1")), ""}}},
		"one pledge in mode lost":   {newMembers, []step{{firstList, ""}, {encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(2, "h1"), record.ModeLost, "h1")), "invalid record: list 1 of 3 members has pledges of 1"}}},
		"one pledge counted twice":  {newMembers, []step{{firstList, ""}, {encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(2, "h1"), record.ModeLost, "h1", "h1")), "invalid record: list 1 of 3 members has pledges of 1"}}},
		"majority in mode lost":     {newMembers, []step{{firstList, ""}, {encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(2, "h1"), record.ModeLost, "h1", "h3")), ""}}},
		"no pledge":                 {newMembers, []step{{firstList, ""}, {encodeRecord(record.KindMembers, "b", 0, memberList(2, "h1")), "invalid record: list 1"}}},
		"pledge of a non-member":    {newMembers, []step{{firstList, ""}, {encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(2, "h4"), record.ModeNormal, "h4")), "invalid record: pledge of host h4"}}},
		"pledge for an older list": {newMembers, []step{{firstList, ""},
			{encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(2, "h1", "h2"), record.ModeNormal, "h1")), ""},
			{encodeRecord(record.KindMembers, "c", 1, record.MemberList{Cell: "c", DataCentre: "a", Version: 3, Members: []topology.Member{member("h1")},
				Pledges: []record.Pledge{{ListVersion: 1, Host: "h1", Incarnation: 1, Mode: record.ModeNormal}}}), "invalid record: pledge of host h1 incarnation 1 for list 1"}}},
		"version skipped": {newMembers, []step{{firstList, ""}, {encodeRecord(record.KindMembers, "b", 0, withPledges(memberList(3, "h1"), record.ModeNormal, "h1")), "invalid record: version 3"}}},
		"stopped hosts need no pledge and cannot be members again": {newMembers, []step{{firstList, ""},
			{encodeRecord(record.KindMembers, "b", 0, withHostsStopped(memberList(2, "h4"), "s")), `invalid record: hosts-stopped record "s" is not known`},
			{encodeRecord(record.KindHostsStopped, "s", -1, hostsStopped), ""}, {encodeRecord(record.KindMembers, "c", 0, withHostsStopped(memberList(2, "h1"), "s")), "invalid record: incarnation 1 of host h1"},
			{encodeRecord(record.KindMembers, "d", 0, withHostsStopped(memberList(2, "h4"), "s")), ""}}},
		"stopped hosts without a reason": {newMembers, []step{{encodeRecord(record.KindHostsStopped, "s", -1, record.HostsStopped{Members: hostsStopped.Members}), "invalid record: body of hosts-stopped record: a written reason"}}},
		"home: release, then take-over": {newMembers, []step{
			{encodeRecord(record.KindTakeOver, "t", -1, takeOver), "invalid record: shard booking/3 is not released"},
			{encodeRecord(record.KindRelease, "r", -1, release), ""}, {encodeRecord(record.KindRelease, "r2", 1, release), "invalid record: shard booking/3 is released already"},
			{encodeRecord(record.KindTakeOver, "u", 1, takeOver), ""}, {encodeRecord(record.KindTakeOver, "v", 1, takeOver), "homes of booking: base 1 is older than revision 3"},
			{encodeRecord(record.KindTakeOver, "w", 3, takeOver), "invalid record: shard booking/3 is not released"},
			{encodeRecord(record.KindRelease, "x", 3, release), "invalid record: home of shard booking/3 is booking.b.0"}}},
		"home: take-over from a stopped data centre": {newMembers, []step{{firstList, ""},
			{encodeRecord(record.KindHostsStopped, "s", -1, record.HostsStopped{Members: hostsStopped.Members[:2], Reason: "fire"}), ""},
			{encodeRecord(record.KindTakeOver, "t", -1, withStoppedDataCentre(takeOver, "s")), "invalid record: not all members"},
			{encodeRecord(record.KindHostsStopped, "s3", 1, hostsStopped), ""}, {encodeRecord(record.KindTakeOver, "u", -1, withStoppedDataCentre(takeOver, "s3")), ""}}},
		"assignments of a replaced leader": {newAssignments, []step{
			{encodeRecord(record.KindAssign, "a", -1, assignment("s1", 2, 0, 1)), ""},
			{encodeRecord(record.KindAssign, "b", -1, assignment("s2", 3, 1)), "partition p: base -1 is older than revision 0"},
			{encodeRecord(record.KindAssign, "c", 0, assignment("s2", 1, 1)), "invalid record: leader of list 1 term 1 was replaced by list 1 term 2"},
			{encodeRecord(record.KindAssign, "d", 0, assignment("s2", 2, 1, 1)), "invalid record: body of assign record: shard 1"},
			{encodeRecord(record.KindAssign, "e", 0, assignment("s2", 3, 1)), ""}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := c.fold()
			for i, s := range c.steps {
				got := describe(f.Apply(int64(i), s.data))
				g.Expect(got == s.want || s.want != "" && strings.HasPrefix(got, s.want)).To(BeTrue(), "step %d: %s", i, got)
			}
			restored := c.fold()
			g.Expect(restored.Restore(must(f.Snapshot()))).To(Succeed())
			g.Expect(must(restored.Snapshot())).To(Equal(must(f.Snapshot())))
			repeat := c.steps[0].data
			g.Expect(describe(restored.Apply(restored.NextOffset(), repeat))).To(Equal(describe(f.Apply(f.NextOffset(), repeat))), "a snapshot must contain the ids")
		})
	}
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// noBaseRule is a state machine without the base rule.
type noBaseRule struct{ stateMachine }

func (n noBaseRule) prepare(e record.Envelope) (change, error) {
	c, err := n.stateMachine.prepare(e)
	c.latest = nil
	return c, err
}

// TestRepeatAfterIDExpiry guards against a repeated record that is applied again
// after its id has expired. The second run shows that without the base rule it
// would be.
func TestRepeatAfterIDExpiry(t *testing.T) {
	g := NewWithT(t)
	slots := func(baseRule bool) int {
		m := NewConfig().machine.(*configMachine)
		f := newFold(record.StreamConfig, m)
		if !baseRule {
			f.machine = noBaseRule{m}
		}
		f.Apply(0, encodeRecord(record.KindConfig, "a", -1, configDoc(1)))
		for i := int64(1); i <= idWindow+1; i++ {
			f.Apply(i, encodeRecord(record.KindConfigChange, fmt.Sprint(i), i-1, slotsChange(2+int(i%2))))
		}
		_, ok := f.Find("a")
		g.Expect(ok).To(BeFalse(), "ids must expire")
		f.Apply(f.NextOffset(), encodeRecord(record.KindConfig, "a", -1, configDoc(1)))
		return m.Document.Services["booking"].Slots
	}
	g.Expect(slots(true)).To(Equal(3))
	g.Expect(slots(false)).To(Equal(1), "without the base rule the configuration reverts")
}

// TestSnapshotRules guards against a state that is replaced by an older snapshot,
// or by one that is malformed, of another stream or of a later release.
func TestSnapshotRules(t *testing.T) {
	g := NewWithT(t)
	c := NewConfig()
	c.Apply(0, encodeRecord(record.KindConfig, "a", -1, configDoc(1)))
	old := must(c.Snapshot())
	c.Apply(1, encodeRecord(record.KindConfigChange, "b", 0, slotsChange(2)))
	g.Expect(c.Restore(old)).To(MatchError(ErrNotNewer))
	for _, bad := range []string{"", "{}", "null", strings.Replace(string(old), `"version":1`, `"version":2`, 1),
		strings.Replace(string(old), `"stream":"config"`, `"stream":"members"`, 1), strings.Replace(string(old), `"slots":1`, `"slots":-1`, 1),
		strings.Replace(string(old), `"offset":0`, `"offset":9`, 1)} {
		err := NewConfig().Restore([]byte(bad))
		g.Expect(err).To(HaveOccurred(), bad)
		g.Expect(errors.Is(err, ErrNotNewer)).To(BeFalse())
	}
	future, err := record.SplitSnapshot(old, 9, 1, "w")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(describe(c.Apply(2, must(future[0].Encode())))).To(ContainSubstring("after itself"))
}

// TestQuarantine guards against requests that are not refused although they crash
// several servers, and against crashes that are counted twice.
func TestQuarantine(t *testing.T) {
	const at, minute = int64(1_000_000_000), int64(60_000)
	for name, c := range map[string]struct {
		crashes []record.Crashes
		until   int64
	}{
		"one crash":                          {[]record.Crashes{crashRecord("s1", at)}, 0},
		"one crash, two records":             {[]record.Crashes{crashRecord("s1", at), crashRecord("s1", at)}, 0},
		"two crashes":                        {[]record.Crashes{crashRecord("s1", at), crashRecord("s2", at+minute)}, at + 11*minute},
		"crashes reported out of order":      {[]record.Crashes{crashRecord("s1", at+minute), crashRecord("s2", at)}, at + 11*minute},
		"crashes too far apart":              {[]record.Crashes{crashRecord("s1", at), crashRecord("s2", at+10*minute)}, 0},
		"third crash extends the quarantine": {[]record.Crashes{crashRecord("s1", at), crashRecord("s2", at+minute), crashRecord("s3", at+2*minute)}, at + 12*minute},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQuarantine()
			for i, body := range c.crashes {
				NewWithT(t).Expect(q.Apply(int64(i), encodeRecord(record.KindCrashes, fmt.Sprint(i), -1, body)).Kind).To(Equal(Applied))
			}
			got := q.RefusedUntil("f")
			NewWithT(t).Expect(got.IsZero()).To(Equal(c.until == 0))
			NewWithT(t).Expect(c.until == 0 || got.UnixMilli() == c.until).To(BeTrue(), "%v", got)
		})
	}
}

// TestMixedReleases guards against a host of an old release that proposes a member
// list although a record that it does not understand may have replaced the newest
// list that it knows.
func TestMixedReleases(t *testing.T) {
	g := NewWithT(t)
	m := NewMembers()
	m.Apply(0, unknownVersionRecord(map[string]any{"cell": "d"}))
	g.Expect([]bool{m.MayPropose("c"), m.MayPropose("d")}).To(Equal([]bool{true, false}))
	for i := range int64(maxUnknown) {
		m.Apply(1+i, unknownVersionRecord(map[string]any{"cell": "d"}))
	}
	g.Expect(m.MayPropose("c")).To(BeFalse(), "more unknown records than are stored")
	stored, count := m.UnknownRecords()
	g.Expect(stored).To(HaveLen(maxUnknown))
	g.Expect(count).To(BeEquivalentTo(maxUnknown + 1))
	restored := NewMembers()
	g.Expect(restored.Restore(must(m.Snapshot()))).To(Succeed())
	g.Expect(restored.MayPropose("c")).To(BeFalse(), "a snapshot must not hide unknown records")
}

// TestAssignSnapshot guards against snapshots whose bytes depend on the iteration
// order of a map, and against owners that are missing after a restore.
func TestAssignSnapshot(t *testing.T) {
	g := NewWithT(t)
	a := NewAssignments("c")
	for i := range int64(64) {
		body := assignment(fmt.Sprint("s", i%7), uint32(i), topology.ShardID(i), topology.ShardID(200-i))
		body.Grants[0].Keys = []record.SplitKey{{Shard: topology.ShardID(i), Key: "hot"}}
		a.Apply(i, encodeRecord(record.KindAssign, fmt.Sprint(i), i-1, body))
	}
	b := NewAssignments("c")
	g.Expect(b.Restore(must(a.Snapshot()))).To(Succeed())
	g.Expect(must(b.Snapshot())).To(Equal(must(a.Snapshot())))
	o, ok := b.Owner("p", topology.ShardRef{Service: "booking", Shard: 9, Key: "hot"})
	g.Expect(ok && o.Server == "s2" && o.Fence.Term == 9).To(BeTrue(), "%+v", o)
}
