package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Effective holds the settings that apply to one target.
type Effective struct {
	Fleet    Fleet
	Service  Service
	Customer Customer
}

// setting describes one setting that an exception may override.
type setting struct {
	field func(*Effective) any
	check func(*Effective) bool
	rule  string
}

// settings lists everything that an exception may override. Shards, data
// centres and fence checks are missing on purpose: they decide who owns a key
// and must be the same for the whole service.
var settings = map[string]setting{
	"slots": {func(e *Effective) any { return &e.Service.Slots },
		func(e *Effective) bool { return e.Service.Slots > 0 }, "must be positive"},
	"max_conns": {func(e *Effective) any { return &e.Service.MaxConns },
		func(e *Effective) bool { return e.Service.MaxConns > 0 }, "must be positive"},
	"max_exchange_ns": {func(e *Effective) any { return &e.Service.MaxExchange },
		func(e *Effective) bool { return e.Service.MaxExchange > 0 }, "must be positive"},
	"share": {func(e *Effective) any { return &e.Customer.Share },
		func(e *Effective) bool { return e.Customer.Share > 0 }, "must be positive"},
	"max_autonomy_ns": {func(e *Effective) any { return &e.Fleet.MaxAutonomy },
		func(e *Effective) bool { return e.Fleet.MaxAutonomy > 0 }, "must be positive"},
	"weight_imbalance": {func(e *Effective) any { return &e.Fleet.WeightImbalance },
		func(e *Effective) bool { return e.Fleet.WeightImbalance >= 0 }, "must not be negative"},
	"weight_churn": {func(e *Effective) any { return &e.Fleet.WeightChurn },
		func(e *Effective) bool { return e.Fleet.WeightChurn >= 0 }, "must not be negative"},
	"weight_unavailable": {func(e *Effective) any { return &e.Fleet.WeightUnavailable },
		func(e *Effective) bool { return e.Fleet.WeightUnavailable >= 0 }, "must not be negative"},
}

// apply sets the exception's value in e.
func (x Exception) apply(e *Effective) error {
	s, ok := settings[x.Setting]
	if !ok {
		return fmt.Errorf("setting %q does not exist or cannot have exceptions", x.Setting)
	}
	if err := json.Unmarshal(x.Value, s.field(e)); err != nil {
		return fmt.Errorf("value %s of %s has the wrong type", x.Value, x.Setting)
	}
	if !s.check(e) {
		return fmt.Errorf("value %s of %s %s", x.Value, x.Setting, s.rule)
	}
	return nil
}

// matches reports whether the target covers a scope.
func (t Target) matches(scope Target) bool {
	return (t.Service == "" || t.Service == scope.Service) &&
		(t.Customer == "" || t.Customer == scope.Customer) &&
		(t.DataCentre == "" || t.DataCentre == scope.DataCentre) &&
		(t.Partition == "" || t.Partition == scope.Partition)
}

// rank orders targets by how specific they are: data centre, service,
// customer, partition, and combinations above their parts.
func (t Target) rank() int {
	r := 0
	for i, set := range []bool{t.DataCentre != "", t.Service != "", t.Customer != "", t.Partition != ""} {
		if set {
			r |= 1 << i
		}
	}
	return r
}

// Effective returns the settings of a scope at a time. The most specific
// exception that has not expired wins. The document must be valid.
func (d *Document) Effective(scope Target, now time.Time) Effective {
	e := Effective{Fleet: d.Fleet, Service: d.Services[scope.Service], Customer: d.Customers[scope.Customer]}
	var matching []Exception
	for _, x := range d.Exceptions {
		if x.Target.matches(scope) && (x.Expires.IsZero() || now.Before(x.Expires)) {
			matching = append(matching, x)
		}
	}
	slices.SortStableFunc(matching, func(a, b Exception) int { return a.Target.rank() - b.Target.rank() })
	for _, x := range matching {
		_ = x.apply(&e) // validated before the document was accepted
	}
	return e
}
