// Package placement decides which server owns each shard of one partition.
//
// Decide is a pure function that the partition's leader calls once per tick.
// It performs no I/O, reads no clock and draws random numbers only from the
// seed in its input, so equal inputs give equal plans. It keeps no state
// between calls: what depends on earlier calls (how long a server has owned a
// shard, how many rebalancing changes were made recently) is in the input.
//
// Loads are in busy slots: the request rate of a shard or key times the mean
// service time of the partition. A server of nominal speed with two slots
// carries a load below 2.
package placement

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Assignment names the server that owns one shard or split-off key.
type Assignment struct {
	Ref topology.ShardRef
	// Server is empty if no server owns the shard.
	Server topology.ServerID
	// OwnedFor is the time for which Server has owned the shard.
	OwnedFor time.Duration
	// Load is smoothed over Settings.Smoothing. The load of a shard does not
	// include the keys that were split off it.
	Load float64
}

// State determines whether a server may own and take shards.
type State uint8

// States of a server.
const (
	// Live servers own shards and can take more.
	Live State = iota
	// Draining servers own shards until these are moved, and take no more.
	Draining
	// Lost servers own nothing, because their grants have ended.
	Lost
)

// Report is a server's own report of its utilisation. It may be late or wrong.
type Report struct {
	// BusySlots is the mean number of busy slots.
	BusySlots float64
	Age       time.Duration
}

// Server is what the leader knows of one server.
type Server struct {
	ID    topology.ServerID
	State State
	// StateAge is the time since the server entered its state. For a live server
	// it is the time since its start, which controls the warm-up.
	StateAge time.Duration
	Slots    int
	// NominalLoad and BusySlots are the leader's own measurements over the same
	// completed requests: the load that they would cause at nominal speed, and
	// the mean number of slots that they kept busy. Their ratio is the speed of
	// the server.
	NominalLoad, BusySlots float64
	// Reports holds the latest reports of the server, in any order.
	Reports []Report
}

// HotKey is a key that the sketch of frequent keys found. Load is the estimate of
// the sketch, which is too high by at most Error.
type HotKey struct {
	Ref         topology.ShardRef
	Load, Error float64
}

// Input holds everything that one decision depends on.
type Input struct {
	Assignments []Assignment
	Servers     []Server
	HotKeys     []HotKey
	// RecentChanges is the number of rebalancing changes (balance moves, splits
	// and joins) in the last Settings.ChangeInterval.
	RecentChanges int
	Settings      Settings
	Seed          uint64
}

// Reason is the reason for a move.
type Reason string

// Reasons of a move.
const (
	// ReasonUnplaced: the shard has no live or draining owner.
	ReasonUnplaced Reason = "unplaced"
	// ReasonDraining: the owner of the shard is draining.
	ReasonDraining Reason = "leaving"
	// ReasonBalance: the owner is more utilised than other servers. Only these
	// moves are rebalancing changes.
	ReasonBalance Reason = "balance"
)

// Move changes the owner of a shard or a split-off key.
type Move struct {
	Ref      topology.ShardRef
	From, To topology.ServerID
	Reason   Reason
}

// Split splits a key off its shard, which stays at From. To equals From if the key
// stays at its server and is only placed separately from now on.
type Split struct {
	Key      topology.ShardRef
	From, To topology.ServerID
	Load     float64
}

// Join makes a split-off key part of its shard again, which is at To.
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

// RebalancingChanges returns the number of balance moves, splits and joins, which
// Settings.MaxChanges limits.
func (p Plan) RebalancingChanges() int {
	n := len(p.Splits) + len(p.Joins)
	for _, m := range p.Moves {
		if m.Reason == ReasonBalance {
			n++
		}
	}
	return n
}

// Decide returns the changes of one tick. It first places shards without a live or
// draining owner and moves shards off draining servers. Within Settings.MaxChanges
// it then splits off keys hotter than the mean load of a live server, balances
// load, and joins cooled keys. The plan is empty if no live server has slots.
func Decide(in Input) Plan {
	p := newPlanner(in)
	if len(p.live) == 0 {
		return Plan{}
	}
	p.placeUnowned()
	p.drainServers()
	budget := max(0, in.Settings.MaxChanges-in.RecentChanges)
	budget -= p.splitHotKeys(budget)
	budget -= p.balance(budget)
	p.joinCooledKeys(budget)
	return p.plan
}
