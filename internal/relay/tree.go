package relay

import (
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// childrenPerCell is the number of child cells of a cell. With 5 hosts per cell,
// the 543 hosts of the largest data centre need 5 levels.
const childrenPerCell = 4

// Upstreams returns the hosts to which a host may subscribe, in order of
// preference. lists are the member lists of all cells in the order of
// state.Members.Lists. The cells of a data centre form a tree with the first
// cell as its root.
//
// The result contains the earlier members of the same cell and then the members
// of the ancestors of the cell, which are earlier in lists, so that
// subscriptions form no cycle. It is empty for the first member of the first
// cell, which reads the log. A host that is in no member list subscribes to all
// members of its cell, or of the first cell if its cell has no list.
func Upstreams(lists []state.MemberList, dc topology.DataCentre, cell topology.CellID, self topology.HostID) []topology.HostID {
	var cells []state.MemberList
	for _, l := range lists {
		if l.DataCentre == dc {
			cells = append(cells, l)
		}
	}
	cellIndex := slices.IndexFunc(cells, func(l state.MemberList) bool { return l.Cell == cell })
	var hosts []topology.HostID
	if cellIndex < 0 {
		if len(cells) == 0 {
			return nil
		}
		return appendMembers(hosts, cells[0], 0, self)
	}
	memberIndex := slices.IndexFunc(cells[cellIndex].Members, func(m topology.Member) bool { return m.Host == self })
	if memberIndex < 0 {
		memberIndex = len(cells[cellIndex].Members)
	}
	for _, m := range cells[cellIndex].Members[:memberIndex] {
		hosts = append(hosts, m.Host)
	}
	for cellIndex > 0 {
		child := (cellIndex - 1) % childrenPerCell
		cellIndex = (cellIndex - 1) / childrenPerCell
		// Child cells start at different members, which spreads the load.
		hosts = appendMembers(hosts, cells[cellIndex], child, self)
	}
	return hosts
}

// appendMembers appends the members of a list except self, beginning with the
// member at index start and wrapping around.
func appendMembers(hosts []topology.HostID, l state.MemberList, start int, self topology.HostID) []topology.HostID {
	for i := range l.Members {
		if h := l.Members[(start+i)%len(l.Members)].Host; h != self {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
