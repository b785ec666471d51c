package state

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Owner is the recorded owner of a shard or a split key.
type Owner struct {
	Server topology.ServerID `json:"server"`
	Fence  topology.Fence    `json:"fence"`
	Since  int64             `json:"since_ms"` // wall clock, Unix milliseconds
	Reason string            `json:"reason"`
}

// Assignments is the state of the assignment stream of one cell: the owners of
// shards and split keys. Subjects of the base rule are partitions.
type Assignments struct{ *Fold }

// NewAssignments returns the state before the first record.
func NewAssignments(cell topology.CellID) *Assignments {
	return &Assignments{newFold(record.StreamAssign(cell), &assignMachine{partitions: make(map[topology.PartitionID]*partitionAssignments)})}
}

// Owner returns the recorded owner of a shard or a split key.
func (a *Assignments) Owner(id topology.PartitionID, ref topology.ShardRef) (Owner, bool) {
	p, ok := a.machine.(*assignMachine).partitions[id]
	if !ok || p.service != ref.Service {
		return Owner{}, false
	}
	o, ok := p.owners[record.SplitKey{Shard: ref.Shard, Key: ref.Key}]
	return o, ok
}

// Owners returns the owners of all shards and split keys of a partition and the
// revision of its last change. The key of a shard has an empty Key.
func (a *Assignments) Owners(id topology.PartitionID) (map[record.SplitKey]Owner, Revision) {
	p, ok := a.machine.(*assignMachine).partitions[id]
	if !ok {
		return nil, noRevision
	}
	return maps.Clone(p.owners), p.revision
}

// Revision returns the revision of the last change of a partition.
func (a *Assignments) Revision(id topology.PartitionID) Revision {
	if p, ok := a.machine.(*assignMachine).partitions[id]; ok {
		return p.revision
	}
	return noRevision
}

// partitionAssignments holds the owners of one partition. listVersion and term
// identify the leadership that wrote the last change.
type partitionAssignments struct {
	service     topology.Service
	revision    Revision
	listVersion uint32
	term        uint32
	owners      map[record.SplitKey]Owner
}

type assignMachine struct {
	partitions map[topology.PartitionID]*partitionAssignments
}

func (m *assignMachine) known(k record.Kind) bool { return k == record.KindAssign }

func (m *assignMachine) prepare(e record.Envelope) (change, error) {
	a, err := record.Body[record.Assignments](e)
	if err != nil {
		return change{}, err
	}
	p, ok := m.partitions[a.Partition]
	if !ok {
		p = &partitionAssignments{service: a.Service, revision: noRevision, owners: make(map[record.SplitKey]Owner)}
	}
	return change{
		subject: fmt.Sprintf("partition %s", a.Partition), latest: &p.revision,
		check: func() error { return p.check(a) },
		commit: func(r Revision) {
			p.apply(a)
			p.revision = r
			m.partitions[a.Partition] = p
		},
	}, nil
}

// check rejects records of a leader that has been replaced. The base rule is not
// enough, because such a leader also reads the records of its successor and can
// use them as its base.
func (p *partitionAssignments) check(a record.Assignments) error {
	if a.Service != p.service {
		return fmt.Errorf("partition belongs to service %s, not %s", p.service, a.Service)
	}
	if a.ListVersion < p.listVersion || a.ListVersion == p.listVersion && a.Term < p.term {
		return fmt.Errorf("leader of list %d term %d was replaced by list %d term %d", a.ListVersion, a.Term, p.listVersion, p.term)
	}
	for _, g := range a.Grants {
		for k := range grantKeys(g) {
			if old, ok := p.owners[k]; ok && g.Fence.Compare(old.Fence) < 0 {
				return fmt.Errorf("fence %s of shard %d is older than %s", g.Fence, k.Shard, old.Fence)
			}
		}
	}
	return nil
}

func (p *partitionAssignments) apply(a record.Assignments) {
	p.listVersion, p.term = a.ListVersion, a.Term
	for _, g := range a.Grants {
		o := Owner{Server: g.Server, Fence: g.Fence, Since: g.Since, Reason: g.Reason}
		for k := range grantKeys(g) {
			p.owners[k] = o
		}
	}
	for _, k := range a.Joined {
		delete(p.owners, k)
	}
	for _, s := range a.Dropped {
		delete(p.owners, record.SplitKey{Shard: s})
	}
}

// grantKeys yields the shards and split keys of a grant.
func grantKeys(g record.Grant) func(func(record.SplitKey) bool) {
	return func(yield func(record.SplitKey) bool) {
		for _, s := range g.Shards {
			if !yield(record.SplitKey{Shard: s}) {
				return
			}
		}
		for _, k := range g.Keys {
			if !yield(k) {
				return
			}
		}
	}
}

// encodedPartition is the encoded form of a partition. Shards and keys with the
// same owner share one grant, which makes snapshots smaller by an order of
// magnitude.
type encodedPartition struct {
	Partition   topology.PartitionID `json:"partition"`
	Service     topology.Service     `json:"service"`
	Revision    Revision             `json:"revision"`
	ListVersion uint32               `json:"list"`
	Term        uint32               `json:"term"`
	Grants      []record.Grant       `json:"grants"`
}

func (m *assignMachine) snapshot() any {
	all := make([]encodedPartition, 0, len(m.partitions))
	for _, id := range slices.Sorted(maps.Keys(m.partitions)) {
		p := m.partitions[id]
		all = append(all, encodedPartition{Partition: id, Service: p.service, Revision: p.revision, ListVersion: p.listVersion, Term: p.term, Grants: p.grants()})
	}
	return all
}

// grants groups the shards and split keys by owner, in a deterministic order.
func (p *partitionAssignments) grants() []record.Grant {
	groups := make(map[Owner]*record.Grant)
	for k, o := range p.owners {
		g, ok := groups[o]
		if !ok {
			g = &record.Grant{Server: o.Server, Fence: o.Fence, Since: o.Since, Reason: o.Reason}
			groups[o] = g
		}
		if k.Key == "" {
			g.Shards = append(g.Shards, k.Shard)
		} else {
			g.Keys = append(g.Keys, k)
		}
	}
	grants := make([]record.Grant, 0, len(groups))
	for _, g := range groups {
		slices.Sort(g.Shards)
		slices.SortFunc(g.Keys, func(a, b record.SplitKey) int {
			return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Key, b.Key))
		})
		grants = append(grants, *g)
	}
	slices.SortFunc(grants, func(a, b record.Grant) int {
		return cmp.Or(a.Fence.Compare(b.Fence), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Reason, b.Reason))
	})
	return grants
}

func (m *assignMachine) restore(data json.RawMessage) (stateMachine, error) {
	all, err := decodeState[[]encodedPartition](data)
	if err != nil {
		return nil, err
	}
	r := &assignMachine{partitions: make(map[topology.PartitionID]*partitionAssignments, len(all))}
	for _, s := range all {
		p := &partitionAssignments{service: s.Service, revision: s.Revision, owners: make(map[record.SplitKey]Owner)}
		p.apply(record.Assignments{ListVersion: s.ListVersion, Term: s.Term, Grants: s.Grants})
		r.partitions[s.Partition] = p
	}
	return r, nil
}
