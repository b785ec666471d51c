package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Config is the state of the config stream. The only subject of the base rule is
// the whole document.
type Config struct{ *Fold }

// NewConfig returns the state before the first record.
func NewConfig() *Config {
	return &Config{newFold(record.StreamConfig, &configMachine{Revision: noRevision, Shards: make(map[topology.Service]uint32)})}
}

// Document returns the current configuration and its revision. The document is
// nil before the first accepted record and must not be changed.
func (c *Config) Document() (*config.Document, Revision) {
	m := c.machine.(*configMachine)
	return m.Document, m.Revision
}

type configMachine struct {
	Document *config.Document `json:"document"`
	Revision Revision         `json:"revision"`
	// Shards contains the shard count of every service that ever existed,
	// because a service that is removed and added again must keep it.
	Shards map[topology.Service]uint32 `json:"shards"`
}

func (m *configMachine) known(k record.Kind) bool {
	return k == record.KindConfig || k == record.KindConfigChange
}

func (m *configMachine) prepare(e record.Envelope) (change, error) {
	next, err := m.decode(e)
	if err != nil {
		return change{}, err
	}
	return change{
		subject: "configuration", latest: &m.Revision,
		check: func() error { return m.check(next) },
		commit: func(r Revision) {
			m.Document, m.Revision = next, r
			for name, s := range next.Services {
				m.Shards[name] = s.Shards
			}
		},
	}, nil
}

func (m *configMachine) decode(e record.Envelope) (*config.Document, error) {
	if e.Kind == record.KindConfigChange {
		c, err := record.Body[config.Change](e)
		if err != nil {
			return nil, err
		}
		return c.Apply(m.Document), nil
	}
	d, err := record.Body[config.Document](e)
	if err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return config.Diff(nil, &d).Apply(nil), nil // in canonical order
}

func (m *configMachine) check(next *config.Document) error {
	if err := config.ValidateChange(m.Document, next); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		if old, ok := m.Shards[name]; ok && old != next.Services[name].Shards {
			return fmt.Errorf("service %q had %d shards before it was removed", name, old)
		}
	}
	return nil
}

func (m *configMachine) snapshot() any { return m }

func (m *configMachine) restore(data json.RawMessage) (stateMachine, error) {
	s, err := decodeState[configMachine](data)
	if err != nil {
		return nil, err
	}
	if s.Shards == nil {
		s.Shards = make(map[topology.Service]uint32)
	}
	if s.Document != nil {
		if err := s.Document.Validate(); err != nil {
			return nil, err
		}
	}
	return &s, nil
}
