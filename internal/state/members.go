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

// maxStopped is the number of hosts-stopped records that are kept. They are
// published a few times a year and are used within minutes.
const maxStopped = 64

// MemberList is the newest member list of a cell.
type MemberList struct {
	Cell       topology.CellID     `json:"cell"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Version    uint32              `json:"version"`
	Members    []topology.Member   `json:"members"`
	Revision   Revision            `json:"revision"`
}

// Home is the home of one shard.
type Home struct {
	Partition  topology.PartitionID `json:"partition"`
	DataCentre topology.DataCentre  `json:"data_centre"`
	// Generation is the Home part of fences. It grows with every take-over.
	Generation uint32 `json:"number"`
	// Released means that the home has given the shard up and that no other
	// has taken it over.
	Released bool     `json:"released,omitempty"`
	Revision Revision `json:"revision"`
}

// HostsStopped is an accepted hosts-stopped record.
type HostsStopped struct {
	Members  []topology.Member `json:"members"`
	Reason   string            `json:"reason"`
	Revision Revision          `json:"revision"`
}

// Members is the fold of the members stream: member lists of cells and homes
// of shards. Subjects are a cell, a shard's home, and the list of stopped
// hosts.
type Members struct{ *Fold }

// NewMembers returns the state before the first record.
func NewMembers() *Members {
	return &Members{newFold(record.StreamMembers, &membersMachine{
		Lists: make(map[topology.CellID]*MemberList), Homes: make(map[topology.Service]map[topology.ShardID]Home),
	})}
}

// List returns the newest list of a cell.
func (m *Members) List(cell topology.CellID) (MemberList, bool) {
	l, ok := m.m().Lists[cell]
	if !ok {
		return MemberList{Revision: none}, false
	}
	return *l, true
}

// Lists returns the newest lists of all cells, ordered by cell.
func (m *Members) Lists() []MemberList {
	lists := make([]MemberList, 0, len(m.m().Lists))
	for _, cell := range slices.Sorted(maps.Keys(m.m().Lists)) {
		lists = append(lists, *m.m().Lists[cell])
	}
	return lists
}

// Home returns the recorded home of a shard. Without a record the home is the
// one that the configuration gives, with number 0.
func (m *Members) Home(service topology.Service, shard topology.ShardID) (Home, bool) {
	h, ok := m.m().Homes[service][shard]
	if !ok {
		return Home{Revision: none}, false
	}
	return h, true
}

// StoppedHosts returns the hosts-stopped records that are kept, oldest first.
func (m *Members) StoppedHosts() []HostsStopped { return m.m().Stopped }

// StoppedRevision returns the revision that the next hosts-stopped record must
// be based on.
func (m *Members) StoppedRevision() Revision {
	if n := len(m.m().Stopped); n > 0 {
		return m.m().Stopped[n-1].Revision
	}
	return none
}

// MayPropose reports whether this release understands all records that may
// concern the cell. A host must not propose a list otherwise.
func (m *Members) MayPropose(cell topology.CellID) bool {
	kept, all := m.UnknownRecords()
	if all > int64(len(kept)) {
		return false
	}
	return !slices.ContainsFunc(kept, func(u UnknownRecord) bool { return u.Cell == "" || u.Cell == string(cell) })
}

func (m *Members) m() *membersMachine { return m.machine.(*membersMachine) }

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
	latest := none
	if n := len(m.Stopped); n > 0 {
		latest = m.Stopped[n-1].Revision
	}
	return change{subject: "stopped hosts", latest: &latest, commit: func(r Revision) {
		m.Stopped = append(m.Stopped, HostsStopped{Members: h.Members, Reason: h.Reason, Revision: r})
		m.Stopped = m.Stopped[max(0, len(m.Stopped)-maxStopped):]
	}}, nil
}

func (m *membersMachine) prepareList(e record.Envelope) (change, error) {
	l, err := record.Body[record.MemberList](e)
	if err != nil {
		return change{}, err
	}
	prev, ok := m.Lists[l.Cell]
	latest := none
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

// checkList applies the rule of member lists. prev is nil for a cell without
// a list: the first valid record of a cell wins.
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

// checkPledges accepts one pledge of a member in mode normal, because the log
// bounds all leaders of its list then, or else pledges of a set that shares a
// member with every majority, so that every majority includes a member whose
// promises the log bounds again. A stopped member supports no leader and
// therefore counts like a pledge.
func (m *membersMachine) checkPledges(prev *MemberList, l record.MemberList) error {
	consent := make(map[topology.HostID]bool)
	normal := false
	for _, p := range l.Pledges {
		member := topology.Member{Host: p.Host, Incarnation: p.Incarnation}
		if p.ListVersion != prev.Version || !slices.Contains(prev.Members, member) {
			return fmt.Errorf("pledge of host %s incarnation %d for list %d is not of a member of list %d", p.Host, p.Incarnation, p.ListVersion, prev.Version)
		}
		consent[p.Host] = true
		normal = normal || p.Mode == record.ModeNormal
	}
	if normal {
		return nil
	}
	if l.HostsStoppedID != "" {
		stopped, err := m.stopped(l.HostsStoppedID)
		if err != nil {
			return err
		}
		for _, member := range prev.Members {
			if slices.Contains(stopped, member) {
				consent[member.Host] = true
			}
		}
	}
	blocking := len(prev.Members) - len(prev.Members)/2 // members minus majority plus one
	if len(consent) < blocking {
		return fmt.Errorf("list %d of %d members has pledges of %d; needed are %d or one of a member in mode normal", prev.Version, len(prev.Members), len(consent), blocking)
	}
	return nil
}

func (m *membersMachine) stopped(id string) ([]topology.Member, error) {
	for _, s := range m.Stopped {
		if s.Revision.ID == id {
			return s.Members, nil
		}
	}
	return nil, fmt.Errorf("hosts-stopped record %q is not known", id)
}

func (m *membersMachine) snapshot() any { return m }

func (m *membersMachine) restore(data json.RawMessage) (machine, error) {
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
