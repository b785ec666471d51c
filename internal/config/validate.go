package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// MaxShards bounds the shards of a service.
	MaxShards = 1 << 20
	// MaxExceptions keeps the list short; a longer list means that the
	// defaults are wrong.
	MaxExceptions = 1000
)

// Problems lists everything that is wrong with a document.
type Problems []string

// Error implements error.
func (p Problems) Error() string { return strings.Join(p, "\n") }

func (p *Problems) add(format string, args ...any) { *p = append(*p, fmt.Sprintf(format, args...)) }

func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Validate returns nil or Problems with every error of the document. The fold
// of the log uses it, so a new rule needs a new record version: hosts of
// different releases must accept the same records.
func (d *Document) Validate() error {
	var p Problems
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		validateService(&p, name, d.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Customers)) {
		if name == "" {
			p.add("a customer has no name")
		}
		if d.Customers[name].Share <= 0 {
			p.add("customer %q: share must be positive", name)
		}
	}
	if d.Fleet.MaxAutonomy < 0 || d.Fleet.WeightImbalance < 0 || d.Fleet.WeightChurn < 0 || d.Fleet.WeightUnavailable < 0 {
		p.add("fleet: settings must not be negative")
	}
	d.validateExceptions(&p)
	return p.err()
}

func validateService(p *Problems, name topology.Service, s Service) {
	if name == "" || strings.ContainsAny(string(name), "/ ") {
		p.add("service %q: name is empty or contains a slash or a space", name)
	}
	if s.Shards == 0 || s.Shards > MaxShards {
		p.add("service %q: shards must be between 1 and %d", name, MaxShards)
	}
	if len(s.DataCentres) == 0 {
		p.add("service %q: needs a data centre", name)
	}
	seen := make(map[topology.DataCentre]bool)
	for _, dc := range s.DataCentres {
		if dc == "" || seen[dc] {
			p.add("service %q: data centre %q is empty or listed twice", name, dc)
		}
		seen[dc] = true
	}
	if s.Slots <= 0 || s.MaxConns <= 0 {
		p.add("service %q: slots and max_conns must be positive", name)
	}
	if s.MaxExchange < 0 {
		p.add("service %q: max_exchange_ns must not be negative", name)
	}
}

func (d *Document) validateExceptions(p *Problems) {
	if len(d.Exceptions) > MaxExceptions {
		p.add("%d exceptions; at most %d are allowed", len(d.Exceptions), MaxExceptions)
	}
	type subject struct {
		target  Target
		setting string
	}
	ids, subjects := make(map[string]bool), make(map[subject]string)
	for _, x := range d.Exceptions {
		if x.ID == "" || ids[x.ID] {
			p.add("exception %q: id is empty or used twice", x.ID)
		}
		ids[x.ID] = true
		key := subject{x.Target, x.Setting}
		if other, ok := subjects[key]; ok {
			p.add("exception %q: same target and setting as exception %q", x.ID, other)
		}
		subjects[key] = x.ID
		d.validateException(p, x)
	}
}

func (d *Document) validateException(p *Problems, x Exception) {
	if strings.TrimSpace(x.Reason) == "" {
		p.add("exception %q: needs a written reason", x.ID)
	}
	if x.Target == (Target{}) {
		p.add("exception %q: needs a target", x.ID)
	}
	if _, ok := d.Services[x.Target.Service]; x.Target.Service != "" && !ok {
		p.add("exception %q: service %q is not configured", x.ID, x.Target.Service)
	}
	if _, ok := d.Customers[x.Target.Customer]; x.Target.Customer != "" && !ok {
		p.add("exception %q: customer %q is not configured", x.ID, x.Target.Customer)
	}
	if bytes.Equal(bytes.TrimSpace(x.Value), []byte("null")) || len(x.Value) == 0 {
		p.add("exception %q: needs a value", x.ID)
		return
	}
	if err := x.apply(&Effective{}); err != nil {
		p.add("exception %q: %v", x.ID, err)
	}
}

// ValidateChange returns nil or Problems with every error of next, including
// changes that the previous document does not allow. prev may be nil.
func ValidateChange(prev, next *Document) error {
	var p Problems
	if err := next.Validate(); err != nil {
		p = err.(Problems) //nolint:errorlint // Validate returns Problems only
	}
	if prev == nil {
		return p.err()
	}
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		old, ok := prev.Services[name]
		if !ok {
			continue
		}
		if old.Shards != next.Services[name].Shards {
			p.add("service %q: shards must not change (%d to %d)", name, old.Shards, next.Services[name].Shards)
		}
		if !slices.Equal(old.DataCentres, next.Services[name].DataCentres) {
			p.add("service %q: data_centres must not change; move shards by home records", name)
		}
	}
	return p.err()
}
