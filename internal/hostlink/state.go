package hostlink

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// StateRequest is a message from a host to the leader that it follows: it asks for the
// changes of servers and owners of keys after a number.
type StateRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the request among those of the sender.
	Number uint32
	// Epoch is the epoch of the leader.
	Epoch int64
	After uint64
	// Digest is that of the sender's copy, if After is zero.
	Digest uint64
}

// StateServer is the present state of a server.
type StateServer struct {
	_           struct{} `cbor:",toarray"`
	Change      uint64   // number of the change
	Server      string
	Removed     bool // whether the server is not registered; the fields below are then empty
	Service     string
	Address     string
	DataCentre  string
	Slots       int32
	Incarnation int64
	Draining    bool
	// WarmupLeftMS is the time left of the warm-up when the change was noticed.
	WarmupLeftMS uint32
}

// StateRange is the present server of a range of keys; empty if there is none.
type StateRange struct {
	_       struct{} `cbor:",toarray"`
	Change  uint64   // number of the change
	Service string
	From    uint16
	To      uint16
	Server  string
}

// StateChanges is the leader's response to a StateRequest.
type StateChanges struct {
	_       struct{} `cbor:",toarray"`
	Request uint32
	Epoch   int64
	// ListAgeMS is the age of the list of servers that the leader read.
	ListAgeMS uint32
	// ConfigEra and ConfigOffset are the position up to which the leader has read the
	// configuration.
	ConfigEra    int64
	ConfigOffset int64
	// ConfigAgeMS is the time since the leader last read the configuration.
	ConfigAgeMS uint32
	Servers     []StateServer
	Ranges      []StateRange
	// Next is the number from which to continue, at once if More is true.
	Next uint64
	More bool
	// Same is true if the copy of the host has all changes, by its digest.
	Same bool
}

// ConfigNotice tells a host up to which position its leader has read the configuration.
type ConfigNotice struct {
	_      struct{} `cbor:",toarray"`
	Epoch  int64
	Era    int64
	Offset int64
}

// ConfigRequest asks the leader for a part of the configuration that it has read.
type ConfigRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the request among those of the sender.
	Number uint32
	Epoch  int64
	Part   uint16
}

// ConfigPart is the leader's response to a ConfigRequest. The parts of the same position
// together are the records of the configuration, encoded and compressed.
type ConfigPart struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	Epoch  int64
	// Era and Offset are the position up to which the leader has read the configuration.
	Era    int64
	Offset int64
	Part   uint16
	Parts  uint16
	Data   []byte
}

// stateMessage is the encoded form of the messages of this file: exactly one of the last
// five elements is set. Its array is longer than those of the other messages, so earlier
// releases reject it and nothing else. The lengths between are left for other messages.
type stateMessage struct {
	_                          struct{} `cbor:",toarray"`
	U1, U2, U3, U4, U5, U6, U7 *struct{}
	Request                    *StateRequest
	Changes                    *StateChanges
	Notice                     *ConfigNotice
	ConfigRequest              *ConfigRequest
	ConfigPart                 *ConfigPart
}

// stateMessageHead is the first byte of an stateMessage: an array of twelve elements.
const stateMessageHead = 0x8c

// StateHandler is implemented by handlers that process the messages of this file.
type StateHandler interface {
	HandleStateRequest(from netip.AddrPort, m *StateRequest)
	HandleStateChanges(from netip.AddrPort, m *StateChanges)
	HandleConfigNotice(from netip.AddrPort, m *ConfigNotice)
	HandleConfigRequest(from netip.AddrPort, m *ConfigRequest)
	HandleConfigPart(from netip.AddrPort, m *ConfigPart)
}

// SendStateRequest sends a message to the leader.
func (l *Link) SendStateRequest(to netip.AddrPort, m *StateRequest) error {
	return l.send(to, stateMessage{Request: m})
}

// SendStateChanges sends a message to a host.
func (l *Link) SendStateChanges(to netip.AddrPort, m *StateChanges) error {
	return l.send(to, stateMessage{Changes: m})
}

// SendConfigNotice sends a message to a host.
func (l *Link) SendConfigNotice(to netip.AddrPort, m *ConfigNotice) error {
	return l.send(to, stateMessage{Notice: m})
}

// SendConfigRequest sends a message to the leader.
func (l *Link) SendConfigRequest(to netip.AddrPort, m *ConfigRequest) error {
	return l.send(to, stateMessage{ConfigRequest: m})
}

// SendConfigPart sends a message to a host.
func (l *Link) SendConfigPart(to netip.AddrPort, m *ConfigPart) error {
	return l.send(to, stateMessage{ConfigPart: m})
}

// dispatchState decodes a datagram with a message of this file and passes it to h.
func dispatchState(datagram []byte, from netip.AddrPort, h StateHandler) error {
	var m stateMessage
	if err := cbor.Unmarshal(datagram, &m); err != nil {
		return err
	}
	switch {
	case m.Request != nil:
		h.HandleStateRequest(from, m.Request)
	case m.Changes != nil:
		h.HandleStateChanges(from, m.Changes)
	case m.Notice != nil:
		h.HandleConfigNotice(from, m.Notice)
	case m.ConfigRequest != nil:
		h.HandleConfigRequest(from, m.ConfigRequest)
	case m.ConfigPart != nil:
		h.HandleConfigPart(from, m.ConfigPart)
	}
	return nil
}
