package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"spantack/core/lease"
)

// A datagram, numbers big-endian. The head is that of core/peers, so that routers of the version before drop ours as of an unknown kind, and
// theirs are told from ours by the kind:
//
//	version:1 kind:1 rank:2 depot:2 incarnation:4 sequence:4 op:1 body updates
//
//	ping          target:2 token:4 limit:1 holder:2   a probe, with the known holder of a limit; 65535: none
//	ack           target:2 token:4 limit:1 holder:2   its answer
//	indirectPingMessage   target:2 token:4 limit:1 holder:2   probe it for me
//	leaseRequestMessage  limit:1 want:4 stamp:4 of:4   what is wanted, and a vote for the receiver: its stamp echoed, and its incarnation
//	leaseGrantMessage    limit:1 amount:4 term:4 stamp:4 asked:4
//	treeRequestMessage   limit:1 level:1 want:4 number:4 weight:2                   messages of core/lease
//	treeGrantMessage     limit:1 level:1 amount:4 term:4 number:4 holder:2
//	treeVoteMessage      limit:1 stamp:4 of:4
//	treeVoteAckMessage   limit:1 stamp:4 elected:1
//	report        server:4 condition:1   what the sender's depot observes of a server
//
// An update is rank:2 incarnation:4 refuted:2 state:1; as many follow as there is room for.
const (
	// MaxDatagramSize is the platform's bound in bytes. None longer is ever built.
	MaxDatagramSize = 256
	// DatagramKind tells a datagram of ours from one of core/peers.
	DatagramKind = 2

	datagramVersion = 1
	headerSize      = 14
	updateSize      = 9
)

// noRank is no rank.
const noRank = 1<<16 - 1

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
)

var bodySizes = map[messageKind]int{pingMessage: 9, ackMessage: 9, indirectPingMessage: 9, leaseRequestMessage: 13, leaseGrantMessage: 17, healthReportMessage: 5, treeRequestMessage: 12, treeGrantMessage: 16, treeVoteMessage: 9,
	treeVoteAckMessage: 6}

// The reasons why a datagram is dropped.
var (
	ErrMalformed     = errors.New("malformed datagram")
	ErrUnknownSender = errors.New("not a router of this tier")
	ErrStale         = errors.New("old or repeated datagram")
)

// update is a membership update about one router.
type update struct {
	rank        int
	incarnation uint32
	refutations uint16
	state       MemberState
}

// message is a datagram read. Which fields count goes by its op.
type message struct {
	rank, site                                   int
	incarnation, sequence                        uint32
	kind                                         messageKind
	target                                       int
	token                                        uint32
	limit, holder                                int
	amount                                       float64 // wanted, or granted
	term                                         int64   // us
	stamp, candidateIncarnation, requestSequence uint32
	server                                       uint32
	condition                                    Condition
	lease                                        lease.Message // less its incarnation, which is the head's
	updates                                      []update
}

// unit of amounts on the wire, and of terms.
const (
	amountUnit = 1.0 / 1024
	termUnit   = 1000 // us
)

// append writes m behind buf, with as many of its updates as fit.
func (m *message) append(buf []byte) []byte {
	b := binary.BigEndian
	buf = append(buf, datagramVersion, DatagramKind)
	buf = b.AppendUint16(buf, uint16(m.rank))
	buf = b.AppendUint16(buf, uint16(m.site))
	buf = b.AppendUint32(buf, m.incarnation)
	buf = b.AppendUint32(buf, m.sequence)
	buf = append(buf, byte(m.kind))
	switch m.kind {
	case pingMessage, ackMessage, indirectPingMessage:
		buf = b.AppendUint16(buf, uint16(m.target))
		buf = b.AppendUint32(buf, m.token)
		buf = b.AppendUint16(append(buf, byte(m.limit)), uint16(m.holder))
	case leaseRequestMessage:
		buf = append(buf, byte(m.limit))
		buf = b.AppendUint32(buf, wireUnits(m.amount, true))
		buf = b.AppendUint32(buf, m.stamp)
		buf = b.AppendUint32(buf, m.candidateIncarnation)
	case leaseGrantMessage:
		buf = append(buf, byte(m.limit))
		buf = b.AppendUint32(buf, wireUnits(m.amount, false))
		buf = b.AppendUint32(buf, uint32(m.term/termUnit))
		buf = b.AppendUint32(buf, m.stamp)
		buf = b.AppendUint32(buf, m.requestSequence)
	case treeRequestMessage, treeGrantMessage, treeVoteMessage, treeVoteAckMessage:
		buf = m.appendTree(buf)
	case healthReportMessage:
		buf = append(b.AppendUint32(buf, m.server), byte(m.condition))
	}
	for _, r := range m.updates {
		if len(buf)+updateSize > MaxDatagramSize {
			break
		}
		buf = b.AppendUint16(buf, uint16(r.rank))
		buf = b.AppendUint32(buf, r.incarnation)
		buf = b.AppendUint16(buf, r.refutations)
		buf = append(buf, byte(r.state))
	}
	return buf
}

// wireUnits rounds leases down, so that their sum stays under the pool, and demand up.
func wireUnits(amount float64, roundUp bool) uint32 {
	n := math.Floor(amount / amountUnit)
	if roundUp {
		n = math.Ceil(amount / amountUnit)
	}
	return uint32(min(max(n, 0), math.MaxUint32))
}

