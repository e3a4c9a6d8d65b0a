package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"spantack/core/lease"
)

// The format of a datagram, with big-endian numbers. The first bytes have the layout of core/gossip, with another value
// of the datagram kind. Routers that support only core/gossip therefore drop datagrams of this package.
//
//	version:1 datagram kind:1 rank:2 site:2 incarnation:4 sequence:4 message kind:1 body updates
//
// The bodies, by message kind:
//
//	ping            target:2 token:4 limit:1 holder:2      a probe, with the known holder of a limit; 65535: none
//	ack             target:2 token:4 limit:1 holder:2      the response to a ping
//	indirect ping   target:2 token:4 limit:1 holder:2      a request to the receiver to probe the target
//	lease request   limit:1 amount:4 timestamp:4 candidate incarnation:4  the demand, and a vote unless timestamp is 0
//	lease grant     limit:1 amount:4 term:4 timestamp:4 request sequence:4
//	health report   server:4 condition:1                   a condition that the sender observes
//	tree request    limit:1 level:1 amount:4 number:4 weight:2            messages of core/lease
//	tree grant      limit:1 level:1 amount:4 term:4 number:4 holder:2
//	tree vote       limit:1 timestamp:4 candidate incarnation:4
//	tree vote ack   limit:1 timestamp:4 elected:1
//
// Amounts are in units of lease.AmountUnit, terms and timestamps in units of lease.TermUnit. As many updates as fit
// follow the body. The format of an update:
//
//	rank:2 incarnation:4 refutations:2 state:1
const (
	// MaxDatagramSize is the maximum size of a datagram in bytes. It is a limit of the platform on which routers run.
	// The package never creates a longer datagram.
	MaxDatagramSize = 256
	// DatagramKind is the datagram kind in the header that distinguishes datagrams of this package from datagrams of
	// core/gossip.
	DatagramKind = 2

	datagramVersion = 1
	headerSize      = 15 // size in bytes of the header, the message kind included
	updateSize      = 9  // size in bytes of an update
)

// wireNoRank is the encoding of lease.NoRank on the wire.
const wireNoRank = 1<<16 - 1

// messageKind is the kind of a message. The values are part of the wire format.
type messageKind byte

const (
	pingMessage messageKind = iota + 1
	ackMessage
	indirectPingMessage
	leaseRequestMessage
	leaseGrantMessage
	healthReportMessage
	treeRequestMessage
	treeGrantMessage
	treeVoteMessage
	treeVoteAckMessage

	messageKindEnd // the first value that is not a kind
)

// messageKinds has the name and the body size of each kind.
var messageKinds = [messageKindEnd]struct {
	name     string
	bodySize int // bytes
}{
	pingMessage:         {"ping", 9},
	ackMessage:          {"ack", 9},
	indirectPingMessage: {"indirect ping", 9},
	leaseRequestMessage: {"lease request", 13},
	leaseGrantMessage:   {"lease grant", 17},
	healthReportMessage: {"health report", 5},
	treeRequestMessage:  {"tree request", 12},
	treeGrantMessage:    {"tree grant", 16},
	treeVoteMessage:     {"tree vote", 9},
	treeVoteAckMessage:  {"tree vote ack", 6},
}

func (k messageKind) isKnown() bool { return k > 0 && k < messageKindEnd }

// bodySize returns the size in bytes of the body of a message. The kind must be known.
func (k messageKind) bodySize() int { return messageKinds[k].bodySize }

// isTreeMessage reports whether the kind is that of a message of core/lease.
func (k messageKind) isTreeMessage() bool { return k >= treeRequestMessage && k < messageKindEnd }

// String returns the kind's name.
func (k messageKind) String() string {
	if !k.isKnown() {
		return fmt.Sprintf("messageKind(%d)", byte(k))
	}
	return messageKinds[k].name
}

// The errors that Receive returns for a datagram that it drops.
var (
	// ErrMalformed is wrapped if the bytes are not a valid datagram of this package.
	ErrMalformed = errors.New("malformed datagram")
	// ErrUnknownSender is wrapped if the rank or the site of the sender is not in the configuration, or if the rank in
	// the datagram does not match the rank of the sender's address.
	ErrUnknownSender = errors.New("not a router of this fleet")
	// ErrStale is wrapped if the datagram is a duplicate or is too old for the replay window of its sender.
	ErrStale = errors.New("old or repeated datagram")
)

