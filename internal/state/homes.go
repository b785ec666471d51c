package state

import (
	"fmt"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// latestHome returns the newest revision of the homes of shards.
func (m *membersMachine) latestHome(service topology.Service, shards []topology.ShardID) *Revision {
	latest := none
	for _, s := range shards {
		if h, ok := m.Homes[service][s]; ok && h.Revision.Offset > latest.Offset {
			latest = h.Revision
		}
	}
	return &latest
}

func (m *membersMachine) setHomes(service topology.Service, shards []topology.ShardID, update func(*Home)) {
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
		subject: "homes of " + string(r.Service), latest: m.latestHome(r.Service, r.Shards),
		check: func() error { return m.checkRelease(r) },
		commit: func(rev Revision) {
			m.setHomes(r.Service, r.Shards, func(h *Home) {
				h.Partition, h.DataCentre, h.Released, h.Revision = r.Partition, r.DataCentre, true, rev
			})
		},
	}, nil
}

// checkRelease cannot check the home of a shard without a record: that home
// is in the configuration, whose order with this stream is not defined.
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
		subject: "homes of " + string(t.Service), latest: m.latestHome(t.Service, t.Shards),
		check: func() error { return m.checkTakeOver(t) },
		commit: func(rev Revision) {
			m.setHomes(t.Service, t.Shards, func(h *Home) {
				*h = Home{Partition: t.Partition, DataCentre: t.DataCentre, Generation: h.Generation + 1, Revision: rev}
			})
		},
	}, nil
}

// checkTakeOver needs a release of every shard, or the operators' statement
// that all members of all cells of the shard's data centre have stopped.
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
	stopped, err := m.stopped(id)
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
				// The text names no member: the order of the map differs between
				// hosts, and all must report the same reason.
				return fmt.Errorf("not all members of the cells of data centre %s are declared stopped", dc)
			}
		}
	}
	if cells == 0 {
		return fmt.Errorf("data centre %s has no cell", dc)
	}
	return nil
}