// parse reads a datagram into m, whose room for updates is used again. Its error wraps ErrMalformed.
func (m *message) parse(d []byte) error {
	b := binary.BigEndian
	switch {
	case len(d) <= headerSize || len(d) > MaxDatagramSize:
		return fmt.Errorf("%w: %d bytes", ErrMalformed, len(d))
	case d[0] != datagramVersion || d[1] != DatagramKind:
		return fmt.Errorf("%w: version %d, kind %d", ErrMalformed, d[0], d[1])
	}
	updates := m.updates[:0]
	*m = message{rank: int(b.Uint16(d[2:])), site: int(b.Uint16(d[4:])), incarnation: b.Uint32(d[6:]), sequence: b.Uint32(d[10:]), kind: messageKind(d[14])}
	d = d[headerSize+1:]
	size, known := bodySizes[m.kind]
	if !known || len(d) < size || (len(d)-size)%updateSize != 0 {
		return fmt.Errorf("%w: op %d with %d bytes", ErrMalformed, m.kind, len(d))
	}
	switch m.kind {
	case pingMessage, ackMessage, indirectPingMessage:
		m.target, m.token, m.limit, m.holder = int(b.Uint16(d)), b.Uint32(d[2:]), int(d[6]), int(b.Uint16(d[7:]))
	case leaseRequestMessage:
		m.limit, m.amount, m.stamp, m.candidateIncarnation = int(d[0]), float64(b.Uint32(d[1:]))*amountUnit, b.Uint32(d[5:]), b.Uint32(d[9:])
	case leaseGrantMessage:
		m.limit, m.amount, m.term = int(d[0]), float64(b.Uint32(d[1:]))*amountUnit, int64(b.Uint32(d[5:]))*termUnit
		m.stamp, m.requestSequence = b.Uint32(d[9:]), b.Uint32(d[13:])
	case treeRequestMessage, treeGrantMessage, treeVoteMessage, treeVoteAckMessage:
		m.parseTree(d)
	case healthReportMessage:
		if m.server, m.condition = b.Uint32(d), Condition(d[4]); m.condition == 0 || m.condition >= conditionEnd {
			return fmt.Errorf("%w: condition %d", ErrMalformed, m.condition)
		}
	}
	for d = d[size:]; len(d) > 0; d = d[updateSize:] {
		r := update{rank: int(b.Uint16(d)), incarnation: b.Uint32(d[2:]), refutations: b.Uint16(d[6:]), state: MemberState(d[8])}
		if r.state > StateDead {
			return fmt.Errorf("%w: state %d", ErrMalformed, r.state)
		}
		updates = append(updates, r)
	}
	m.updates = updates
	return nil
}

// leaseKindOf are the kinds of message of core/lease, by the operations that carry them.
var leaseKindOf = map[messageKind]lease.MessageKind{treeRequestMessage: lease.KindRequest, treeGrantMessage: lease.KindGrant, treeVoteMessage: lease.KindVote, treeVoteAckMessage: lease.KindVoteAck}

// messageKindOf are the operations by kind.
var messageKindOf = map[lease.MessageKind]messageKind{lease.KindRequest: treeRequestMessage, lease.KindGrant: treeGrantMessage, lease.KindVote: treeVoteMessage, lease.KindVoteAck: treeVoteAckMessage}

// appendTree writes the body of a message of core/lease.
func (m *message) appendTree(buf []byte) []byte {
	b, t := binary.BigEndian, &m.lease
	buf = append(buf, byte(m.limit))
	switch m.kind {
	case treeRequestMessage:
		buf = b.AppendUint32(append(buf, byte(t.Level)), wireUnits(t.Amount, true))
		buf = b.AppendUint32(buf, t.RequestNumber)
		buf = b.AppendUint16(buf, uint16(t.Weight))
	case treeGrantMessage:
		buf = b.AppendUint32(append(buf, byte(t.Level)), wireUnits(t.Amount, false))
		buf = b.AppendUint32(buf, uint32(t.Term/lease.TermUnit))
		buf = b.AppendUint32(buf, t.RequestNumber)
		buf = b.AppendUint16(buf, uint16(t.KnownHolder))
	case treeVoteMessage:
		buf = b.AppendUint32(buf, t.Stamp)
		buf = b.AppendUint32(buf, t.CandidateIncarnation)
	case treeVoteAckMessage:
		elected := byte(0)
		if t.IsElected {
			elected = 1
		}
		buf = append(b.AppendUint32(buf, t.Stamp), elected)
	}
	return buf
}

// parseTree reads what appendTree wrote. Which values have a place in the tree is core/lease's to say.
func (m *message) parseTree(d []byte) {
	b := binary.BigEndian
	m.limit = int(d[0])
	t := &m.lease
	*t = lease.Message{Kind: leaseKindOf[m.kind], Incarnation: m.incarnation}
	switch m.kind {
	case treeRequestMessage:
		t.Level, t.Amount, t.RequestNumber, t.Weight = int(d[1]), float64(b.Uint32(d[2:]))*amountUnit, b.Uint32(d[6:]), int(b.Uint16(d[10:]))
	case treeGrantMessage:
		t.Level, t.Amount, t.Term, t.RequestNumber = int(d[1]), float64(b.Uint32(d[2:]))*amountUnit, int64(b.Uint32(d[6:]))*lease.TermUnit, b.Uint32(d[10:])
		t.KnownHolder = int(b.Uint16(d[14:]))
		if t.KnownHolder == noRank {
			t.KnownHolder = lease.NoRank
		}
	case treeVoteMessage:
		t.Stamp, t.CandidateIncarnation = b.Uint32(d[1:]), b.Uint32(d[5:])
	case treeVoteAckMessage:
		t.Stamp, t.IsElected = b.Uint32(d[1:]), d[5] == 1
	}
}
