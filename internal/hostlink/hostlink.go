// Package hostlink carries the messages between hosts and their leader: routing
// requests and reports to the leader, decisions back to the hosts.
//
// Messages are UDP datagrams. On a TCP stream, a lost segment would delay all
// later messages by a retransmission timeout, which is longer than most requests
// take, and a dead connection can stay unnoticed. Senders recover from lost
// datagrams: a host repeats a routing request until it is decided, and a report
// until it is acknowledged.
package hostlink

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// RoutingRequest asks the leader for a server for one request. Times are in
// milliseconds from the sending of the message.
type RoutingRequest struct {
	_          struct{} `cbor:",toarray"`
	Number     uint32
	Service    uint32 // hash of the service's name
	Class      uint32 // hash of the route's name
	Content    uint64 // hash of the request without its id
	Key        int32
	Priority   uint8
	TargetMS   int32 // until the target latency is reached
	DeadlineMS int32
	Tried      []string // servers on which the request has already failed
}

// Report holds the result of an exchange with a server.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Number  uint32
	Result  uint8
	TookMS  uint32
	Running int16 // requests running on the server; negative if it sent no load
	Waiting int16 // requests waiting on the server
}

// ToLeader is a message from a host to the leader, or to another host to ask
// which host leads.
type ToLeader struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the sender's process.
	Incarnation uint64
	DataCentre  string
	// Epoch is the epoch of the leader that the sender follows.
	Epoch int64
	// CPUPercent is the sender's CPU limit in percent of one processor.
	CPUPercent uint16
	Requests   []RoutingRequest
	// Reports holds reports that the leader has not acknowledged, numbered
	// upwards from FirstReport.
	FirstReport uint32
	Reports     []Report
	// TimedOut is the number of routing requests that the leader has not decided
	// in time since the sender's last message.
	TimedOut uint16
}

// ServerLimit says how many requests a second a server accepts from all hosts
// together.
type ServerLimit struct {
	_         struct{} `cbor:",toarray"`
	Service   uint32   // hash of the service's name
	Server    string
	PerSecond float64 // infinite if the server names no limit
}

// ServerLimits is a message from a host to the leader with the limits that servers
// named in responses to the host.
type ServerLimits struct {
	_      struct{} `cbor:",toarray"`
	Limits []ServerLimit
}

// LeavingServer is a server that announced its shutdown in a response.
type LeavingServer struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Incarnation int64 // that the request was sent to; zero if the host does not know it
	// AgeMS is the time since the first announcement in milliseconds.
	AgeMS uint32
}

// LeavingServers is a message from a host to the leader with the servers that announced
// their shutdown in responses to the host.
type LeavingServers struct {
	_       struct{} `cbor:",toarray"`
	Servers []LeavingServer
}

// ServerPause is a server that asked a host for a pause.
type ServerPause struct {
	_           struct{} `cbor:",toarray"`
	Service     uint32   // hash of the service's name
	Server      string
	Incarnation int64 // that asked for the pause; zero if the host does not know it
	// LeftMS is the time until the end of the pause in milliseconds.
	LeftMS uint32
}

// ServerPauses is a message from a host to the leader with the servers that want no
// requests from the host for now.
type ServerPauses struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the sender's process.
	Incarnation uint64
	Pauses      []ServerPause
}

// ServerPace is the time that work takes at a server at present.
type ServerPace struct {
	_       struct{} `cbor:",toarray"`
	Service uint32   // hash of the service's name
	Server  string
	Percent uint16 // of the usual time; 100 is usual
}

// ServerPaces is a message from a host to the leader with servers that are unusually slow
// or fast, or have become usual again, by their last response to the host.
type ServerPaces struct {
	_     struct{} `cbor:",toarray"`
	Paces []ServerPace
}

// Decision is the leader's response to a routing request: a server, a refusal,
// or the notice that the request is queued.
type Decision struct {
	_       struct{} `cbor:",toarray"`
	Number  uint32
	Kind    uint8
	Server  string
	Address string
	// RetryAfterMS is the time after which a refused request may succeed.
	RetryAfterMS uint32
	Reason       uint8
}

