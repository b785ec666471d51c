package relay

import (
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// arity is the number of child cells of a cell. With 5 hosts per cell the 543
// hosts of the largest data centre need 5 levels.
const arity = 4

// Upstreams returns the hosts that a host subscribes to, best first, from the
// lists of all cells in the order of state.Members.Lists. Only earlier cells
// and earlier members of the own cell are named, so that subscriptions form no
// cycle. The first member of the first cell of a data centre has none and
// reads the log. A host without a list uses the first cell.
func Upstreams(lists []state.MemberList, dc topology.DataCentre, cell topology.CellID, self topology.HostID) []topology.HostID {
	var cells []state.MemberList
	for _, l := range lists {
		if l.DataCentre == dc {
			cells = append(cells, l)
		}
	}
	at := slices.IndexFunc(cells, func(l state.MemberList) bool { return l.Cell == cell })
	var hosts []topology.HostID
	if at < 0 {
		if len(cells) == 0 {
			return nil
		}
		return appendMembers(hosts, cells[0], 0, self)
	}
	own := slices.IndexFunc(cells[at].Members, func(m topology.Member) bool { return m.Host == self })
	if own < 0 {
		own = len(cells[at].Members)
	}
	for _, m := range cells[at].Members[:own] {
		hosts = append(hosts, m.Host)
	}
	for at > 0 {
		child := (at - 1) % arity
		at = (at - 1) / arity
		// Children start at different members, which spreads the load.
		hosts = appendMembers(hosts, cells[at], child, self)
	}
	return hosts
}

func appendMembers(hosts []topology.HostID, l state.MemberList, first int, self topology.HostID) []topology.HostID {
	for i := range l.Members {
		if h := l.Members[(first+i)%len(l.Members)].Host; h != self {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
