package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// placeUnowned places every unit that has no live or leaving owner, heaviest
// first. These units are unavailable, so neither limit nor cost applies.
func (t *table) placeUnowned() {
	var lost []int
	for i := range t.units {
		if t.units[i].node == none {
			lost = append(lost, i)
		}
	}
	t.place(lost, ReasonUnplaced)
}

// emptyLeaving moves units off leaving servers. Each tick takes an equal part
// of what is left, so that a server is empty after DrainWithin and not all of
// its keys are unavailable at once.
func (t *table) emptyLeaving() {
	for n := range t.nodes {
		s := &t.nodes[n]
		if s.State != Draining || len(s.units) == 0 {
			continue
		}
		ticks := max(1, math.Ceil(float64(t.set.DrainWithin-s.StateAge)/float64(time.Second)))
		units := slices.Clone(s.units)
		t.sortByLoad(units)
		t.place(units[:int(math.Ceil(float64(len(units))/ticks))], ReasonDraining)
	}
}

func (t *table) place(units []int, reason Reason) {
	t.sortByLoad(units)
	for _, i := range units {
		to := t.target(none, t.units[i].Load)
		if to == none {
			to = t.anyTarget(t.units[i].Load)
		}
		t.move(i, to, reason)
	}
}

// sortByLoad puts the heaviest units first; equal loads keep input order.
func (t *table) sortByLoad(units []int) {
	slices.SortStableFunc(units, func(a, b int) int { return cmp.Compare(t.units[b].Load, t.units[a].Load) })
}
