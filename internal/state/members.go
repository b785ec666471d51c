package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// maxHostsStopped is the number of hosts-stopped records that are stored. They
// are published a few times a year and are used within minutes.
const maxHostsStopped = 64

// MemberList is the newest member list of a cell.
type MemberList struct {
	Cell       topology.CellID     `json:"cell"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Version    uint32              `json:"version"`
	Members    []topology.Member   `json:"members"`
	Revision   Revision            `json:"revision"`
}

// Home is the partition and data centre that own one shard.
type Home struct {
	Partition  topology.PartitionID `json:"partition"`
	DataCentre topology.DataCentre  `json:"data_centre"`
	// Generation is the Home field of fences. Every take-over increments it.
	Generation uint32 `json:"number"`
	// Released means that the home has given the shard up and no other
	// partition has taken it over.
	Released bool     `json:"released,omitempty"`
	Revision Revision `json:"revision"`
}

// HostsStopped is an accepted hosts-stopped record.
type HostsStopped struct {
	Members  []topology.Member `json:"members"`
	Reason   string            `json:"reason"`
	Revision Revision          `json:"revision"`
}

// Members is the state of the members stream: the member lists of cells, the
// homes of shards and the stopped hosts. Subjects of the base rule are the list
// of a cell, the home of a shard, and all stopped hosts together.
type Members struct{ *Fold }

// NewMembers returns the state before the first record.
func NewMembers() *Members {
	return &Members{newFold(record.StreamMembers, &membersMachine{
		Lists: make(map[topology.CellID]*MemberList), Homes: make(map[topology.Service]map[topology.ShardID]Home),
	})}
}

// List returns the newest member list of a cell.
func (m *Members) List(cell topology.CellID) (MemberList, bool) {
	l, ok := m.state().Lists[cell]
	if !ok {
		return MemberList{Revision: noRevision}, false
	}
	return *l, true
}

// Lists returns the newest member lists of all cells, ordered by cell.
func (m *Members) Lists() []MemberList {
	lists := make([]MemberList, 0, len(m.state().Lists))
	for _, cell := range slices.Sorted(maps.Keys(m.state().Lists)) {
		lists = append(lists, *m.state().Lists[cell])
	}
	return lists
}

// Home returns the recorded home of a shard. A shard without a record has the
// home that the configuration specifies, with generation 0.
func (m *Members) Home(service topology.Service, shard topology.ShardID) (Home, bool) {
	h, ok := m.state().Homes[service][shard]
	if !ok {
		return Home{Revision: noRevision}, false
	}
	return h, true
}

// StoppedHosts returns the stored hosts-stopped records, oldest first.
func (m *Members) StoppedHosts() []HostsStopped { return m.state().Stopped }

// StoppedRevision returns the revision that the next hosts-stopped record must
// have as its base.
func (m *Members) StoppedRevision() Revision {
	if n := len(m.state().Stopped); n > 0 {
		return m.state().Stopped[n-1].Revision
	}
	return noRevision
}

// MayPropose reports whether a host may propose a member list for the cell. It
// may not if an unknown record could concern the cell.
func (m *Members) MayPropose(cell topology.CellID) bool {
	stored, count := m.UnknownRecords()
	if count > int64(len(stored)) {
		return false
	}
	return !slices.ContainsFunc(stored, func(u UnknownRecord) bool { return u.Cell == "" || u.Cell == string(cell) })
}

func (m *Members) state() *membersMachine { return m.machine.(*membersMachine) }

type membersMachine struct {
	Lists   map[topology.CellID]*MemberList                `json:"lists"`
	Homes   map[topology.Service]map[topology.ShardID]Home `json:"homes"`
	Stopped []HostsStopped                                 `json:"stopped,omitempty"`
}

func (m *membersMachine) known(k record.Kind) bool {
	switch k {
	case record.KindMembers, record.KindHostsStopped, record.KindRelease, record.KindTakeOver:
		return true
	default:
		return false
	}
}

func (m *membersMachine) prepare(e record.Envelope) (change, error) {
	switch e.Kind {
	case record.KindMembers:
		return m.prepareList(e)
	case record.KindHostsStopped:
		return m.prepareStopped(e)
	case record.KindRelease:
		return m.prepareRelease(e)
	default:
		return m.prepareTakeOver(e)
	}
}

func (m *membersMachine) prepareStopped(e record.Envelope) (change, error) {
	h, err := record.Body[record.HostsStopped](e)
	if err != nil {
		return change{}, err
	}
	latest := noRevision
	if n := len(m.Stopped); n > 0 {
		latest = m.Stopped[n-1].Revision
	}
	return change{subject: "stopped hosts", latest: &latest, commit: func(r Revision) {
		m.Stopped = append(m.Stopped, HostsStopped{Members: h.Members, Reason: h.Reason, Revision: r})
		m.Stopped = m.Stopped[max(0, len(m.Stopped)-maxHostsStopped):]
	}}, nil
}

func (m *membersMachine) prepareList(e record.Envelope) (change, error) {
	l, err := record.Body[record.MemberList](e)
	if err != nil {
		return change{}, err
	}
	prev, ok := m.Lists[l.Cell]
	latest := noRevision
	if ok {
		latest = prev.Revision
	}
	return change{
		subject: fmt.Sprintf("cell %s", l.Cell), latest: &latest,
		check: func() error { return m.checkList(prev, l) },
		commit: func(r Revision) {
			m.Lists[l.Cell] = &MemberList{Cell: l.Cell, DataCentre: l.DataCentre, Version: l.Version, Members: l.Members, Revision: r}
		},
	}, nil
}

// checkList checks the successor of a member list. prev is nil for a cell
// without a list; the first valid record of a cell then becomes its list.
func (m *membersMachine) checkList(prev *MemberList, l record.MemberList) error {
	for _, member := range l.Members {
		if slices.ContainsFunc(m.Stopped, func(s HostsStopped) bool { return slices.Contains(s.Members, member) }) {
			return fmt.Errorf("incarnation %d of host %s was declared stopped", member.Incarnation, member.Host)
		}
	}
	if prev == nil {
		if l.Version != 1 || len(l.Pledges) > 0 || l.HostsStoppedID != "" {
			return errors.New("the first list of a cell has version 1 and no pledges")
		}
		return nil
	}
	if l.Version != prev.Version+1 {
		return fmt.Errorf("version %d does not follow version %d", l.Version, prev.Version)
	}
	if l.DataCentre != prev.DataCentre {
		return fmt.Errorf("cell is in data centre %s, not %s", prev.DataCentre, l.DataCentre)
	}
	return m.checkPledges(prev, l)
}

// checkPledges checks that enough members of prev consent to the new list. One
// pledge of a member in ModeNormal is enough, because the log then limits all
// leaders of prev. Otherwise the pledges must come from a blocking set, which is
// one that shares a member with every majority, so that every majority includes
// a member whose promises the log limits again. A stopped member supports no
// leader and therefore counts as consenting.
func (m *membersMachine) checkPledges(prev *MemberList, l record.MemberList) error {
	consenting := make(map[topology.HostID]bool)
	normal := false
	for _, p := range l.Pledges {
		member := topology.Member{Host: p.Host, Incarnation: p.Incarnation}
		if p.ListVersion != prev.Version || !slices.Contains(prev.Members, member) {
			return fmt.Errorf("pledge of host %s incarnation %d for list %d was not given by a member of list %d", p.Host, p.Incarnation, p.ListVersion, prev.Version)
		}
		consenting[p.Host] = true
		normal = normal || p.Mode == record.ModeNormal
	}
	if normal {
		return nil
	}
	if l.HostsStoppedID != "" {
		stopped, err := m.stoppedMembers(l.HostsStoppedID)
		if err != nil {
			return err
		}
		for _, member := range prev.Members {
			if slices.Contains(stopped, member) {
				consenting[member.Host] = true
			}
		}
	}
	blockingSetSize := len(prev.Members) - len(prev.Members)/2 // members minus majority plus one
	if len(consenting) < blockingSetSize {
		return fmt.Errorf("list %d of %d members has pledges of %d; %d are required, or one of a member in mode normal", prev.Version, len(prev.Members), len(consenting), blockingSetSize)
	}
	return nil
}

// stoppedMembers returns the members of the stored hosts-stopped record with the
// id.
func (m *membersMachine) stoppedMembers(id string) ([]topology.Member, error) {
	for _, s := range m.Stopped {
		if s.Revision.ID == id {
			return s.Members, nil
		}
	}
	return nil, fmt.Errorf("hosts-stopped record %q is not known", id)
}

func (m *membersMachine) snapshot() any { return m }

func (m *membersMachine) restore(data json.RawMessage) (stateMachine, error) {
	s, err := decodeState[membersMachine](data)
	if err != nil {
		return nil, err
	}
	if s.Lists == nil {
		s.Lists = make(map[topology.CellID]*MemberList)
	}
	if s.Homes == nil {
		s.Homes = make(map[topology.Service]map[topology.ShardID]Home)
	}
	for cell, l := range s.Lists {
		if l == nil || l.Cell != cell || len(l.Members) == 0 {
			return nil, fmt.Errorf("list of cell %q is not valid", cell)
		}
	}
	return &s, nil
}
