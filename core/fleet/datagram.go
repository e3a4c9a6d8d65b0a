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
//	pingRequest   target:2 token:4 limit:1 holder:2   probe it for me
//	leaseRequest  limit:1 want:4 stamp:4 of:4   what is wanted, and a vote for the receiver: its stamp echoed, and its incarnation
//	leaseGrant    limit:1 amount:4 term:4 stamp:4 asked:4
//	treeRequest   limit:1 level:1 want:4 number:4 weight:2                   messages of core/lease
//	treeGrant     limit:1 level:1 amount:4 term:4 number:4 holder:2
//	treeVote      limit:1 stamp:4 of:4
//	treeVoteAck   limit:1 stamp:4 elected:1
//	report        server:4 condition:1   what the sender's depot observes of a server
//
// An update is rank:2 incarnation:4 refuted:2 state:1; as many follow as there is room for.
const (
	// MaxDatagram is the platform's bound in bytes. None longer is ever built.
	MaxDatagram = 256
	// Kind tells a datagram of ours from one of core/peers.
	Kind = 2

	version    = 1
	headSize   = 14
	updateSize = 9
)

// nobody is no rank.
const nobody = 1<<16 - 1

type op byte

const (
	ping op = iota + 1
	ack
	pingRequest
	leaseRequest
	leaseGrant
	report
	treeRequest
	treeGrant
	treeVote
	treeVoteAck
)

var bodySizes = map[op]int{ping: 9, ack: 9, pingRequest: 9, leaseRequest: 13, leaseGrant: 17, report: 5, treeRequest: 12, treeGrant: 16, treeVote: 9,
	treeVoteAck: 6}

// The reasons why a datagram is dropped.
var (
	ErrMalformed = errors.New("malformed datagram")
	ErrStranger  = errors.New("not a router of this tier")
	ErrOld       = errors.New("old or repeated datagram")
)

// update is a membership update about one router.
type update struct {
	rank        int
	incarnation uint32
	refuted     uint16
	state       State
}

// message is a datagram read. Which fields count goes by its op.
type message struct {
	rank, depot           int
	incarnation, sequence uint32
	op                    op
	target                int
	token                 uint32
	limit, holder         int
	amount                float64 // wanted, or granted
	term                  int64   // us
	stamp, of, asked      uint32
	server                uint32
	condition             Condition
	tree                  lease.Message // less its incarnation, which is the head's
	updates               []update
}

// unit of amounts on the wire, and of terms.
const (
	amountUnit = 1.0 / 1024
	termUnit   = 1000 // us
)

// append writes m behind buf, with as many of its updates as fit.
func (m *message) append(buf []byte) []byte {
	b := binary.BigEndian
	buf = append(buf, version, Kind)
	buf = b.AppendUint16(buf, uint16(m.rank))
	buf = b.AppendUint16(buf, uint16(m.depot))
	buf = b.AppendUint32(buf, m.incarnation)
	buf = b.AppendUint32(buf, m.sequence)
	buf = append(buf, byte(m.op))
	switch m.op {
	case ping, ack, pingRequest:
		buf = b.AppendUint16(buf, uint16(m.target))
		buf = b.AppendUint32(buf, m.token)
		buf = b.AppendUint16(append(buf, byte(m.limit)), uint16(m.holder))
	case leaseRequest:
		buf = append(buf, byte(m.limit))
		buf = b.AppendUint32(buf, units(m.amount, true))
		buf = b.AppendUint32(buf, m.stamp)
		buf = b.AppendUint32(buf, m.of)
	case leaseGrant:
		buf = append(buf, byte(m.limit))
		buf = b.AppendUint32(buf, units(m.amount, false))
		buf = b.AppendUint32(buf, uint32(m.term/termUnit))
		buf = b.AppendUint32(buf, m.stamp)
		buf = b.AppendUint32(buf, m.asked)
	case treeRequest, treeGrant, treeVote, treeVoteAck:
		buf = m.appendTree(buf)
	case report:
		buf = append(b.AppendUint32(buf, m.server), byte(m.condition))
	}
	for _, r := range m.updates {
		if len(buf)+updateSize > MaxDatagram {
			break
		}
		buf = b.AppendUint16(buf, uint16(r.rank))
		buf = b.AppendUint32(buf, r.incarnation)
		buf = b.AppendUint16(buf, r.refuted)
		buf = append(buf, byte(r.state))
	}
	return buf
}

// units rounds leases down, so that their sum stays under the pool, and demand up.
func units(amount float64, up bool) uint32 {
	n := math.Floor(amount / amountUnit)
	if up {
		n = math.Ceil(amount / amountUnit)
	}
	return uint32(min(max(n, 0), math.MaxUint32))
}

