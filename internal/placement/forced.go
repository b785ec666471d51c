package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// placeUnowned gives every unit without a live or draining owner to a server.
// These units are unavailable, so neither Settings.MaxChanges nor the cost of a
// change applies.
func (p *planner) placeUnowned() {
	var unowned []int
	for i := range p.units {
		if p.units[i].owner == noServer {
			unowned = append(unowned, i)
		}
	}
	p.placeUnits(unowned, ReasonUnplaced)
}

// drainServers moves units off draining servers. Each tick moves the remaining
// units divided by the remaining ticks, so that a server is empty after
// DrainWithin and not all of its keys are unavailable at once.
func (p *planner) drainServers() {
	for i := range p.servers {
		s := &p.servers[i]
		if s.State != Draining || len(s.units) == 0 {
			continue
		}
		ticks := max(1, math.Ceil(float64(p.settings.DrainWithin-s.StateAge)/float64(time.Second)))
		units := slices.Clone(s.units)
		p.sortByLoad(units)
		p.placeUnits(units[:int(math.Ceil(float64(len(units))/ticks))], ReasonDraining)
	}
}

// placeUnits moves the units to live servers, heaviest first. If a unit fits the
// warm-up of no server, it is moved regardless of warm-up.
func (p *planner) placeUnits(units []int, reason Reason) {
	p.sortByLoad(units)
	for _, i := range units {
		to := p.bestTarget(noServer, p.units[i].Load)
		if to == noServer {
			to = p.bestTargetIgnoringWarmup(p.units[i].Load)
		}
		p.move(i, to, reason)
	}
}

// sortByLoad sorts the heaviest units first; units of equal load keep their order.
func (p *planner) sortByLoad(units []int) {
	slices.SortStableFunc(units, func(a, b int) int { return cmp.Compare(p.units[b].Load, p.units[a].Load) })
}
