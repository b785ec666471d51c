// Package grant decides which server of a partition owns which shard, during one
// uninterrupted leadership of the partition. The leader grants a server the
// ownership of shards for a short time and renews the grants together with
// lease requests.
//
// The package contains the decision logic only: a runtime passes in events with
// the current monotonic time and sends the lease requests that are returned.
//
// Guarantee: if leaderships of a partition do not overlap (package election) and
// servers implement package serverapi as specified, at most one server holds an
// unexpired grant of a shard at any moment. For services that do not check
// fences, at most one server runs requests of a shard if every exchange ends
// within Config.MaxExchange.
package grant

import (
	"errors"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Times of the protocol.
const (
	// SupportGrace is the time by which a grant may outlive the leader's support.
	SupportGrace = 500 * time.Millisecond
	// MaxGrantDuration is the longest grant, counted from a reading of the
	// server's clock. An unresponsive server loses its shards after at most this
	// time, because requests to it repeat the last reading.
	MaxGrantDuration = 1300 * time.Millisecond
	// RenewInterval is the interval of full renewals.
	RenewInterval = 400 * time.Millisecond

	// roundTolerance lets a renewal follow a support round that ends slightly
	// before RenewInterval has passed.
	roundTolerance = 30 * time.Millisecond
	// maxRoundDelay is how long a renewal waits for a support round before it
	// starts without one.
	maxRoundDelay = 100 * time.Millisecond
	// retryInterval is the time after which a request without a reply is
	// replaced.
	retryInterval = 100 * time.Millisecond
	// busyRetryInterval is the delay before a revoke is repeated that the server
	// refused because a request of the shard was running.
	busyRetryInterval = 20 * time.Millisecond
	// driftMargin covers a clock rate error of 0.1% on both sides over
	// MaxGrantDuration.
	driftMargin = 3 * time.Millisecond
	// maxWallClockError is the largest difference between the wall clocks of a
	// host and a server that checks the not-after time of requests: 250 ms each.
	maxWallClockError = 500 * time.Millisecond
	// unresponsiveAfter is the time without a reply after which a server gets no
	// further shards: a missed renewal and a retry.
	unresponsiveAfter = 550 * time.Millisecond
	// unreachableAfter is the time without a reply of any server after which the
	// leader should release the partition: a missed renewal and two retries.
	unreachableAfter = 650 * time.Millisecond
	// minGrantDuration is the shortest remaining grant that is sent with an
	// earlier reading of the server's clock. Otherwise the clock is read first.
	minGrantDuration = 600 * time.Millisecond
	// maxMovesPerServer limits the shards of one draining server that move at
	// the same time, so that few keys wait at any moment.
	maxMovesPerServer = 4
)

// Errors of Manager.Move, Split and Join.
var (
	ErrUnknownShard  = errors.New("grant: the partition does not have the shard")
	ErrNotOwned      = errors.New("grant: the shard has no owner or is already moving")
	ErrInvalidTarget = errors.New("grant: the target server is the owner, is draining or does not reply")
)

// Config describes one leadership of a partition.
type Config struct {
	Partition topology.PartitionID
	Shards    []topology.ShardRef
	// Epoch is the epoch from election.Node.Leads, with Home set.
	Epoch topology.Fence
	// EarlierLeadersUntil is election.Node.EarlierLeadersUntil.
	EarlierLeadersUntil time.Duration
	// Preferred contains the last known owners, from the assignment stream. It
	// may be out of date.
	Preferred map[topology.ShardRef]topology.ServerID
	// ChecksFences and MaxExchange are settings of the service.
	ChecksFences bool
	MaxExchange  time.Duration
}

// Server is one server of the host list.
type Server struct {
	ID topology.ServerID
	// Draining servers get no shards, and their shards are moved away.
	Draining bool
}

// Outgoing is a lease request to send at once or not at all. The runtime passes
// the outcome with the same id to HandleReply or HandleFailure.
type Outgoing struct {
	ID      uint64
	Server  topology.ServerID
	Request serverapi.LeaseRequest
}

// ShardState is the state of a shard.
type ShardState uint8

// States of a shard.
const (
	// Waiting means that the shard has no owner: earlier grants may be valid
	// until ShardStatus.FreeAt, or no server accepts the shard.
	Waiting ShardState = iota
	// Granting means that the server has not acknowledged its grant yet.
	Granting
	// Owned means that the owner has acknowledged its grant.
	Owned
	// Revoking means that the shard gets no new requests until the owner has
	// acknowledged the revoke.
	Revoking
)

// String returns the name of the state.
func (s ShardState) String() string {
	return [...]string{"waiting", "granting", "owned", "revoking"}[s]
}

// ShardStatus describes one shard.
type ShardStatus struct {
	Ref        topology.ShardRef
	State      ShardState
	Server     topology.ServerID // owner, or last owner
	MoveTarget topology.ServerID // target of a planned move
	Fence      topology.Fence
	FreeAt     time.Duration
	// Recorded is true after the assignment was read back from the log.
	Recorded bool
}

// ServerStatus describes one server.
type ServerStatus struct {
	ID          topology.ServerID
	Incarnation topology.Incarnation
	Responsive  bool
	Draining    bool
	Shards      int
	// LeaseLeft is the time for which the server certainly holds its grants.
	LeaseLeft time.Duration
	Load      serverapi.LoadReport
}

// Assignment is an acknowledged assignment to append to the assignment stream.
type Assignment struct {
	Ref    topology.ShardRef `json:"ref"`
	Server topology.ServerID `json:"server"`
	Fence  topology.Fence    `json:"fence"`
}

// Counters count events of one leadership.
type Counters struct {
	Grants    int // acknowledged grants, without adopted ones
	Adopted   int // acknowledged extensions of grants of earlier leaders
	Moves     int // acknowledged grants to another server than before
	Revokes   int // acknowledged revokes
	Refusals  int // refused requests and orders
	Restarts  int // new incarnations of servers
	Expired   int // shards whose grant expired, because the server did not reply
	Conflicts int // grants held by a server for a shard that already had an owner
	// Unavailable is the number of completed intervals in which a shard had no
	// usable owner, and UnavailableTime is their sum.
	Unavailable     int
	UnavailableTime time.Duration
}
