// Package serverapi defines the contract between the router and a backend
// server, and its HTTP client.
//
//	GET /v1/lease          state of the server's lease (LeaseReply)
//	PUT /v1/lease          renew, grant, revoke (LeaseRequest -> LeaseReply)
//	GET /v1/load           LoadReport; may lag or mislead
//	GET /v1/health         200 or 503; may lag or mislead
//	ANY /v1/run/{path}     one request, with the headers below
//
// A server owns a shard while it holds an unexpired grant for it. It measures
// the expiry on its own clock from a tick that it reported earlier, so the
// transit time of a message never extends a grant.
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
	// HeaderTimeout is the remaining time of the request in milliseconds.
	HeaderTimeout = "Lyr-Timeout"
	// HeaderNotAfter is the wall clock time in Unix milliseconds after which
	// the server must not start the request.
	HeaderNotAfter = "Lyr-Not-After"
	// HeaderVerdict is set by the server: "not-run" or "ran".
	HeaderVerdict = "Lyr-Verdict"
	// HeaderExchange is an id that the router chooses for each exchange and that
	// the server repeats in its answer, so that an answer cannot be taken for
	// that of another request.
	HeaderExchange = "Lyr-Exchange"
	// HeaderError is the server's error code with verdict "not-run".
	HeaderError = "Lyr-Error"
)

// GrantOrder asks the server to own a shard.
type GrantOrder struct {
	Ref   topology.ShardRef `json:"ref"`
	Fence topology.Fence    `json:"fence"`
	// OnlyIfHeld makes the order an extension: it is refused unless the server
	// holds an unexpired grant for the shard.
	OnlyIfHeld bool `json:"only_if_held,omitempty"`
	// Except lists keys of a whole shard that were split off.
	Except []string `json:"except,omitempty"`
}

// RevokeOrder asks the server to give up a shard. The server acknowledges it
// when no request of the shard is running.
type RevokeOrder struct {
	Ref   topology.ShardRef `json:"ref"`
	Fence topology.Fence    `json:"fence"`
}

// LeaseRequest renews the lease of all shards that the server holds and
// carries changes.
type LeaseRequest struct {
	Partition topology.PartitionID `json:"partition"`
	// Epoch identifies the leader term. A server refuses an epoch that is
	// older than the newest it has seen.
	Epoch topology.Fence `json:"epoch"`
	// Incarnation must be the server's current one.
	Incarnation topology.Incarnation `json:"incarnation"`
	// Tick is a reading of the server's clock from an earlier reply. The lease
	// ends at Tick + Duration on the server's clock.
	Tick     time.Duration `json:"tick"`
	Duration time.Duration `json:"duration"`
	Grant    []GrantOrder  `json:"grant,omitempty"`
	Revoke   []RevokeOrder `json:"revoke,omitempty"`
	// WithHeld asks for the list of held grants in the reply.
	WithHeld bool `json:"with_held,omitempty"`
}

// HeldGrant is a grant that the server holds.
type HeldGrant struct {
	Ref    topology.ShardRef `json:"ref"`
	Fence  topology.Fence    `json:"fence"`
	Except []string          `json:"except,omitempty"`
}

// RefusalCode says why the server refused a lease request or an order.
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

// Refusal is the server's answer to an order that it did not carry out.
type Refusal struct {
	Ref  topology.ShardRef `json:"ref"`
	Code RefusalCode       `json:"code"`
	// Newest is the newest fence that the server has seen for the shard.
	Newest topology.Fence `json:"newest"`
}

// LeaseReply is the state of the server.
type LeaseReply struct {
	Server      topology.ServerID    `json:"server"`
	Incarnation topology.Incarnation `json:"incarnation"`
	// Tick is the server's clock at the reply.
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

// LoadReport is what the server says of its own load.
type LoadReport struct {
	// Utilisation is between 0 and 1 per slot in use.
	Utilisation float64 `json:"utilisation"`
	InFlight    int     `json:"in_flight"`
	// Warm is false while the server starts cold.
	Warm bool `json:"warm"`
}

// Control is the control side of one server.
type Control interface {
	// Lease returns the state without changing it, with the held grants.
	Lease(ctx context.Context) (LeaseReply, error)
	// UpdateLease renews, grants and revokes. After an error the request may or
	// may not have taken effect.
	UpdateLease(ctx context.Context, req LeaseRequest) (LeaseReply, error)
}