// Kinds of decisions.
const (
	KindAssigned uint8 = iota
	KindRefused
	KindQueued
	// KindAssignedLimited assigns a server that named a limit: the host reports the
	// limit of each response, also if there is none. Earlier releases take it for
	// KindAssigned.
	KindAssignedLimited
)

// FromLeader is a message from the leader to a host, or the reply of a host that
// was taken for the leader.
type FromLeader struct {
	_     struct{} `cbor:",toarray"`
	Epoch int64
	Leads bool // whether the sender is the leader
	// AckedReport is the number of the last report that was received in order.
	AckedReport uint32
	// Hosts is the number of hosts from which the leader receives messages.
	Hosts uint16
	// DirectoryAgeMS is the age of the leader's list of servers.
	DirectoryAgeMS uint32
	// ConfigVersion is the version of the configuration that the leader uses.
	ConfigVersion int64
	Decisions     []Decision
	// Leader is the address of the leader of Epoch if the sender knows it and does
	// not lead itself.
	Leader string
	// Peers holds addresses of hosts from which the leader receives messages.
	// Hosts that reach neither the leader nor the store ask them for the leader.
	Peers []string
}

// maxDatagram bounds the size of a received message. Senders limit what they put
// into a message so that it usually fits into one packet.
const maxDatagram = 8 << 10

// message is the encoded form of both kinds of messages: exactly one is set.
type message struct {
	_          struct{} `cbor:",toarray"`
	ToLeader   *ToLeader
	FromLeader *FromLeader
}

// limitsMessage is the encoded form of ServerLimits. Its array is longer than that of
// message, so earlier releases reject it and nothing else.
type limitsMessage struct {
	_            struct{} `cbor:",toarray"`
	ToLeader     *struct{}
	FromLeader   *struct{}
	ServerLimits *ServerLimits
}

// leavingMessage is the encoded form of LeavingServers. Its array is longer than those of
// the other messages, so earlier releases reject it and nothing else.
type leavingMessage struct {
	_              struct{} `cbor:",toarray"`
	ToLeader       *struct{}
	FromLeader     *struct{}
	ServerLimits   *struct{}
	LeavingServers *LeavingServers
}

// pausesMessage is the encoded form of ServerPauses. Its array is longer than those of
// the other messages, so earlier releases reject it and nothing else.
type pausesMessage struct {
	_              struct{} `cbor:",toarray"`
	ToLeader       *struct{}
	FromLeader     *struct{}
	ServerLimits   *struct{}
	LeavingServers *struct{}
	ServerPauses   *ServerPauses
}

// pacesMessage is the encoded form of ServerPaces. Its array is longer than those of the
// other messages, so earlier releases reject it and nothing else.
type pacesMessage struct {
	_              struct{} `cbor:",toarray"`
	ToLeader       *struct{}
	FromLeader     *struct{}
	ServerLimits   *struct{}
	LeavingServers *struct{}
	ServerPauses   *struct{}
	ServerPaces    *ServerPaces
}

// The first bytes of an encoded limitsMessage, leavingMessage, pausesMessage and
// pacesMessage: arrays of three to six elements.
const (
	limitsMessageHead  = 0x83
	leavingMessageHead = 0x84
	pausesMessageHead  = 0x85
	pacesMessageHead   = 0x86
)

// Link sends and receives messages on one UDP socket. It is safe for concurrent
// use.
type Link struct {
	conn *net.UDPConn
}

// Listen opens a link on a local IPv4 address and port.
func Listen(address string) (*Link, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "resolve peer address")
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, eris.Wrap(err, "open peer socket")
	}
	return &Link{conn: conn}, nil
}

// Close closes the socket, which makes Receive return.
func (l *Link) Close() error { return l.conn.Close() }

