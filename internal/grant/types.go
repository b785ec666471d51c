// Package grant decides which server of a partition owns which shard, for one
// unbroken leadership of the partition. It holds the decision logic only: a
// runtime passes in events with the current monotonic time and sends the lease
// requests that are returned.
//
// Guarantee: if leaderships of a partition do not overlap (package election) and
// servers keep the contract of package serverapi, at most one server holds an
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
	// Overhang is the time by which a grant may outlive the leader's support.
	Overhang = 500 * time.Millisecond
	// MaxGrant is the longest grant after the reading of the server's clock.
	// A silent server loses its shards after at most this time, because its
	// requests repeat the last reading.
	MaxGrant = 1300 * time.Millisecond
	// RenewInterval is the interval of full renewals.
	RenewInterval = 400 * time.Millisecond

	// roundSlack lets a renewal follow the support round that ends a little
	// before RenewInterval has passed.
	roundSlack = 30 * time.Millisecond
	// roundDelay is the wait for a support round before a renewal starts
	// without one.
	roundDelay = 100 * time.Millisecond
	// retryInterval is the time after which an unanswered request is replaced.
	retryInterval = 100 * time.Millisecond
	// busyRetry is the interval of revokes that the server refused because a
	// request of the shard was running.
	busyRetry = 20 * time.Millisecond
	// driftMargin covers a clock rate error of 0.1% on both sides over MaxGrant.
	driftMargin = 3 * time.Millisecond
	// wallError bounds the difference of the wall clocks of a host and a server
	// that honours the not-after time of requests: 250 ms each.
	wallError = 500 * time.Millisecond
	// silentAfter is the time without an answer after which a server gets no
	// further shards: a missed renewal and a retry.
	silentAfter = 550 * time.Millisecond
	// cutOffAfter is the time without an answer of any server after which the
	// leader should hand the partition over: a missed renewal and two retries.
	cutOffAfter = 650 * time.Millisecond
	// minExtension is the shortest remaining time for which a renewal is sent
	// with an old clock reading; the reading is renewed first otherwise.
	minExtension = 600 * time.Millisecond
	// movesPerServer limits the shards of one leaving server that move at the
	// same time, so that few keys wait at any moment.
	movesPerServer = 4
)

// Errors of Move.
var (
	ErrUnknownShard = errors.New("grant: the partition does not have the shard")
	ErrNotOwned     = errors.New("grant: the shard has no owner or moves already")
	ErrTarget       = errors.New("grant: the target server is the owner, leaves or does not answer")
)

// Config describes one leadership of a partition.
type Config struct {
	Partition topology.PartitionID
	Shards    []topology.ShardRef
	// Epoch is the term from election.Node.Leads, with Home set.
	Epoch topology.Fence
	// EarlierLeadersUntil is election.Node.EarlierLeadersUntil.
	EarlierLeadersUntil time.Duration
	// Preferred are the last known owners, from the assignment stream. They
	// need not be up to date.
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

// Outgoing is a lease request to send at once, or to drop. The runtime reports
// the outcome with the same id to HandleReply or HandleFailure.
type Outgoing struct {
	ID      uint64
	Server  topology.ServerID
	Request serverapi.LeaseRequest
}

// ShardState is the phase of a shard.
type ShardState uint8

// Phases of a shard.
const (
	// Waiting has no owner: earlier grants may still be valid until
	// ShardStatus.FreeAt, or no server takes the shard.
	Waiting ShardState = iota
	// Granting was ordered and is not acknowledged yet.
	Granting
	// Owned is acknowledged by the owner.
	Owned
	// Revoking takes no new requests until the owner has given the shard up.
	Revoking
)

// String returns the name of the phase.
func (s ShardState) String() string {
	return [...]string{"waiting", "granting", "owned", "revoking"}[s]
}

// ShardStatus describes one shard.
type ShardStatus struct {
	Ref    topology.ShardRef
	State  ShardState
	Server topology.ServerID // owner, or last owner
	To     topology.ServerID // target of a planned move
	Fence  topology.Fence
	FreeAt time.Duration
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
	// LeaseLeft is the time for which the server surely holds its grants.
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
	Adopted   int // grants of earlier leaders that were extended
	Moves     int // acknowledged grants to another server than before
	Revokes   int // acknowledged revokes
	Refusals  int // refused requests and orders
	Restarts  int // new incarnations of servers
	Expired   int // shards whose server stayed silent until their grant ended
	Conflicts int // claims of a shard that already had an owner
	// Unavailable counts ended intervals without a usable owner, and
	// UnavailableTime is their sum.
	Unavailable     int
	UnavailableTime time.Duration
}
