// Package keymap records which server may hold which range of keys. It
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

// Range gives the keys from From to To, both included, to a server. Server is
// empty if no server may hold them.
type Range struct {
	From   int               `json:"f"`
	To     int               `json:"t"`
	Server topology.ServerID `json:"s,omitempty"`
}

// Map is a list of ranges that covers all keys in order without gaps.
type Map []Range

// Empty returns a Map in which no server may hold any key.
func Empty() Map { return Map{{From: 0, To: KeyCount - 1}} }

// At returns the index of the range that holds the key.
func (m Map) At(key int) int {
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

// Server returns the server of the key.
func (m Map) Server(key int) topology.ServerID { return m[m.At(key)].Server }

// Encode returns the Map in the form that Decode reads.
func (m Map) Encode() ([]byte, error) { return json.Marshal(m) }

// Decode reads a Map and checks that it covers all keys once.
func Decode(data []byte) (Map, error) {
	var m Map
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("key map cannot be read: %w", err)
	}
	next := 0
	for _, r := range m {
		if r.From != next || r.To < r.From || r.To >= KeyCount {
			return nil, fmt.Errorf("key map has the range %d to %d where key %d is due", r.From, r.To, next)
		}
		next = r.To + 1
	}
	if next != KeyCount {
		return nil, fmt.Errorf("key map ends before key %d", next)
	}
	return m, nil
}
