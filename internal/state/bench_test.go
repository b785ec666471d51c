package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const benchCellHosts = 5

// benchSizes are sizes of deployments. The last one exceeds the size that is
// planned for in two years.
var benchSizes = []struct{ hosts, shards, customers, exceptions int }{
	{500, 1 << 10, 250, 10}, {1000, 4 << 10, 500, 30}, {2000, 16 << 10, 1000, 100}, {4000, 64 << 10, 2000, 300},
}

func benchConfig(customers, exceptions int) *Config {
	d := configDoc(2)
	for i := range customers {
		d.Customers[topology.Customer(fmt.Sprintf("customer-%04d", i))] = config.Customer{Share: float64(1 + i%9)}
	}
	for i := range exceptions {
		d.Exceptions = append(d.Exceptions, config.Exception{
			ID: fmt.Sprint("x", i), Target: config.Target{Customer: topology.Customer(fmt.Sprintf("customer-%04d", i%customers)), DataCentre: topology.DataCentre(fmt.Sprint("d", i))},
			Setting: "share", Value: json.RawMessage("5"), Reason: "double load during the harvest until the new hosts are in place",
		})
	}
	c := NewConfig()
	c.Apply(0, encodeRecord(record.KindConfig, "first", -1, d))
	return c
}

func benchList(i int, version uint32) record.MemberList {
	l := record.MemberList{Cell: topology.CellID(fmt.Sprintf("cell-%04d", i)), DataCentre: topology.DataCentre(fmt.Sprint("d", i%7)), Version: version}
	for j := range benchCellHosts {
		l.Members = append(l.Members, topology.Member{Host: topology.HostID(fmt.Sprintf("entry-%04d", i*benchCellHosts+j)), Incarnation: 1_700_000_000_000_000_000})
	}
	return l
}

func benchMembers(hosts int) *Members {
	m := NewMembers()
	for i := range hosts / benchCellHosts {
		m.Apply(int64(i), encodeRecord(record.KindMembers, fmt.Sprintf("11111111-2222-3333-4444-%012d", i), -1, benchList(i, 1)))
	}
	return m
}

func benchGrants(shards, firstShard int, term uint32) record.Assignments {
	a := record.Assignments{Partition: "p", Service: "booking", ListVersion: 1, Term: term}
	for i := range 20 {
		g := record.Grant{Server: topology.ServerID(fmt.Sprint("server-", i)), Fence: topology.Fence{List: 1, Term: term, Seq: uint64(i)}, Since: 1_700_000_000_000, Reason: "leader started"}
		for s := firstShard + i; s < firstShard+shards; s += 20 {
			g.Shards = append(g.Shards, topology.ShardID(s))
		}
		a.Grants = append(a.Grants, g)
	}
	return a
}

func benchAssignments(shards int) *Assignments {
	a := NewAssignments("c")
	a.Apply(0, encodeRecord(record.KindAssign, "first", -1, benchGrants(shards, 0, 1)))
	return a
}

// BenchmarkFold measures the time to apply one record, the size of snapshots, and
// the time to encode and restore one.
func BenchmarkFold(b *testing.B) {
	for _, size := range benchSizes {
		c, m, a := benchConfig(size.customers, size.exceptions), benchMembers(size.hosts), benchAssignments(size.shards)
		for _, s := range []struct {
			name string
			fold *Fold
			// next returns a record that is valid at an offset.
			next  func(offset int64) []byte
			fresh func() *Fold
		}{
			{fmt.Sprintf("config/customers=%d/exceptions=%d", size.customers, size.exceptions), c.Fold, func(o int64) []byte {
				_, rev := c.Document()
				return encodeRecord(record.KindConfigChange, fmt.Sprint(o), rev.Offset, config.Change{Customers: map[topology.Customer]*config.Customer{"pewright": {Share: float64(1 + o%5)}}})
			}, func() *Fold { return NewConfig().Fold }},
			{fmt.Sprintf("members/hosts=%d", size.hosts), m.Fold, func(o int64) []byte {
				i := int(o) % (size.hosts / benchCellHosts)
				old, _ := m.List(benchList(i, 1).Cell)
				l := benchList(i, old.Version+1)
				l.Pledges = []record.Pledge{{ListVersion: old.Version, Host: l.Members[0].Host, Incarnation: l.Members[0].Incarnation, Mode: record.ModeNormal}}
				return encodeRecord(record.KindMembers, fmt.Sprint(o), old.Revision.Offset, l)
			}, func() *Fold { return NewMembers().Fold }},
			{fmt.Sprintf("assign/shards=%d", size.shards), a.Fold, func(o int64) []byte {
				body := benchGrants(8, int(o)%size.shards, uint32(o+1))
				body.Grants = body.Grants[:8]
				return encodeRecord(record.KindAssign, fmt.Sprint(o), a.Revision("p").Offset, body)
			}, func() *Fold { return NewAssignments("c").Fold }},
		} {
			data := must(s.fold.Snapshot())
			parts, err := record.SplitSnapshot(data, s.fold.NextOffset(), 1, "w")
			if err != nil {
				b.Fatal(err)
			}
			encodedBytes := 0
			for _, e := range parts {
				encodedBytes += len(must(e.Encode()))
			}
			b.Run("snapshot/"+s.name, func(b *testing.B) {
				for b.Loop() {
					_ = must(s.fold.Snapshot())
				}
				b.ReportMetric(float64(len(data)), "state-bytes")
				b.ReportMetric(float64(encodedBytes), "log-bytes")
				b.ReportMetric(float64(len(parts)), "parts")
			})
			b.Run("restore/"+s.name, func(b *testing.B) {
				for b.Loop() {
					if err := s.fresh().Restore(data); err != nil {
						b.Fatal(err)
					}
				}
			})
			b.Run("record/"+s.name, func(b *testing.B) {
				bytes := 0
				for b.Loop() {
					b.StopTimer()
					r := s.next(s.fold.NextOffset())
					bytes = len(r)
					b.StartTimer()
					if out := s.fold.Apply(s.fold.NextOffset(), r); out.Kind != Applied {
						b.Fatal(out)
					}
				}
				b.ReportMetric(float64(bytes), "record-bytes")
			})
		}
	}
}
