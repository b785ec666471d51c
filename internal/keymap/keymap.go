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

// Encode returns the Map as JSON.
func (m Map) Encode() ([]byte, error) { return json.Marshal(m) }

// Decode decodes the result of Encode and checks that the ranges cover all keys, in
// order and without gaps or overlaps.
func Decode(data []byte) (Map, error) {
	var m Map
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("cannot decode key map: %w", err)
	}
	next := 0
	for _, r := range m {
		if r.From != next || r.To < r.From || r.To >= KeyCount {
			return nil, fmt.Errorf("key map has the range %d to %d, but the next range must start at key %d", r.From, r.To, next)
		}
		next = r.To + 1
	}
	if next != KeyCount {
		return nil, fmt.Errorf("key map has no range for key %d", next)
	}
	return m, nil
}
