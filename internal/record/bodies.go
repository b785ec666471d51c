package record

import (
	"errors"
	"fmt"
	"strings"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Mode is the mode of a member, with regard to its member list, at the time of
// its pledge.
type Mode string

// Modes of a member that gives a pledge. ModeLost means that the member could
// not read the log for longer than the election allows.
const (
	ModeNormal Mode = "normal"
	ModeLost   Mode = "lost"
)

// Pledge is the consent of a member to the replacement of member list
// ListVersion.
type Pledge struct {
	ListVersion uint32               `json:"list"`
	Host        topology.HostID      `json:"host"`
	Incarnation topology.Incarnation `json:"incarnation"`
	Mode        Mode                 `json:"mode"`
}

// MemberList is the body of a KindMembers record.
type MemberList struct {
	Cell       topology.CellID     `json:"cell"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Version    uint32              `json:"version"`
	Members    []topology.Member   `json:"members"`
	// Pledges are given by members of the list with version Version-1.
	Pledges []Pledge `json:"pledges,omitempty"`
	// HostsStoppedID is the id of the KindHostsStopped record that replaces
	// missing pledges.
	HostsStoppedID string `json:"stopped,omitempty"`
}

// Check returns an error if the list is malformed.
func (l MemberList) Check() error {
	if l.Cell == "" || l.DataCentre == "" || l.Version == 0 {
		return errors.New("cell, data_centre and version are required")
	}
	if len(l.Members) == 0 || len(l.Members) > topology.MaxMembers {
		return fmt.Errorf("%d members; a cell has 1 to %d", len(l.Members), topology.MaxMembers)
	}
	if len(l.Pledges) > topology.MaxMembers {
		return fmt.Errorf("%d pledges; at most %d are possible", len(l.Pledges), topology.MaxMembers)
	}
	for _, p := range l.Pledges {
		if p.Mode != ModeNormal && p.Mode != ModeLost {
			return fmt.Errorf("pledge of host %q has the unknown mode %q", p.Host, p.Mode)
		}
	}
	return checkMembers(l.Members)
}

func checkMembers(members []topology.Member) error {
	seen := make(map[topology.HostID]bool, len(members))
	for _, m := range members {
		if m.Host == "" || m.Incarnation == 0 {
			return errors.New("a member needs a host and an incarnation")
		}
		if seen[m.Host] {
			return fmt.Errorf("host %q is listed twice", m.Host)
		}
		seen[m.Host] = true
	}
	return nil
}

// HostsStopped is the body of a KindHostsStopped record: an operator states
// that the listed incarnations no longer run. It is in the members stream,
// because the state of that stream depends on it and records of different
// streams have no defined order.
type HostsStopped struct {
	Members []topology.Member `json:"members"`
	Reason  string            `json:"reason"`
}

// Check returns an error if the body is malformed.
func (h HostsStopped) Check() error {
	if len(h.Members) == 0 {
		return errors.New("members are required")
	}
	if strings.TrimSpace(h.Reason) == "" {
		return errors.New("a written reason is required")
	}
	return checkMembers(h.Members)
}

// Release is the body of a KindRelease record: the partition that is the home
// of the shards has revoked all grants and gives the shards up.
type Release struct {
	Service    topology.Service     `json:"service"`
	Shards     []topology.ShardID   `json:"shards"`
	Partition  topology.PartitionID `json:"partition"`
	DataCentre topology.DataCentre  `json:"data_centre"`
}

// Check returns an error if the body is malformed.
func (r Release) Check() error {
	return checkShards(r.Service, r.Shards, r.Partition, r.DataCentre)
}

// TakeOver is the body of a KindTakeOver record: a partition becomes the home
// of released shards.
type TakeOver struct {
	Service    topology.Service     `json:"service"`
	Shards     []topology.ShardID   `json:"shards"`
	Partition  topology.PartitionID `json:"partition"`
	DataCentre topology.DataCentre  `json:"data_centre"`
	// From and HostsStoppedID are set if the shards were not released: From is
	// the data centre of their present home, and HostsStoppedID is the id of a
	// KindHostsStopped record that lists all members of the cells of From.
	From           topology.DataCentre `json:"from,omitempty"`
	HostsStoppedID string              `json:"stopped,omitempty"`
}

// Check returns an error if the body is malformed.
func (t TakeOver) Check() error {
	if (t.From == "") != (t.HostsStoppedID == "") {
		return errors.New("from and stopped must be set together")
	}
	return checkShards(t.Service, t.Shards, t.Partition, t.DataCentre)
}

func checkShards(service topology.Service, shards []topology.ShardID, partition topology.PartitionID, dc topology.DataCentre) error {
	if service == "" || partition == "" || dc == "" || len(shards) == 0 {
		return errors.New("service, shards, partition and data_centre are required")
	}
	seen := make(map[topology.ShardID]bool, len(shards))
	for _, s := range shards {
		if seen[s] {
			return fmt.Errorf("shard %d is listed twice", s)
		}
		seen[s] = true
	}
	return nil
}

// SplitKey is a hot key that has been split off its shard and has an owner of
// its own.
type SplitKey struct {
	Shard topology.ShardID `json:"shard"`
	Key   string           `json:"key"`
}

// Grant names the owner of a set of shards and split keys.
type Grant struct {
	Server topology.ServerID  `json:"server"`
	Fence  topology.Fence     `json:"fence"`
	Since  int64              `json:"since_ms"` // wall clock, Unix milliseconds
	Reason string             `json:"reason"`
	Shards []topology.ShardID `json:"shards,omitempty"`
	Keys   []SplitKey         `json:"keys,omitempty"`
}

// Assignments is the body of a KindAssign record: a batch of ownership changes
// in one partition.
type Assignments struct {
	Partition topology.PartitionID `json:"partition"`
	Service   topology.Service     `json:"service"`
	// ListVersion and Term identify the leadership that wrote the batch. The
	// fences of all grants contain them.
	ListVersion uint32  `json:"list"`
	Term        uint32  `json:"term"`
	Grants      []Grant `json:"grants,omitempty"`
	// Joined are split keys that belong to the owner of their shard again.
	Joined []SplitKey `json:"joined,omitempty"`
	// Dropped are shards that no longer belong to the partition.
	Dropped []topology.ShardID `json:"dropped,omitempty"`
}

// Check returns an error if the body is malformed.
func (a Assignments) Check() error {
	if a.Partition == "" || a.Service == "" || a.ListVersion == 0 {
		return errors.New("partition, service and list are required")
	}
	seen := make(map[SplitKey]bool)
	addUnique := func(k SplitKey) error {
		if seen[k] {
			return fmt.Errorf("shard %d key %q is named twice", k.Shard, k.Key)
		}
		seen[k] = true
		return nil
	}
	for _, g := range a.Grants {
		if g.Server == "" {
			return errors.New("a grant names no server")
		}
		if g.Fence.List != a.ListVersion || g.Fence.Term != a.Term {
			return fmt.Errorf("fence %s is not of list %d term %d", g.Fence, a.ListVersion, a.Term)
		}
		for _, s := range g.Shards {
			if err := addUnique(SplitKey{Shard: s}); err != nil {
				return err
			}
		}
		if err := addKeys(g.Keys, addUnique); err != nil {
			return err
		}
	}
	for _, s := range a.Dropped {
		if err := addUnique(SplitKey{Shard: s}); err != nil {
			return err
		}
	}
	return addKeys(a.Joined, addUnique)
}

func addKeys(keys []SplitKey, add func(SplitKey) error) error {
	for _, k := range keys {
		if k.Key == "" {
			return fmt.Errorf("split key of shard %d is empty", k.Shard)
		}
		if err := add(k); err != nil {
			return err
		}
	}
	return nil
}

// Fingerprint is the digest of a request in text form. Requests of the same
// content have the same fingerprint.
type Fingerprint string

// Crash names a request that was in flight when a server crashed and may have
// caused the crash.
type Crash struct {
	Fingerprint Fingerprint          `json:"fingerprint"`
	Server      topology.ServerID    `json:"server"`
	Incarnation topology.Incarnation `json:"incarnation"`
	At          int64                `json:"at_ms"` // wall clock, Unix milliseconds
}

// Crashes is the body of a KindCrashes record: the requests that were in flight
// when a server crashed.
type Crashes struct {
	Suspects []Crash `json:"suspects"`
}

// Check returns an error if the body is malformed.
func (c Crashes) Check() error {
	if len(c.Suspects) == 0 {
		return errors.New("suspects are required")
	}
	for _, s := range c.Suspects {
		if err := s.Fingerprint.check(); err != nil {
			return err
		}
		if s.Server == "" || s.Incarnation == 0 || s.At <= 0 {
			return errors.New("server, incarnation and at_ms are required")
		}
	}
	return nil
}

// maxFingerprintBytes is the length of a SHA-512 in hexadecimal.
const maxFingerprintBytes = 128

func (f Fingerprint) check() error {
	if f == "" || len(f) > maxFingerprintBytes {
		return fmt.Errorf("fingerprint is empty or longer than %d bytes", maxFingerprintBytes)
	}
	return nil
}

// Quarantine is the body of a KindQuarantine record: requests with the
// fingerprint are refused until a time, for example because of crashes that a
// leader counted while the log was unavailable.
type Quarantine struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Until       int64       `json:"until_ms"` // wall clock, Unix milliseconds
	Reason      string      `json:"reason"`
}

// Check returns an error if the body is malformed.
func (q Quarantine) Check() error {
	if q.Until <= 0 || strings.TrimSpace(q.Reason) == "" {
		return errors.New("until_ms and reason are required")
	}
	return q.Fingerprint.check()
}
