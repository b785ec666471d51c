// Package topology defines the identifiers that all other packages share.
// It has no I/O and no state.
package topology

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HostID names one entry host. It stays the same over restarts.
type HostID string

// Incarnation numbers the starts of one host or one server process. A larger
// value is a later start.
type Incarnation uint64

// DataCentre names one data centre.
type DataCentre string

// CellID names a group of entry hosts in one data centre that share an agreed
// member list.
type CellID string

// Customer names the organisation on whose behalf a request is sent.
type Customer string

// Service names one backend service, for example "booking".
type Service string

// ServerID names one backend server process slot. It stays the same over
// restarts.
type ServerID string

// PartitionID names a set of shards and servers of one service in one data
// centre that one host leads at a time.
type PartitionID string

// ShardID numbers a shard within its service.
type ShardID uint32

// ShardRef identifies the unit of ownership: a shard, or a hot key that was
// split off its shard.
type ShardRef struct {
	Service Service `json:"service"`
	Shard   ShardID `json:"shard"`
	// Key is empty for a whole shard.
	Key string `json:"key,omitempty"`
}

// String returns the form that ParseShardRef accepts.
func (r ShardRef) String() string {
	s := string(r.Service) + "/" + strconv.FormatUint(uint64(r.Shard), 10)
	if r.Key != "" {
		s += "/" + r.Key
	}
	return s
}

// ParseShardRef reads the form that ShardRef.String writes.
func ParseShardRef(s string) (ShardRef, error) {
	parts := strings.SplitN(s, "/", 3)
	if len(parts) < 2 || parts[0] == "" {
		return ShardRef{}, fmt.Errorf("shard reference %q is not service/shard[/key]", s)
	}
	n, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return ShardRef{}, fmt.Errorf("shard reference %q has an invalid shard number", s)
	}
	ref := ShardRef{Service: Service(parts[0]), Shard: ShardID(n)}
	if len(parts) == 3 {
		ref.Key = parts[2]
	}
	return ref, nil
}

// ShardOf maps a customer's key to one of shards shards of the service.
func ShardOf(customer Customer, service Service, key string, shards uint32) ShardID {
	if shards == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(customer))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return ShardID(d.Sum64() % uint64(shards))
}

// Fence is a fencing token. Fences are ordered lexicographically and only
// grow for one shard.
type Fence struct {
	// Home is the revision of the partition's home in the log.
	Home uint32 `json:"home"`
	// List is the version of the cell's member list.
	List uint32 `json:"list"`
	// Term is the leader term within the list.
	Term uint32 `json:"term"`
	// Seq counts the grants of one leader term.
	Seq uint64 `json:"seq"`
}

// Compare returns a negative number if f is older than g, zero if they are
// equal and a positive number if f is newer.
func (f Fence) Compare(g Fence) int {
	return cmp.Or(
		cmp.Compare(f.Home, g.Home),
		cmp.Compare(f.List, g.List),
		cmp.Compare(f.Term, g.Term),
		cmp.Compare(f.Seq, g.Seq),
	)
}

// Epoch returns the fence without its sequence number. It identifies one
// leader term.
func (f Fence) Epoch() Fence {
	f.Seq = 0
	return f
}

// String returns the form that ParseFence accepts.
func (f Fence) String() string {
	b := make([]byte, 0, 48)
	b = append(strconv.AppendUint(b, uint64(f.Home), 10), '.')
	b = append(strconv.AppendUint(b, uint64(f.List), 10), '.')
	b = append(strconv.AppendUint(b, uint64(f.Term), 10), '.')
	return string(strconv.AppendUint(b, f.Seq, 10))
}

// ParseFence reads the form that Fence.String writes.
func ParseFence(s string) (Fence, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return Fence{}, fmt.Errorf("fence %q does not have four numbers", s)
	}
	var n [4]uint64
	for i, p := range parts {
		bits := 32
		if i == 3 {
			bits = 64
		}
		v, err := strconv.ParseUint(p, 10, bits)
		if err != nil {
			return Fence{}, fmt.Errorf("fence %q has an invalid number %q", s, p)
		}
		n[i] = v
	}
	return Fence{Home: uint32(n[0]), List: uint32(n[1]), Term: uint32(n[2]), Seq: n[3]}, nil
}

// MaxMembers is the largest number of members of a cell. Support messages grow
// with the square of it: 5 members cost 11.2 KB/s per host.
const MaxMembers = 5

// Member is one entry of a cell's member list.
type Member struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
}

// PartitionName returns the id of the partition of a service in a data
// centre. The index is 0 while a service has one partition per data centre.
func PartitionName(service Service, dc DataCentre, index int) PartitionID {
	return PartitionID(fmt.Sprintf("%s.%s.%d", service, dc, index))
}
