// Package hostlink carries the messages between entry hosts and the host that
// leads: requests that ask for a server, reports of exchanges, and decisions.
//
// Messages are datagrams. A stream would delay all messages behind a lost
// segment by a retransmission timeout, which is longer than most requests take,
// and can go silent without an error. Lost datagrams are repeated by the sender:
// a host repeats a question until it is answered, and a report until it is
// acknowledged.
package hostlink

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// RoutingRequest asks for a server for one request. Times are relative to the send of
// the message, in milliseconds.
type RoutingRequest struct {
	_          struct{} `cbor:",toarray"`
	Number     uint32
	Service    uint32 // hash of the name
	Class      uint32 // hash of the route's name
	Content    uint64 // hash of the request without its id
	Key        int32
	Priority   uint8
	TargetMS   int32
	DeadlineMS int32
	Tried      []string
}

// Report tells how an exchange with a server ended.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Number  uint32
	Result  uint8
	TookMS  uint32
	Running int16 // load that the server told; negative if it told none
	Waiting int16
}

// ToLeader is a message of a host to the leader.
type ToLeader struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the incarnation of the sender's process.
	Incarnation uint64
	DataCentre  string
	// Epoch is that of the leader whom the sender follows.
	Epoch int64
	// CPUPercent is the sender's share of a processor in percent.
	CPUPercent uint16
	Requests   []RoutingRequest
	// Reports holds all reports that the leader has not acknowledged; the first
	// one has the number FirstReport.
	FirstReport uint32
	Reports     []Report
	// TimedOut is the number of questions that the sender has given up since its
	// last message, because the leader did not answer them in time.
	TimedOut uint16
}

// Decision answers a question with a server or a refusal. Queued decisions say
// that the request waits.
type Decision struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	// Kind is one of the constants below.
	Kind    uint8
	Server  string
	Address string
	// RetryAfterMS is the time after which a refused request can succeed.
	RetryAfterMS uint32
	Reason       uint8
}

// Kinds of decisions.
const (
	KindAssigned uint8 = iota
	KindRefused
	KindQueued
)

// FromLeader is a message of the leader to a host.
type FromLeader struct {
	_ struct{} `cbor:",toarray"`
	// Epoch numbers the leaderships.
	Epoch int64
	// Leads is false if the sender does not lead.
	Leads bool
	// AckedReport is the number of the last report that was received in order.
	AckedReport uint32
	// Hosts is the number of hosts that the leader hears of.
	Hosts uint16
	// DirectoryAgeMS is the age of the leader's list of servers.
	DirectoryAgeMS uint32
	// ConfigVersion is the version of the configuration that the leader knows.
	ConfigVersion int64
	Decisions     []Decision
	// Leader is the address of the leader of Epoch as far as the sender knows it,
	// if the sender does not lead.
	Leader string
	// Peers holds addresses of hosts that the leader hears of, for hosts that
	// lose the leader and the store at the same time.
	Peers []string
}

// maxDatagram is the largest message that is received; messages are kept below
// the usual size of a packet by their senders.
const maxDatagram = 8 << 10

// message is the envelope: exactly one of the two is set.
type message struct {
	_          struct{} `cbor:",toarray"`
	ToLeader   *ToLeader
	FromLeader *FromLeader
}

// Link sends and receives messages. It is safe for concurrent use.
type Link struct {
	conn *net.UDPConn
}

// Listen opens the link at a local address.
func Listen(address string) (*Link, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "peer address")
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, eris.Wrap(err, "peer socket")
	}
	return &Link{conn: conn}, nil
}

// Close ends Receive.
func (l *Link) Close() error { return l.conn.Close() }

// Address returns the address at which datagrams arrive.
func (l *Link) Address() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SendToLeader sends a message to the leader.
func (l *Link) SendToLeader(to netip.AddrPort, m *ToLeader) error {
	return l.send(to, message{ToLeader: m})
}

// SendFromLeader sends a message of the leader.
func (l *Link) SendFromLeader(to netip.AddrPort, m *FromLeader) error {
	return l.send(to, message{FromLeader: m})
}

func (l *Link) send(to netip.AddrPort, m message) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	_, err = l.conn.WriteToUDPAddrPort(data, to)
	return err
}

// Handler takes the messages that arrive.
type Handler interface {
	HandleToLeader(from netip.AddrPort, m *ToLeader)
	HandleFromLeader(from netip.AddrPort, m *FromLeader)
}

// Receive passes messages to h until the link is closed. Messages that cannot be
// read are counted by unreadable and dropped.
func (l *Link) Receive(h Handler, unreadable func(error)) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			unreadable(err)
			continue
		}
		switch {
		case m.ToLeader != nil:
			h.HandleToLeader(from, m.ToLeader)
		case m.FromLeader != nil:
			h.HandleFromLeader(from, m.FromLeader)
		}
	}
}