// message is a decoded datagram. Its kind determines which fields are used.
type message struct {
	rank, site  int    // rank and site of the sender
	incarnation uint32 // incarnation of the sender
	sequence    uint32 // number of the datagram within the incarnation
	kind        messageKind

	target int    // in a probe or ack: rank of the probed router
	token  uint32 // in a probe: number of the probe, echoed by its ack

	limit  int // index of the limit that the message is about
	holder int // in a probe or ack: holder of that limit as the sender knows it; lease.NoRank: none

	amount               float64 // requested or granted amount
	term                 int64   // in a grant: term of the lease, us
	timestamp            uint32  // in a grant: timestamp of the holder; in a request: the timestamp that its vote echoes
	candidateIncarnation uint32  // in a vote: the incarnation that sent the timestamp
	requestSequence      uint32  // in a grant: the sequence number of its request

	server    uint32    // in a health report: number of the server
	condition Condition // in a health report: condition of the server

	lease lease.Message // content of a message of core/lease

	updates []update // updates that follow the body
}

// append appends the encoding of m to buffer, with as many of its updates as fit.
func (m *message) append(buffer []byte) []byte {
	order := binary.BigEndian
	buffer = append(buffer, datagramVersion, DatagramKind)
	buffer = order.AppendUint16(buffer, uint16(m.rank))
	buffer = order.AppendUint16(buffer, uint16(m.site))
	buffer = order.AppendUint32(buffer, m.incarnation)
	buffer = order.AppendUint32(buffer, m.sequence)
	buffer = append(buffer, byte(m.kind))
	buffer = m.appendBody(buffer)
	for _, u := range m.updates {
		if len(buffer)+updateSize > MaxDatagramSize {
			break
		}
		buffer = u.append(buffer)
	}
	return buffer
}

func (m *message) appendBody(buffer []byte) []byte {
	order := binary.BigEndian
	switch m.kind {
	case pingMessage, ackMessage, indirectPingMessage:
		buffer = order.AppendUint16(buffer, uint16(m.target))
		buffer = order.AppendUint32(buffer, m.token)
		buffer = append(buffer, byte(m.limit))
		buffer = order.AppendUint16(buffer, uint16(m.holder))
	case leaseRequestMessage:
		buffer = append(buffer, byte(m.limit))
		buffer = order.AppendUint32(buffer, unitsRoundedUp(m.amount))
		buffer = order.AppendUint32(buffer, m.timestamp)
		buffer = order.AppendUint32(buffer, m.candidateIncarnation)
	case leaseGrantMessage:
		buffer = append(buffer, byte(m.limit))
		buffer = order.AppendUint32(buffer, unitsRoundedDown(m.amount))
		buffer = order.AppendUint32(buffer, uint32(m.term/lease.TermUnit))
		buffer = order.AppendUint32(buffer, m.timestamp)
		buffer = order.AppendUint32(buffer, m.requestSequence)
	case healthReportMessage:
		buffer = order.AppendUint32(buffer, m.server)
		buffer = append(buffer, byte(m.condition))
	case treeRequestMessage, treeGrantMessage, treeVoteMessage, treeVoteAckMessage:
		buffer = m.appendLeaseBody(buffer)
	}
	return buffer
}

// unitsRoundedDown returns the amount of a lease as a number of units of lease.AmountUnit. The number is rounded down.
// Otherwise the sum of leases could exceed the pool.
func unitsRoundedDown(amount float64) uint32 {
	return clampUnits(math.Floor(amount / lease.AmountUnit))
}

// unitsRoundedUp returns a demand as a number of units of lease.AmountUnit, rounded up.
func unitsRoundedUp(amount float64) uint32 { return clampUnits(math.Ceil(amount / lease.AmountUnit)) }

func clampUnits(units float64) uint32 { return uint32(min(max(units, 0), math.MaxUint32)) }

// parseAmount decodes a number of units of lease.AmountUnit and returns it as an amount.
func parseAmount(data []byte) float64 {
	return float64(binary.BigEndian.Uint32(data)) * lease.AmountUnit
}

