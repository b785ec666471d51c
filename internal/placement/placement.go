// Package placement decides which server owns which shard of one partition.
//
// Decide is a pure function that the partition's leader calls once per tick.
// It performs no I/O, reads no clock and draws random numbers only from the
// seed in its input, so equal inputs give equal plans. It keeps no state
// between calls: everything that it needs to remember (how long a shard has
// been at its server, how many planned moves were made recently) is in the
// input.
//
// Loads are in busy slots: the request rate of a shard times the mean service
// time of the partition. A server of nominal speed with two slots carries a
// load below 2.
package placement

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Assignment is the current place of one shard or split-off key.
type Assignment struct {
	Ref topology.ShardRef
	// Server is empty if no server owns the shard.
	Server topology.ServerID
	// OwnedFor is the time since the shard came to Server.
	OwnedFor time.Duration
	// Load is the leader's smoothed measurement. The load of a shard does not
	// include the keys that were split off it.
	Load float64
}

// State says whether a server may own shards.
type State uint8

// States of a server.
const (
	// Live servers own shards and take new ones.
	Live State = iota
	// Draining servers own shards until these are moved; they take none.
	Draining
	// Lost servers own nothing. A server is lost when its grants have ended.
	Lost
)

// Report is what a server said about itself. It may lag or mislead.
type Report struct {
	// BusySlots is the mean number of busy slots that the server claims.
	BusySlots float64
	Age       time.Duration
}

// Server is the leader's view of one server.
type Server struct {
	ID    topology.ServerID
	State State
	// StateAge is the time since the server entered its state. For a live server
	// it is the time since its start, which controls the cold ramp.
	StateAge time.Duration
	Slots    int
	// NominalLoad and BusySlots are the leader's own measurements over the same completed
	// requests: the load that they would be at nominal speed, and the mean
	// number of slots that they kept busy. Their ratio is the server's speed.
	NominalLoad, BusySlots float64
	// Reports holds the latest reports of the server, in any order.
	Reports []Report
}

// HotKey is a key that the sketch found. Load is the sketch's estimate, which
// is too high by at most Error.
type HotKey struct {
	Ref         topology.ShardRef
	Load, Error float64
}

// Input is all that one decision depends on.
type Input struct {
	Assignments []Assignment
	Servers     []Server
	HotKeys     []HotKey
	// RecentChanges is the number of planned changes (balance moves, splits, joins)
	// of the last Settings.ChangeInterval.
	RecentChanges int
	Settings      Settings
	Seed          uint64
}

// Reason says why a shard moves.
type Reason string

// Reasons of a move.
const (
	// ReasonUnplaced places a shard that has no live owner.
	ReasonUnplaced Reason = "unplaced"
	// ReasonDraining empties a leaving server.
	ReasonDraining Reason = "leaving"
	// ReasonBalance evens out load. Only these moves count as planned.
	ReasonBalance Reason = "balance"
)

// Move gives a shard or a split-off key to another server.
type Move struct {
	Ref      topology.ShardRef
	From, To topology.ServerID
	Reason   Reason
}

// Split takes a key off its shard, which stays at From. To equals From if the
// key stays in place and becomes a unit of its own.
type Split struct {
	Key      topology.ShardRef
	From, To topology.ServerID
	Load     float64
}

// Join gives a split-off key back to its shard, which is at To.
type Join struct {
	Key      topology.ShardRef
	From, To topology.ServerID
}

// Plan is the result of one decision. No shard or key occurs in it twice.
type Plan struct {
	Moves  []Move
	Splits []Split
	Joins  []Join
}

// RebalancingChanges returns the number of changes that count towards the limit
// Settings.MaxChanges.
func (p Plan) RebalancingChanges() int {
	n := len(p.Splits) + len(p.Joins)
	for _, m := range p.Moves {
		if m.Reason == ReasonBalance {
			n++
		}
	}
	return n
}

// Decide returns the changes of one tick. It places shards without a live
// owner first, then empties leaving servers, then splits off keys hotter than a
// fair share, balances, and joins cooled keys with what is left of the limit.
// Nothing is placed if no server is live.
func Decide(in Input) Plan {
	t := newTable(in)
	if len(t.live) == 0 {
		return Plan{}
	}
	t.placeUnowned()
	t.emptyLeaving()
	budget := max(0, in.Settings.MaxChanges-in.RecentChanges)
	budget -= t.splitHot(budget)
	budget -= t.balance(budget)
	t.joinCooled(budget)
	return t.plan
}
