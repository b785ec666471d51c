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

// enc encodes a record of a writer named after its id.
func enc(kind record.Kind, id string, base int64, body any) []byte {
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

func doc(slots int) *config.Document {
	return &config.Document{
		Services:  map[topology.Service]config.Service{"booking": {Shards: 8, DataCentres: []topology.DataCentre{"a"}, Slots: slots, MaxConns: 1}},
		Customers: map[topology.Customer]config.Customer{"pewright": {Share: 1}},
	}
}

func slotsChange(slots int) config.Change { return config.Diff(doc(1), doc(slots)) }

func member(host string) topology.Member {
	return topology.Member{Host: topology.HostID(host), Incarnation: 1}
}

func list(version uint32, hosts ...string) record.MemberList {
	l := record.MemberList{Cell: "c", DataCentre: "a", Version: version}
	for _, h := range hosts {
		l.Members = append(l.Members, member(h))
	}
	return l
}

func pledged(l record.MemberList, mode record.Mode, hosts ...string) record.MemberList {
	for _, h := range hosts {
		l.Pledges = append(l.Pledges, record.Pledge{ListVersion: l.Version - 1, Host: topology.HostID(h), Incarnation: 1, Mode: mode})
	}
	return l
}

func stoppedBy(l record.MemberList, id string) record.MemberList {
	l.HostsStoppedID = id
	return l
}

func newer(body any) []byte {
	e, _ := record.New(record.KindMembers, -1, "w-new", body)
	e.Version = 2
	data, _ := e.Encode()
	return data
}

func assigned(server string, term uint32, shards ...topology.ShardID) record.Assignments {
	return record.Assignments{Partition: "p", Service: "booking", ListVersion: 1, Term: term, Grants: []record.Grant{{
		Server: topology.ServerID(server), Fence: topology.Fence{List: 1, Term: term, Seq: 1}, Reason: "test", Shards: shards,
	}}}
}

func crashOf(server string, at int64) record.Crashes {
	return record.Crashes{Suspects: []record.Crash{{Fingerprint: "f", Server: topology.ServerID(server), Incarnation: 1, At: at}}}
}

var (
	stop3 = record.HostsStopped{Members: []topology.Member{member("h1"), member("h2"), member("h3")}, Reason: "fire"}
	move  = record.TakeOver{Service: "booking", Shards: []topology.ShardID{3}, Partition: "booking.b.0", DataCentre: "b"}
	free  = record.Release{Service: "booking", Shards: []topology.ShardID{3}, Partition: "booking.a.0", DataCentre: "a"}
)

func lost(t record.TakeOver, id string) record.TakeOver {
	t.From, t.HostsStoppedID = "a", id
	return t
}

// step is one record and the start of its expected outcome; "" is applied.
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

// TestRules guards against records that are accepted although a rule of their
// stream forbids it, and against the refusal of valid ones.
func TestRules(t *testing.T) {
	three := enc(record.KindMembers, "v1", -1, list(1, "h1", "h2", "h3"))
	cfg := func() *Fold { return NewConfig().Fold }
	mem := func() *Fold { return NewMembers().Fold }
	asg := func() *Fold { return NewAssignments("c").Fold }
	withReason := slotsChange(2)
	withReason.Exceptions = []config.Exception{{ID: "x", Target: config.Target{Service: "booking"}, Setting: "slots", Value: []byte("3")}}
	for name, c := range map[string]struct {
		fold  func() *Fold
		steps []step
	}{
		"first configuration, change, whole document": {cfg, []step{
			{enc(record.KindConfig, "a", -1, doc(1)), ""}, {enc(record.KindConfigChange, "b", 0, slotsChange(2)), ""}, {enc(record.KindConfig, "c", 1, doc(3)), ""}}},
		"lost reply: the repeat has no effect": {cfg, []step{
			{enc(record.KindConfig, "a", -1, doc(1)), ""}, {enc(record.KindConfig, "a", -1, doc(1)), "duplicate of 0"},
			{enc(record.KindConfigChange, "b", 0, slotsChange(2)), ""}, {enc(record.KindConfig, "a", -1, doc(1)), "duplicate of 0"}}},
		"two operators: the first wins and is named": {cfg, []step{
			{enc(record.KindConfig, "a", -1, doc(1)), ""}, {enc(record.KindConfigChange, "b", 0, slotsChange(2)), ""},
			{enc(record.KindConfigChange, "c", 0, slotsChange(3)), `configuration: base 0 is older than revision 1 of writer "w-b"`},
			{enc(record.KindConfigChange, "d", 1, slotsChange(3)), ""}}},
		"a rejected record is not a revision": {cfg, []step{
			{enc(record.KindConfig, "a", -1, doc(1)), ""}, {enc(record.KindConfigChange, "b", 0, withReason), `invalid record: exception "x": needs a written reason`},
			{enc(record.KindConfigChange, "c", 0, slotsChange(3)), ""}}},
		"base in the future": {cfg, []step{{enc(record.KindConfig, "a", 0, doc(1)), "invalid record: base is not older"}}},
		"shards of a removed service stay": {cfg, []step{
			{enc(record.KindConfig, "a", -1, doc(1)), ""},
			{enc(record.KindConfigChange, "b", 0, config.Change{Services: map[topology.Service]*config.Service{"booking": nil}}), ""},
			{enc(record.KindConfigChange, "c", 1, config.Change{Services: map[topology.Service]*config.Service{"booking": {Shards: 9, DataCentres: []topology.DataCentre{"a"}, Slots: 1, MaxConns: 1}}}), `invalid record: service "booking" had 8 shards`}}},
		"garbage and unknown records change nothing": {cfg, []step{
			{[]byte("{"), "invalid record: decode"}, {[]byte(`{"version":0}`), "invalid record: record has no valid version"},
			{[]byte(`{"version":1,"kind":"config","id":"a","base":-1,"writer":"w","body":{},"more":1}`), "invalid record: decode record: json: unknown field"},
			{[]byte(`{"version":7,"kind":4}`), "unknown"}, {enc("later", "z", -1, 1), "unknown"},
			{enc(record.KindConfig, "a", -1, doc(1)), ""}}},
		"first list of a cell wins": {mem, []step{
			{enc(record.KindMembers, "x", -1, list(2, "h1")), "invalid record: the first list"},
			{three, ""}, {enc(record.KindMembers, "y", -1, list(1, "h9")), "cell c: base -1 is older than revision 1"}}},
		"one pledge in mode normal": {mem, []step{{three, ""}, {enc(record.KindMembers, "b", 0, pledged(list(2, "h1"), record.ModeNormal, "h1")), ""}}},
		"one pledge in mode lost":   {mem, []step{{three, ""}, {enc(record.KindMembers, "b", 0, pledged(list(2, "h1"), record.ModeLost, "h1")), "invalid record: list 1 of 3 members has pledges of 1"}}},
		"one pledge counted twice":  {mem, []step{{three, ""}, {enc(record.KindMembers, "b", 0, pledged(list(2, "h1"), record.ModeLost, "h1", "h1")), "invalid record: list 1 of 3 members has pledges of 1"}}},
		"majority in mode lost":     {mem, []step{{three, ""}, {enc(record.KindMembers, "b", 0, pledged(list(2, "h1"), record.ModeLost, "h1", "h3")), ""}}},
		"no pledge":                 {mem, []step{{three, ""}, {enc(record.KindMembers, "b", 0, list(2, "h1")), "invalid record: list 1"}}},
		"pledge of a stranger":      {mem, []step{{three, ""}, {enc(record.KindMembers, "b", 0, pledged(list(2, "h4"), record.ModeNormal, "h4")), "invalid record: pledge of host h4"}}},
		"pledge for an older list": {mem, []step{{three, ""},
			{enc(record.KindMembers, "b", 0, pledged(list(2, "h1", "h2"), record.ModeNormal, "h1")), ""},
			{enc(record.KindMembers, "c", 1, record.MemberList{Cell: "c", DataCentre: "a", Version: 3, Members: []topology.Member{member("h1")},
				Pledges: []record.Pledge{{ListVersion: 1, Host: "h1", Incarnation: 1, Mode: record.ModeNormal}}}), "invalid record: pledge of host h1 incarnation 1 for list 1"}}},
		"version skipped": {mem, []step{{three, ""}, {enc(record.KindMembers, "b", 0, pledged(list(3, "h1"), record.ModeNormal, "h1")), "invalid record: version 3"}}},
		"stopped hosts need no pledge, and do not come back": {mem, []step{{three, ""},
			{enc(record.KindMembers, "b", 0, stoppedBy(list(2, "h4"), "s")), `invalid record: hosts-stopped record "s" is not known`},
			{enc(record.KindHostsStopped, "s", -1, stop3), ""}, {enc(record.KindMembers, "c", 0, stoppedBy(list(2, "h1"), "s")), "invalid record: incarnation 1 of host h1"},
			{enc(record.KindMembers, "d", 0, stoppedBy(list(2, "h4"), "s")), ""}}},
		"stopped hosts without a reason": {mem, []step{{enc(record.KindHostsStopped, "s", -1, record.HostsStopped{Members: stop3.Members}), "invalid record: body of hosts-stopped record: a written reason"}}},
		"home: release, then take-over": {mem, []step{
			{enc(record.KindTakeOver, "t", -1, move), "invalid record: shard booking/3 is not released"},
			{enc(record.KindRelease, "r", -1, free), ""}, {enc(record.KindRelease, "r2", 1, free), "invalid record: shard booking/3 is released already"},
			{enc(record.KindTakeOver, "u", 1, move), ""}, {enc(record.KindTakeOver, "v", 1, move), "homes of booking: base 1 is older than revision 3"},
			{enc(record.KindTakeOver, "w", 3, move), "invalid record: shard booking/3 is not released"},
			{enc(record.KindRelease, "x", 3, free), "invalid record: home of shard booking/3 is booking.b.0"}}},
		"home: data centre lost": {mem, []step{{three, ""},
			{enc(record.KindHostsStopped, "s", -1, record.HostsStopped{Members: stop3.Members[:2], Reason: "fire"}), ""},
			{enc(record.KindTakeOver, "t", -1, lost(move, "s")), "invalid record: not all members"},
			{enc(record.KindHostsStopped, "s3", 1, stop3), ""}, {enc(record.KindTakeOver, "u", -1, lost(move, "s3")), ""}}},
		"assignments of a replaced leader": {asg, []step{
			{enc(record.KindAssign, "a", -1, assigned("s1", 2, 0, 1)), ""},
			{enc(record.KindAssign, "b", -1, assigned("s2", 3, 1)), "partition p: base -1 is older than revision 0"},
			{enc(record.KindAssign, "c", 0, assigned("s2", 1, 1)), "invalid record: leader of list 1 term 1 was replaced by list 1 term 2"},
			{enc(record.KindAssign, "d", 0, assigned("s2", 2, 1, 1)), "invalid record: body of assign record: shard 1"},
			{enc(record.KindAssign, "e", 0, assigned("s2", 3, 1)), ""}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := c.fold()
			for i, s := range c.steps {
				got := describe(f.Apply(int64(i), s.data))
				g.Expect(got == s.want || s.want != "" && strings.HasPrefix(got, s.want)).To(BeTrue(), "step %d: %s", i, got)
			}
			again := c.fold()
			g.Expect(again.Restore(must(f.Snapshot()))).To(Succeed())
			g.Expect(must(again.Snapshot())).To(Equal(must(f.Snapshot())))
			repeat := c.steps[0].data
			g.Expect(describe(again.Apply(again.NextOffset(), repeat))).To(Equal(describe(f.Apply(f.NextOffset(), repeat))), "a snapshot must not forget ids")
		})
	}
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// noBaseRule switches the base rule off.
type noBaseRule struct{ machine }

func (n noBaseRule) prepare(e record.Envelope) (change, error) {
	c, err := n.machine.prepare(e)
	c.latest = nil
	return c, err
}

// TestLateRepeats guards against a repeat that takes effect after its id was
// forgotten, and shows that the base rule is what prevents it.
func TestLateRepeats(t *testing.T) {
	g := NewWithT(t)
	slots := func(baseRule bool) int {
		m := NewConfig().machine.(*configMachine)
		f := newFold(record.StreamConfig, m)
		if !baseRule {
			f.machine = noBaseRule{m}
		}
		f.Apply(0, enc(record.KindConfig, "a", -1, doc(1)))
		for i := int64(1); i <= idWindow+1; i++ {
			f.Apply(i, enc(record.KindConfigChange, fmt.Sprint(i), i-1, slotsChange(2+int(i%2))))
		}
		_, ok := f.Find("a")
		g.Expect(ok).To(BeFalse(), "memory of ids must be bounded")
		f.Apply(f.NextOffset(), enc(record.KindConfig, "a", -1, doc(1)))
		return m.Document.Services["booking"].Slots
	}
	g.Expect(slots(true)).To(Equal(3))
	g.Expect(slots(false)).To(Equal(1), "the configuration reverts")
}

// TestSnapshotRules guards against a state that goes back or comes from
// another stream, a later release, or a damaged snapshot.
func TestSnapshotRules(t *testing.T) {
	g := NewWithT(t)
	c := NewConfig()
	c.Apply(0, enc(record.KindConfig, "a", -1, doc(1)))
	old := must(c.Snapshot())
	c.Apply(1, enc(record.KindConfigChange, "b", 0, slotsChange(2)))
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

// TestQuarantine guards against a request that goes on crashing servers, and
// against crashes that are counted twice.
func TestQuarantine(t *testing.T) {
	const at, minute = int64(1_000_000_000), int64(60_000)
	for name, c := range map[string]struct {
		crashes []record.Crashes
		until   int64
	}{
		"one crash":              {[]record.Crashes{crashOf("s1", at)}, 0},
		"one crash, two records": {[]record.Crashes{crashOf("s1", at), crashOf("s1", at)}, 0},
		"two crashes":            {[]record.Crashes{crashOf("s1", at), crashOf("s2", at+minute)}, at + 11*minute},
		"late order":             {[]record.Crashes{crashOf("s1", at+minute), crashOf("s2", at)}, at + 11*minute},
		"too far apart":          {[]record.Crashes{crashOf("s1", at), crashOf("s2", at+10*minute)}, 0},
		"third crash prolongs":   {[]record.Crashes{crashOf("s1", at), crashOf("s2", at+minute), crashOf("s3", at+2*minute)}, at + 12*minute},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQuarantine()
			for i, body := range c.crashes {
				NewWithT(t).Expect(q.Apply(int64(i), enc(record.KindCrashes, fmt.Sprint(i), -1, body)).Kind).To(Equal(Applied))
			}
			got := q.RefusedUntil("f")
			NewWithT(t).Expect(got.IsZero()).To(Equal(c.until == 0))
			NewWithT(t).Expect(c.until == 0 || got.UnixMilli() == c.until).To(BeTrue(), "%v", got)
		})
	}
}

// TestMixedReleases guards against a host of an old release that proposes
// lists although it cannot know the newest one.
func TestMixedReleases(t *testing.T) {
	g := NewWithT(t)
	m := NewMembers()
	m.Apply(0, newer(map[string]any{"cell": "d"}))
	g.Expect([]bool{m.MayPropose("c"), m.MayPropose("d")}).To(Equal([]bool{true, false}))
	for i := range int64(maxUnknown) {
		m.Apply(1+i, newer(map[string]any{"cell": "d"}))
	}
	g.Expect(m.MayPropose("c")).To(BeFalse(), "more unknown records than are kept")
	kept, all := m.UnknownRecords()
	g.Expect(kept).To(HaveLen(maxUnknown))
	g.Expect(all).To(BeEquivalentTo(maxUnknown + 1))
	restored := NewMembers()
	g.Expect(restored.Restore(must(m.Snapshot()))).To(Succeed())
	g.Expect(restored.MayPropose("c")).To(BeFalse(), "a snapshot must not hide unknown records")
}

// TestAssignSnapshot guards against snapshots whose bytes depend on the order
// of a map, and against owners that a snapshot loses.
func TestAssignSnapshot(t *testing.T) {
	g := NewWithT(t)
	a := NewAssignments("c")
	for i := range int64(64) {
		body := assigned(fmt.Sprint("s", i%7), uint32(i), topology.ShardID(i), topology.ShardID(200-i))
		body.Grants[0].Keys = []record.SplitKey{{Shard: topology.ShardID(i), Key: "hot"}}
		a.Apply(i, enc(record.KindAssign, fmt.Sprint(i), i-1, body))
	}
	b := NewAssignments("c")
	g.Expect(b.Restore(must(a.Snapshot()))).To(Succeed())
	g.Expect(must(b.Snapshot())).To(Equal(must(a.Snapshot())))
	o, ok := b.Owner("p", topology.ShardRef{Service: "booking", Shard: 9, Key: "hot"})
	g.Expect(ok && o.Server == "s2" && o.Fence.Term == 9).To(BeTrue(), "%+v", o)
}
