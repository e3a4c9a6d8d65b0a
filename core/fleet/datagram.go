package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
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
)

var bodySizes = map[op]int{ping: 9, ack: 9, pingRequest: 9, leaseRequest: 13, leaseGrant: 17, report: 5}

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
