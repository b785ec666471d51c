package state

import (
	"fmt"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// latestHomeRevision returns the newest revision among the homes of the shards.
func (m *membersMachine) latestHomeRevision(service topology.Service, shards []topology.ShardID) *Revision {
	latest := noRevision
	for _, s := range shards {
		if h, ok := m.Homes[service][s]; ok && h.Revision.Offset > latest.Offset {
			latest = h.Revision
		}
	}
	return &latest
}

func (m *membersMachine) updateHomes(service topology.Service, shards []topology.ShardID, update func(*Home)) {
	homes := m.Homes[service]
	if homes == nil {
		homes = make(map[topology.ShardID]Home)
		m.Homes[service] = homes
	}
	for _, s := range shards {
		h := homes[s]
		update(&h)
		homes[s] = h
	}
}

func (m *membersMachine) prepareRelease(e record.Envelope) (change, error) {
	r, err := record.Body[record.Release](e)
	if err != nil {
		return change{}, err
	}
	return change{
		subject: "homes of " + string(r.Service), latest: m.latestHomeRevision(r.Service, r.Shards),
		check: func() error { return m.checkRelease(r) },
		commit: func(rev Revision) {
			m.updateHomes(r.Service, r.Shards, func(h *Home) {
				h.Partition, h.DataCentre, h.Released, h.Revision = r.Partition, r.DataCentre, true, rev
			})
		},
	}, nil
}

// checkRelease checks that the partition is the home of the shards. It cannot
// check a shard without a recorded home: that home is in the configuration,
// whose order relative to this stream is not defined.
func (m *membersMachine) checkRelease(r record.Release) error {
	for _, s := range r.Shards {
		h, ok := m.Homes[r.Service][s]
		switch {
		case ok && h.Released:
			return fmt.Errorf("shard %s/%d is released already", r.Service, s)
		case ok && (h.Partition != r.Partition || h.DataCentre != r.DataCentre):
			return fmt.Errorf("home of shard %s/%d is %s, not %s", r.Service, s, h.Partition, r.Partition)
		}
	}
	return nil
}

func (m *membersMachine) prepareTakeOver(e record.Envelope) (change, error) {
	t, err := record.Body[record.TakeOver](e)
	if err != nil {
		return change{}, err
	}
	return change{
		subject: "homes of " + string(t.Service), latest: m.latestHomeRevision(t.Service, t.Shards),
		check: func() error { return m.checkTakeOver(t) },
		commit: func(rev Revision) {
			m.updateHomes(t.Service, t.Shards, func(h *Home) {
				*h = Home{Partition: t.Partition, DataCentre: t.DataCentre, Generation: h.Generation + 1, Revision: rev}
			})
		},
	}, nil
}

// checkTakeOver checks that every shard is released, or that operators declared
// all members of all cells of its data centre stopped.
func (m *membersMachine) checkTakeOver(t record.TakeOver) error {
	for _, s := range t.Shards {
		h, ok := m.Homes[t.Service][s]
		switch {
		case ok && h.Released:
		case t.HostsStoppedID == "":
			return fmt.Errorf("shard %s/%d is not released", t.Service, s)
		case ok && h.DataCentre != t.From:
			return fmt.Errorf("home of shard %s/%d is in data centre %s, not %s", t.Service, s, h.DataCentre, t.From)
		}
	}
	if t.HostsStoppedID == "" {
		return nil
	}
	return m.checkDataCentreStopped(t.From, t.HostsStoppedID)
}

func (m *membersMachine) checkDataCentreStopped(dc topology.DataCentre, id string) error {
	stopped, err := m.stoppedMembers(id)
	if err != nil {
		return err
	}
	cells := 0
	for _, l := range m.Lists {
		if l.DataCentre != dc {
			continue
		}
		cells++
		for _, member := range l.Members {
			if !slices.Contains(stopped, member) {
				// The message names no member, because the order of iteration over
				// m.Lists differs between hosts and all must report the same error.
				return fmt.Errorf("not all members of the cells of data centre %s are declared stopped", dc)
			}
		}
	}
	if cells == 0 {
		return fmt.Errorf("data centre %s has no cell", dc)
	}
	return nil
}
