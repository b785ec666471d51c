// Package serverapi defines the contract between the router and a backend
// server, and its HTTP client.
//
//	GET /v1/lease          returns the state of the server's lease (LeaseReply)
//	PUT /v1/lease          renews, grants, revokes (LeaseRequest -> LeaseReply)
//	GET /v1/load           LoadReport; may be outdated or wrong
//	GET /v1/health         200 or 503; may be outdated or wrong
//	ANY /v1/run/{path}     runs one request, with the headers below
//
// A server owns a shard while it has an unexpired grant for it. The expiry is
// measured on the server's clock and counts from a tick that the server reported
// earlier, so the transit time of a message never extends a grant.
package serverapi

import (
	"context"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Headers of ANY /v1/run/{path}.
const (
	HeaderShard    = "Lyr-Shard"
	HeaderFence    = "Lyr-Fence"
	HeaderKey      = "Lyr-Key"
	HeaderCustomer = "Lyr-Customer"
	HeaderRequest  = "Lyr-Request-Id"
	// HeaderTimeout is the time until the deadline of the request in milliseconds.
	HeaderTimeout = "Lyr-Timeout"
	// HeaderNotAfter is the wall clock time in Unix milliseconds after which
	// the server must not start the request.
	HeaderNotAfter = "Lyr-Not-After"
	// HeaderVerdict is set by the server: "not-run" or "ran".
	HeaderVerdict = "Lyr-Verdict"
	// HeaderExchange is an id that the router chooses for each exchange. The
	// server repeats it in its response, so that a response cannot be attributed
	// to another request.
	HeaderExchange = "Lyr-Exchange"
	// HeaderError is the server's error code if the verdict is "not-run".
	HeaderError = "Lyr-Error"
)

// GrantOrder gives the server ownership of a shard.
type GrantOrder struct {
	Ref   topology.ShardRef `json:"ref"`
	Fence topology.Fence    `json:"fence"`
	// OnlyIfHeld makes the order an extension: it is refused unless the server
	// has an unexpired grant for the shard.
	OnlyIfHeld bool `json:"only_if_held,omitempty"`
	// Except lists the keys that were split off a whole shard (a Ref without key).
	Except []string `json:"except,omitempty"`
}

// RevokeOrder asks the server to give up a shard. The server acknowledges it if
// no request of the shard is running, even if it has no grant for the shard.
// From then on it refuses grants with an older fence, so that a delayed copy of
// an earlier grant has no effect.
type RevokeOrder struct {
	Ref   topology.ShardRef `json:"ref"`
	Fence topology.Fence    `json:"fence"`
}

// LeaseRequest renews the server's lease, and with it all of its grants, and
// carries orders to grant and revoke shards.
type LeaseRequest struct {
	Partition topology.PartitionID `json:"partition"`
	// Epoch identifies the leadership. A server refuses an epoch that is older
	// than the newest one that it has seen.
	Epoch topology.Fence `json:"epoch"`
	// Incarnation must be the server's current one.
	Incarnation topology.Incarnation `json:"incarnation"`
	// Tick is a reading of the server's clock from an earlier reply. The lease
	// ends at Tick + Duration on the server's clock. A request with Duration 0
	// has no orders and need not contain the incarnation. The server adopts its
	// epoch, so that delayed requests of earlier leaders are refused, and reports
	// its state.
	Tick     time.Duration `json:"tick"`
	Duration time.Duration `json:"duration"`
	Grant    []GrantOrder  `json:"grant,omitempty"`
	Revoke   []RevokeOrder `json:"revoke,omitempty"`
	// WithHeld asks the server to list its grants in the reply.
	WithHeld bool `json:"with_held,omitempty"`
}

// HeldGrant is an unexpired grant of the server.
type HeldGrant struct {
	Ref    topology.ShardRef `json:"ref"`
	Fence  topology.Fence    `json:"fence"`
	Except []string          `json:"except,omitempty"`
}

// RefusalCode is the reason why the server refused a lease request or an order.
type RefusalCode string

// Refusal codes.
const (
	RefusedEpoch       RefusalCode = "old-epoch"
	RefusedIncarnation RefusalCode = "wrong-incarnation"
	RefusedFence       RefusalCode = "old-fence"
	RefusedNotHeld     RefusalCode = "not-held"
	RefusedExpired     RefusalCode = "expired"
	RefusedBusy        RefusalCode = "busy"
	RefusedDraining    RefusalCode = "draining"
)

// Refusal is the server's reply to an order that it refused.
type Refusal struct {
	Ref  topology.ShardRef `json:"ref"`
	Code RefusalCode       `json:"code"`
	// Newest is the newest fence that the server has seen for the shard.
	Newest topology.Fence `json:"newest"`
}

// LeaseReply is the state of the server and the results of a LeaseRequest.
type LeaseReply struct {
	Server      topology.ServerID    `json:"server"`
	Incarnation topology.Incarnation `json:"incarnation"`
	// Tick is the reading of the server's clock at the time of the reply.
	Tick time.Duration `json:"tick"`
	// Remaining is the time until the lease ends; zero if it has ended.
	Remaining time.Duration `json:"remaining"`
	// Refused is set if the whole request was refused.
	Refused RefusalCode `json:"refused,omitempty"`
	// Newest is the newest epoch that the server has seen.
	Newest   topology.Fence      `json:"newest"`
	Held     []HeldGrant         `json:"held,omitempty"`
	Revoked  []topology.ShardRef `json:"revoked,omitempty"`
	Refusals []Refusal           `json:"refusals,omitempty"`
	Draining bool                `json:"draining,omitempty"`
	Load     LoadReport          `json:"load"`
}

// LoadReport is the load that the server reports.
type LoadReport struct {
	// Utilisation is the share of the slots in use, between 0 and 1.
	Utilisation float64 `json:"utilisation"`
	InFlight    int     `json:"in_flight"`
	// Warm is false while the server warms up after its start.
	Warm bool `json:"warm"`
}

// LeaseAPI reads and changes the lease and the grants of one server.
type LeaseAPI interface {
	// Lease returns the state of the server with its grants, and changes nothing.
	Lease(ctx context.Context) (LeaseReply, error)
	// UpdateLease renews the lease and grants and revokes shards. If it returns
	// an error, the request may still have taken effect.
	UpdateLease(ctx context.Context, req LeaseRequest) (LeaseReply, error)
}