// Address returns the local address of the socket.
func (l *Link) Address() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SendToLeader sends a message to the leader or a host that may know it.
func (l *Link) SendToLeader(to netip.AddrPort, m *ToLeader) error {
	return l.send(to, message{ToLeader: m})
}

// SendFromLeader sends a message to a host.
func (l *Link) SendFromLeader(to netip.AddrPort, m *FromLeader) error {
	return l.send(to, message{FromLeader: m})
}

// SendServerLimits sends a message to the leader.
func (l *Link) SendServerLimits(to netip.AddrPort, m *ServerLimits) error {
	return l.send(to, limitsMessage{ServerLimits: m})
}

// SendLeavingServers sends a message to the leader.
func (l *Link) SendLeavingServers(to netip.AddrPort, m *LeavingServers) error {
	return l.send(to, leavingMessage{LeavingServers: m})
}

// SendServerPauses sends a message to the leader.
func (l *Link) SendServerPauses(to netip.AddrPort, m *ServerPauses) error {
	return l.send(to, pausesMessage{ServerPauses: m})
}

// SendServerPaces sends a message to the leader.
func (l *Link) SendServerPaces(to netip.AddrPort, m *ServerPaces) error {
	return l.send(to, pacesMessage{ServerPaces: m})
}

func (l *Link) send(to netip.AddrPort, m any) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	_, err = l.conn.WriteToUDPAddrPort(data, to)
	return err
}

// Handler handles received messages.
type Handler interface {
	HandleToLeader(from netip.AddrPort, m *ToLeader)
	HandleFromLeader(from netip.AddrPort, m *FromLeader)
	HandleServerLimits(m *ServerLimits)
	HandleLeavingServers(m *LeavingServers)
	HandleServerPauses(m *ServerPauses)
}

// PacesHandler is implemented by a Handler of hosts that may lead.
type PacesHandler interface {
	HandleServerPaces(m *ServerPaces)
}

// Receive passes messages to h until the link is closed or reading fails.
// Messages that cannot be decoded are dropped; onDecodeError is called for each.
func (l *Link) Receive(h Handler, onDecodeError func(error)) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		if err := Dispatch(buf[:n], from, h); err != nil {
			onDecodeError(err)
		}
	}
}

// Dispatch decodes one datagram and passes its message to h.
func Dispatch(datagram []byte, from netip.AddrPort, h Handler) error {
	head := byte(0)
	if len(datagram) > 0 {
		head = datagram[0]
	}
	switch head {
	case limitsMessageHead:
		var m limitsMessage
		if err := cbor.Unmarshal(datagram, &m); err != nil {
			return err
		}
		if m.ServerLimits != nil {
			h.HandleServerLimits(m.ServerLimits)
		}
		return nil
	case leavingMessageHead:
		var m leavingMessage
		if err := cbor.Unmarshal(datagram, &m); err != nil {
			return err
		}
		if m.LeavingServers != nil {
			h.HandleLeavingServers(m.LeavingServers)
		}
		return nil
	case pausesMessageHead:
		var m pausesMessage
		if err := cbor.Unmarshal(datagram, &m); err != nil {
			return err
		}
		if m.ServerPauses != nil {
			h.HandleServerPauses(m.ServerPauses)
		}
		return nil
	case pacesMessageHead:
		return dispatchPaces(datagram, h)
	}
	var m message
	if err := cbor.Unmarshal(datagram, &m); err != nil {
		return err
	}
	switch {
	case m.ToLeader != nil:
		h.HandleToLeader(from, m.ToLeader)
	case m.FromLeader != nil:
		h.HandleFromLeader(from, m.FromLeader)
	}
	return nil
}

// dispatchPaces decodes a datagram with paces of servers and passes them to h.
func dispatchPaces(datagram []byte, h Handler) error {
	var m pacesMessage
	if err := cbor.Unmarshal(datagram, &m); err != nil {
		return err
	}
	if paces, ok := h.(PacesHandler); ok && m.ServerPaces != nil {
		paces.HandleServerPaces(m.ServerPaces)
	}
	return nil
}