// parseTerm decodes a term and returns it in microseconds.
func parseTerm(data []byte) int64 { return int64(binary.BigEndian.Uint32(data)) * lease.TermUnit }

// parseHolder decodes a rank, which may be lease.NoRank.
func parseHolder(data []byte) int {
	if rank := binary.BigEndian.Uint16(data); rank != wireNoRank {
		return int(rank)
	}
	return lease.NoRank
}

// parse decodes a datagram into m and reuses the slice m.updates. Its error wraps ErrMalformed.
func (m *message) parse(datagram []byte) error {
	switch {
	case len(datagram) < headerSize || len(datagram) > MaxDatagramSize:
		return fmt.Errorf("%w: size of %d bytes is out of range", ErrMalformed, len(datagram))
	case datagram[0] != datagramVersion || datagram[1] != DatagramKind:
		return fmt.Errorf("%w: unsupported version %d or datagram kind %d", ErrMalformed, datagram[0], datagram[1])
	}
	order := binary.BigEndian
	*m = message{
		rank:        int(order.Uint16(datagram[2:])),
		site:        int(order.Uint16(datagram[4:])),
		incarnation: order.Uint32(datagram[6:]),
		sequence:    order.Uint32(datagram[10:]),
		kind:        messageKind(datagram[14]),
		updates:     m.updates[:0],
	}
	rest := datagram[headerSize:]
	if !m.kind.isKnown() {
		return fmt.Errorf("%w: unknown message kind %v, %d bytes after the header", ErrMalformed, m.kind, len(rest))
	}
	bodySize := m.kind.bodySize()
	if len(rest) < bodySize || (len(rest)-bodySize)%updateSize != 0 {
		return fmt.Errorf("%w: %v with %d bytes after the header, not a body and whole updates",
			ErrMalformed, m.kind, len(rest))
	}
	if err := m.parseBody(rest[:bodySize]); err != nil {
		return err
	}
	return m.parseUpdates(rest[bodySize:])
}

func (m *message) parseBody(body []byte) error {
	order := binary.BigEndian
	switch m.kind {
	case pingMessage, ackMessage, indirectPingMessage:
		m.target = int(order.Uint16(body))
		m.token = order.Uint32(body[2:])
		m.limit = int(body[6])
		m.holder = parseHolder(body[7:])
	case leaseRequestMessage:
		m.limit = int(body[0])
		m.amount = parseAmount(body[1:])
		m.timestamp = order.Uint32(body[5:])
		m.candidateIncarnation = order.Uint32(body[9:])
	case leaseGrantMessage:
		m.limit = int(body[0])
		m.amount = parseAmount(body[1:])
		m.term = parseTerm(body[5:])
		m.timestamp = order.Uint32(body[9:])
		m.requestSequence = order.Uint32(body[13:])
	case healthReportMessage:
		m.server = order.Uint32(body)
		m.condition = Condition(body[4])
		if !m.condition.isKnown() {
			return fmt.Errorf("%w: unknown condition %d", ErrMalformed, m.condition)
		}
	case treeRequestMessage, treeGrantMessage, treeVoteMessage, treeVoteAckMessage:
		m.parseLeaseBody(body)
	}
	return nil
}

// parseUpdates decodes the updates at the end of a datagram.
func (m *message) parseUpdates(data []byte) error {
	for ; len(data) > 0; data = data[updateSize:] {
		u := parseUpdate(data)
		if u.state > stateDead {
			return fmt.Errorf("%w: unknown state %d", ErrMalformed, u.state)
		}
		m.updates = append(m.updates, u)
	}
	return nil
}

// append appends the encoding of u to buffer.
func (u *update) append(buffer []byte) []byte {
	order := binary.BigEndian
	buffer = order.AppendUint16(buffer, uint16(u.rank))
	buffer = order.AppendUint32(buffer, u.incarnation)
	buffer = order.AppendUint16(buffer, u.refutations)
	return append(buffer, byte(u.state))
}

// parseUpdate decodes an update. The caller must check that its state is known.
func parseUpdate(data []byte) update {
	order := binary.BigEndian
	return update{
		rank:        int(order.Uint16(data)),
		incarnation: order.Uint32(data[2:]),
		refutations: order.Uint16(data[6:]),
		state:       memberState(data[8]),
	}
}
