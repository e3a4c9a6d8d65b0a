package fleet

import (
	"encoding/binary"

	"spantack/core/lease"
)

// leaseKindOf maps the kinds of datagrams that carry messages of core/lease to the kinds of those messages.
var leaseKindOf = map[messageKind]lease.MessageKind{
	treeRequestMessage: lease.KindRequest,
	treeGrantMessage:   lease.KindGrant,
	treeVoteMessage:    lease.KindVote,
	treeVoteAckMessage: lease.KindVoteAck,
}

// messageKindOf is the inverse of leaseKindOf.
var messageKindOf = map[lease.MessageKind]messageKind{
	lease.KindRequest: treeRequestMessage,
	lease.KindGrant:   treeGrantMessage,
	lease.KindVote:    treeVoteMessage,
	lease.KindVoteAck: treeVoteAckMessage,
}

// appendLeaseBody appends the body of a message of core/lease to buffer. The incarnation of the message is in the
// header.
func (m *message) appendLeaseBody(buffer []byte) []byte {
	order := binary.BigEndian
	body := &m.lease
	buffer = append(buffer, byte(m.limit))
	switch m.kind {
	case treeRequestMessage:
		buffer = append(buffer, byte(body.Level))
		buffer = order.AppendUint32(buffer, unitsRoundedUp(body.Amount))
		buffer = order.AppendUint32(buffer, body.RequestNumber)
		buffer = order.AppendUint16(buffer, uint16(body.Weight))
	case treeGrantMessage:
		buffer = append(buffer, byte(body.Level))
		buffer = order.AppendUint32(buffer, unitsRoundedDown(body.Amount))
		buffer = order.AppendUint32(buffer, uint32(body.Term/lease.TermUnit))
		buffer = order.AppendUint32(buffer, body.RequestNumber)
		buffer = order.AppendUint16(buffer, uint16(body.KnownHolder))
	case treeVoteMessage:
		buffer = order.AppendUint32(buffer, body.Timestamp)
		buffer = order.AppendUint32(buffer, body.CandidateIncarnation)
	case treeVoteAckMessage:
		isElected := byte(0)
		if body.IsElected {
			isElected = 1
		}
		buffer = order.AppendUint32(buffer, body.Timestamp)
		buffer = append(buffer, isElected)
	}
	return buffer
}

// parseLeaseBody decodes a body that appendLeaseBody encoded. It does not check the values, because core/lease checks
// them.
func (m *message) parseLeaseBody(data []byte) {
	order := binary.BigEndian
	m.limit = int(data[0])
	body := &m.lease
	body.Kind = leaseKindOf[m.kind]
	body.Incarnation = m.incarnation
	switch m.kind {
	case treeRequestMessage:
		body.Level = int(data[1])
		body.Amount = parseAmount(data[2:])
		body.RequestNumber = order.Uint32(data[6:])
		body.Weight = int(order.Uint16(data[10:]))
	case treeGrantMessage:
		body.Level = int(data[1])
		body.Amount = parseAmount(data[2:])
		body.Term = parseTerm(data[6:])
		body.RequestNumber = order.Uint32(data[10:])
		body.KnownHolder = parseHolder(data[14:])
	case treeVoteMessage:
		body.Timestamp = order.Uint32(data[1:])
		body.CandidateIncarnation = order.Uint32(data[5:])
	case treeVoteAckMessage:
		body.Timestamp = order.Uint32(data[1:])
		body.IsElected = data[5] == 1
	}
}
