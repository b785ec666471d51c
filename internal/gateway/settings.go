package gateway

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Settings are what a host learns from its surroundings at its start.
type Settings struct {
	Host       topology.HostID
	DataCentre topology.DataCentre
	IP         string
	// CPUShare is the part of a core that the host may use.
	CPUShare    float64
	MemoryBytes int64
	// CallerAddress takes requests of callers, ReadyAddress the readiness
	// checks of the balancer.
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// PeerPort is the UDP port for datagrams between hosts, the same on all.
	PeerPort int
	// MetricsAddress serves metrics as text; empty for none.
	MetricsAddress string
	Bounds         Bounds
}

// Bounds are the promises of the deployment.
type Bounds struct {
	// LeaveNotice is the time after the acknowledged announcement of a server's
	// shutdown in which requests may still reach it.
	LeaveNotice time.Duration
	// ConfigInForce is the time after which an acknowledged configuration is
	// in force.
	ConfigInForce time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// GrantMax is the longest duration of a grant.
	GrantMax time.Duration
	// RetryRatio and RetrySlack bound the repeated arrivals at a service in
	// any RetryWindow: ratio times the requests plus the slack, over all hosts.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ServerBeat is the interval at which servers renew their registration.
	ServerBeat time.Duration
	// MembershipTerm is the shortest time to live of a group membership.
	MembershipTerm time.Duration
}
