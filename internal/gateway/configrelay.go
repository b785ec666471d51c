package gateway

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lycheerudder/lycheerudder/internal/hostlink"
)

const (
	// configPartBytes bounds a part of the configuration, which fits into one packet.
	configPartBytes = 1150
	// maxConfigParts bounds the parts of a configuration that hosts obtain from the leader:
	// sent to 70 hosts, 64 parts take 4 s on a link of 10 Mbit/s. A larger one is read from
	// the store.
	maxConfigParts = 64
	// maxConfigBytes bounds an uncompressed configuration. It exceeds a response of the
	// store to one read.
	maxConfigBytes = 4 << 20
	// configPartRetry is the time after which a part is asked for again: some round trips
	// between data centres.
	configPartRetry = 60 * time.Millisecond
	// configFetchTime is the time after which a host reads the configuration from the store
	// because the leader has not sent it.
	configFetchTime = 400 * time.Millisecond
)

// relayedRecord is a record of the configuration on its way between hosts.
type relayedRecord struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset int64
}

// encodeConfig returns records as hosts send them to each other.
func encodeConfig(records []Record) ([]byte, error) {
	list := make([]relayedRecord, 0, len(records))
	for _, r := range records {
		list = append(list, relayedRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	data, err := cbor.Marshal(list)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close() // writes the rest
	return out.Bytes(), err
}

func decodeConfig(data []byte) ([]Record, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxConfigBytes))
	if err != nil {
		return nil, err
	}
	var list []relayedRecord
	if err := cbor.Unmarshal(plain, &list); err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(list))
	for _, r := range list {
		records = append(records, Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return records, nil
}

// handleConfigRequest responds with a part of the configuration that this host has read, if
// it leads.
func (s *stateSource) handleConfigRequest(from netip.AddrPort, m *hostlink.ConfigRequest) {
	_, epoch := s.elector.leaderClient.currentLeader()
	if s.elector.scheduler.Load() == nil || m.Epoch != epoch {
		return
	}
	records, position := s.elector.store.ConfigRecords()
	if position == (Position{}) {
		return
	}
	s.mu.Lock()
	if position != s.configAt {
		data, err := encodeConfig(records)
		if err != nil {
			s.mu.Unlock()
			return // the host reads from the store
		}
		s.config, s.configAt = data, position
	}
	data := s.config
	s.mu.Unlock()
	parts := (len(data) + configPartBytes - 1) / configPartBytes
	if parts > maxConfigParts || int(m.Part) >= parts {
		return
	}
	at := int(m.Part) * configPartBytes
	_ = s.link.SendConfigPart(from, &hostlink.ConfigPart{ // the host asks again
		Number: m.Number, Epoch: epoch, Era: position.Era, Offset: position.Offset, Part: m.Part, Parts: uint16(parts), Data: data[at:min(at+configPartBytes, len(data))],
	})
}

// handleConfigPart passes a part of the configuration to fetchConfig.
func (c *stateCopy) handleConfigPart(from netip.AddrPort, m *hostlink.ConfigPart) {
	leader, epoch := c.client.currentLeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	if from != leader || m.Epoch != epoch || m.Number != c.configRequest {
		return
	}
	select {
	case c.configParts <- m:
	default: // asked for again
	}
}

// fetchConfig obtains the configuration from the leader. It returns false if the leader does
// not send one that is after the given position in time.
func (c *stateCopy) fetchConfig(ctx context.Context, after Position) ([]Record, Position, bool) {
	leader, epoch := c.client.currentLeader()
	if !leader.IsValid() {
		return nil, Position{}, false
	}
	c.mu.Lock()
	c.configRequest++
	number := c.configRequest
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, configFetchTime)
	defer cancel()
	var position Position
	var data []byte
	for part := uint16(0); ; {
		_ = c.link.SendConfigRequest(leader, &hostlink.ConfigRequest{Number: number, Epoch: epoch, Part: part}) // repeated
		select {
		case <-ctx.Done():
			return nil, Position{}, false
		case <-time.After(configPartRetry):
			continue
		case m := <-c.configParts:
			at := Position{Era: m.Era, Offset: m.Offset}
			switch {
			case m.Number != number || m.Part != part && at == position:
				continue // late
			case at != position && m.Part != 0:
				position, data, part = Position{}, nil, 0 // there is a newer one
				continue
			case !at.follows(after):
				return nil, Position{}, false
			}
			position, data = at, append(data, m.Data...)
			if part++; part < m.Parts {
				continue
			}
			records, err := decodeConfig(data)
			if err != nil {
				c.log.Warn("the configuration that the leader sent cannot be decoded: " + err.Error())
				return nil, Position{}, false
			}
			return records, position, true
		}
	}
}
