package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Change is the difference between two documents. It keeps the size of a
// configuration record independent of the size of the document.
type Change struct {
	Fleet *Fleet `json:"fleet,omitempty"`
	// Services and Customers hold the new value, or null for a removal.
	Services  map[topology.Service]*Service   `json:"services,omitempty"`
	Customers map[topology.Customer]*Customer `json:"customers,omitempty"`
	// Exceptions replace those of the same id.
	Exceptions []Exception `json:"exceptions,omitempty"`
	// RemoveExceptions lists ids of exceptions.
	RemoveExceptions []string `json:"remove_exceptions,omitempty"`
}

// Check returns an error if the change names an exception twice.
func (c Change) Check() error {
	seen := make(map[string]bool)
	for _, id := range c.RemoveExceptions {
		seen[id] = true
	}
	for _, x := range c.Exceptions {
		if seen[x.ID] {
			return fmt.Errorf("exception %q is changed twice", x.ID)
		}
		seen[x.ID] = true
	}
	return nil
}

// Diff returns the change that turns prev into next. prev may be nil.
func Diff(prev, next *Document) Change {
	if prev == nil {
		prev = &Document{}
	}
	var c Change
	if prev.Fleet != next.Fleet {
		c.Fleet = &next.Fleet
	}
	c.Services = diffMap(prev.Services, next.Services)
	c.Customers = diffMap(prev.Customers, next.Customers)
	old := prev.exceptionsByID()
	for _, x := range next.Exceptions {
		if o, ok := old[x.ID]; !ok || !x.equal(o) {
			c.Exceptions = append(c.Exceptions, x)
		}
		delete(old, x.ID)
	}
	c.RemoveExceptions = slices.Sorted(maps.Keys(old))
	return c
}

func diffMap[K comparable, V any](prev, next map[K]V) map[K]*V {
	changed := make(map[K]*V)
	for k, v := range next {
		if old, ok := prev[k]; !ok || !reflect.DeepEqual(old, v) {
			changed[k] = &v
		}
	}
	for k := range prev {
		if _, ok := next[k]; !ok {
			changed[k] = nil
		}
	}
	return changed
}

func (d *Document) exceptionsByID() map[string]Exception {
	m := make(map[string]Exception, len(d.Exceptions))
	for _, x := range d.Exceptions {
		m[x.ID] = x
	}
	return m
}

func (x Exception) equal(o Exception) bool {
	return x.Target == o.Target && x.Setting == o.Setting && x.Reason == o.Reason &&
		x.Expires.Equal(o.Expires) && bytes.Equal(compact(x.Value), compact(o.Value))
}

func compact(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}

// Apply returns a new document with the change made; prev stays as it is and
// may be nil. Exceptions are ordered by id.
func (c Change) Apply(prev *Document) *Document {
	next := &Document{Services: make(map[topology.Service]Service), Customers: make(map[topology.Customer]Customer)}
	exceptions := make(map[string]Exception)
	if prev != nil {
		next.Fleet = prev.Fleet
		maps.Copy(next.Services, prev.Services)
		maps.Copy(next.Customers, prev.Customers)
		exceptions = prev.exceptionsByID()
	}
	if c.Fleet != nil {
		next.Fleet = *c.Fleet
	}
	applyMap(next.Services, c.Services)
	applyMap(next.Customers, c.Customers)
	for _, id := range c.RemoveExceptions {
		delete(exceptions, id)
	}
	for _, x := range c.Exceptions {
		exceptions[x.ID] = x
	}
	for _, id := range slices.Sorted(maps.Keys(exceptions)) {
		next.Exceptions = append(next.Exceptions, exceptions[id])
	}
	return next
}

func applyMap[K comparable, V any](into map[K]V, changes map[K]*V) {
	for k, v := range changes {
		if v == nil {
			delete(into, k)
		} else {
			into[k] = *v
		}
	}
}

// Describe returns the change as one line per item for operators. prev may be
// nil.
func (c Change) Describe(prev *Document) []string {
	if prev == nil {
		prev = &Document{}
	}
	var lines []string
	if c.Fleet != nil {
		lines = append(lines, fmt.Sprintf("fleet: %s -> %s", show(prev.Fleet), show(*c.Fleet)))
	}
	lines = describeMap(lines, "service", prev.Services, c.Services)
	lines = describeMap(lines, "customer", prev.Customers, c.Customers)
	old := prev.exceptionsByID()
	for _, x := range c.Exceptions {
		if o, ok := old[x.ID]; ok {
			lines = append(lines, fmt.Sprintf("exception %s: %s -> %s", x.ID, show(o), show(x)))
		} else {
			lines = append(lines, fmt.Sprintf("exception %s: added %s", x.ID, show(x)))
		}
	}
	for _, id := range c.RemoveExceptions {
		lines = append(lines, fmt.Sprintf("exception %s: removed %s", id, show(old[id])))
	}
	return lines
}

func describeMap[K ~string, V any](lines []string, what string, prev map[K]V, changes map[K]*V) []string {
	for _, k := range slices.Sorted(maps.Keys(changes)) {
		old, existed := prev[k]
		switch v := changes[k]; {
		case v == nil:
			lines = append(lines, fmt.Sprintf("%s %s: removed %s", what, k, show(old)))
		case existed:
			lines = append(lines, fmt.Sprintf("%s %s: %s -> %s", what, k, show(old), show(*v)))
		default:
			lines = append(lines, fmt.Sprintf("%s %s: added %s", what, k, show(*v)))
		}
	}
	return lines
}

func show(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf("%+v", v)
	}
	return string(data)
}