// parse reads a datagram into m, whose room for updates is used again. Its error wraps ErrMalformed.
func (m *message) parse(d []byte) error {
	b := binary.BigEndian
	switch {
	case len(d) <= headSize || len(d) > MaxDatagram:
		return fmt.Errorf("%w: %d bytes", ErrMalformed, len(d))
	case d[0] != version || d[1] != Kind:
		return fmt.Errorf("%w: version %d, kind %d", ErrMalformed, d[0], d[1])
	}
	updates := m.updates[:0]
	*m = message{rank: int(b.Uint16(d[2:])), depot: int(b.Uint16(d[4:])), incarnation: b.Uint32(d[6:]), sequence: b.Uint32(d[10:]), op: op(d[14])}
	d = d[headSize+1:]
	size, known := bodySizes[m.op]
	if !known || len(d) < size || (len(d)-size)%updateSize != 0 {
		return fmt.Errorf("%w: op %d with %d bytes", ErrMalformed, m.op, len(d))
	}
	switch m.op {
	case ping, ack, pingRequest:
		m.target, m.token, m.limit, m.holder = int(b.Uint16(d)), b.Uint32(d[2:]), int(d[6]), int(b.Uint16(d[7:]))
	case leaseRequest:
		m.limit, m.amount, m.stamp, m.of = int(d[0]), float64(b.Uint32(d[1:]))*amountUnit, b.Uint32(d[5:]), b.Uint32(d[9:])
	case leaseGrant:
		m.limit, m.amount, m.term = int(d[0]), float64(b.Uint32(d[1:]))*amountUnit, int64(b.Uint32(d[5:]))*termUnit
		m.stamp, m.asked = b.Uint32(d[9:]), b.Uint32(d[13:])
	case treeRequest, treeGrant, treeVote, treeVoteAck:
		m.parseTree(d)
	case report:
		if m.server, m.condition = b.Uint32(d), Condition(d[4]); m.condition == 0 || m.condition >= conditionEnd {
			return fmt.Errorf("%w: condition %d", ErrMalformed, m.condition)
		}
	}
	for d = d[size:]; len(d) > 0; d = d[updateSize:] {
		r := update{rank: int(b.Uint16(d)), incarnation: b.Uint32(d[2:]), refuted: b.Uint16(d[6:]), state: State(d[8])}
		if r.state > Dead {
			return fmt.Errorf("%w: state %d", ErrMalformed, r.state)
		}
		updates = append(updates, r)
	}
	m.updates = updates
	return nil
}

// treeKinds are the kinds of message of core/lease, by the operations that carry them.
var treeKinds = map[op]lease.Kind{treeRequest: lease.Request, treeGrant: lease.Grant, treeVote: lease.Vote, treeVoteAck: lease.VoteAck}

// treeOps are the operations by kind.
var treeOps = map[lease.Kind]op{lease.Request: treeRequest, lease.Grant: treeGrant, lease.Vote: treeVote, lease.VoteAck: treeVoteAck}

// appendTree writes the body of a message of core/lease.
func (m *message) appendTree(buf []byte) []byte {
	b, t := binary.BigEndian, &m.tree
	buf = append(buf, byte(m.limit))
	switch m.op {
	case treeRequest:
		buf = b.AppendUint32(append(buf, byte(t.Level)), units(t.Amount, true))
		buf = b.AppendUint32(buf, t.Number)
		buf = b.AppendUint16(buf, uint16(t.Weight))
	case treeGrant:
		buf = b.AppendUint32(append(buf, byte(t.Level)), units(t.Amount, false))
		buf = b.AppendUint32(buf, uint32(t.Term/lease.TermUnit))
		buf = b.AppendUint32(buf, t.Number)
		buf = b.AppendUint16(buf, uint16(t.Holder))
	case treeVote:
		buf = b.AppendUint32(buf, t.Stamp)
		buf = b.AppendUint32(buf, t.Of)
	case treeVoteAck:
		elected := byte(0)
		if t.Elected {
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
	t := &m.tree
	*t = lease.Message{Kind: treeKinds[m.op], Incarnation: m.incarnation}
	switch m.op {
	case treeRequest:
		t.Level, t.Amount, t.Number, t.Weight = int(d[1]), float64(b.Uint32(d[2:]))*amountUnit, b.Uint32(d[6:]), int(b.Uint16(d[10:]))
	case treeGrant:
		t.Level, t.Amount, t.Term, t.Number = int(d[1]), float64(b.Uint32(d[2:]))*amountUnit, int64(b.Uint32(d[6:]))*lease.TermUnit, b.Uint32(d[10:])
		t.Holder = int(b.Uint16(d[14:]))
		if t.Holder == nobody {
			t.Holder = lease.Nobody
		}
	case treeVote:
		t.Stamp, t.Of = b.Uint32(d[1:]), b.Uint32(d[5:])
	case treeVoteAck:
		t.Stamp, t.Elected = b.Uint32(d[1:]), d[5] == 1
	}
}
