// Package keymap defines the map from key ranges to the servers that may own them. It
// performs no I/O.
package keymap

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// KeyCount is the number of keys of a service; keys are 0 to KeyCount-1.
const KeyCount = 65536

// Range assigns the keys in [From, To] to a server. Server is empty if no server may
// own them.
type Range struct {
	From   int               `json:"f"`
	To     int               `json:"t"`
	Server topology.ServerID `json:"s,omitempty"`
	// Address and Incarnation are those of Server as last registered, for a leader whose list
	// of servers lacks it; empty and zero if they are not known.
	Address     string `json:"a,omitempty"`
	Incarnation int64  `json:"i,omitempty"`
	// OwnerUnknown is true if any server may own the keys, by a grant of an earlier
	// leader. Server is then the one that they were last known to be assigned to.
	OwnerUnknown bool `json:"u,omitempty"`
	// FormerOwners holds the servers that lost keys of the range without having taken a
	// fence that shuts out the grants of earlier leaders.
	FormerOwners []FormerOwner `json:"o,omitempty"`
}

// FormerOwner is a start of a server that owned keys.
type FormerOwner struct {
	Server  topology.ServerID `json:"s"`
	Address string            `json:"a"`
	// Incarnation identifies the start; zero if it is not known.
	Incarnation int64 `json:"i,omitempty"`
}

// Map is a list of ranges that covers all keys, in order and without gaps or overlaps.
type Map []Range

// Empty returns a Map in which no server may own any key.
func Empty() Map { return Map{{From: 0, To: KeyCount - 1}} }

// IndexOf returns the index of the range that contains the key.
func (m Map) IndexOf(key int) int {
	i, _ := slices.BinarySearchFunc(m, key, func(r Range, k int) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	return i
}

// Server returns the server that may own the key; empty if none may.
func (m Map) Server(key int) topology.ServerID { return m[m.IndexOf(key)].Server }

// WithUnknownOwners returns a copy of the Map for the case that it may be out of date.
func (m Map) WithUnknownOwners() Map {
	out := slices.Clone(m)
	for i := range out {
		out[i].OwnerUnknown = true
	}
	return out
}

// storedRange is the stored form of a Range. The first range of a Map holds the era of
// the store in which the Map was written; releases that know no eras ignore it.
type storedRange struct {
	Range
	Era int64 `json:"e,omitempty"`
}

// Encode returns the Map as JSON, together with the era of the store.
func (m Map) Encode(era int64) ([]byte, error) {
	ranges := make([]storedRange, len(m))
	for i, r := range m {
		ranges[i].Range = r
	}
	if len(ranges) > 0 {
		ranges[0].Era = era
	}
	return json.Marshal(ranges)
}

// Decode decodes the result of Encode and checks that the ranges cover all keys, in
// order and without gaps or overlaps. The era is zero if none was stored.
func Decode(data []byte) (m Map, era int64, err error) {
	var ranges []storedRange
	if err := json.Unmarshal(data, &ranges); err != nil {
		return nil, 0, fmt.Errorf("cannot decode key map: %w", err)
	}
	next := 0
	for _, r := range ranges {
		if r.From != next || r.To < r.From || r.To >= KeyCount {
			return nil, 0, fmt.Errorf("key map has the range %d to %d, but the next range must start at key %d", r.From, r.To, next)
		}
		next = r.To + 1
		era = max(era, r.Era)
		m = append(m, r.Range)
	}
	if next != KeyCount {
		return nil, 0, fmt.Errorf("key map has no range for key %d", next)
	}
	return m, era, nil
}
