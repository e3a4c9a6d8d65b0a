package scale

import "encoding/binary"

// Places in a datagram of core/fleet: see the head of its datagram.go. TestDatagramPlaces holds them against the real codec.
const (
	rankOffset      = 2
	siteOffset      = 4
	operationOffset = 14
	bodyOffset      = 15
	targetOffset    = 15
	updateSize      = 9 // a membership update: rank, incarnation, refuted, state
	refutedOffset   = 6
	stateOffset     = 8
	suspectState    = 2
)

// operation is the kind of a datagram of core/fleet.
type operation byte

// The operations.
const (
	opPing operation = iota + 1
	opAck
	opIndirectPing
	opLeaseRequest
	opLeaseGrant
	opHealthReport
)

var bodySizes = map[operation]int{opPing: 9, opAck: 9, opIndirectPing: 9, opLeaseRequest: 13, opLeaseGrant: 17, opHealthReport: 5}

func operationOf(datagram []byte) operation { return operation(datagram[operationOffset]) }

func setRank(datagram []byte, rank, depot int) {
	binary.BigEndian.PutUint16(datagram[rankOffset:], uint16(rank))
	binary.BigEndian.PutUint16(datagram[siteOffset:], uint16(depot))
}

func targetOf(datagram []byte) int { return int(binary.BigEndian.Uint16(datagram[targetOffset:])) }

func setTarget(datagram []byte, rank int) {
	binary.BigEndian.PutUint16(datagram[targetOffset:], uint16(rank))
}

// membershipUpdate is a membership update inside a datagram.
type membershipUpdate []byte

func (u membershipUpdate) rank() int         { return int(binary.BigEndian.Uint16(u)) }
func (u membershipUpdate) setRank(rank int)  { binary.BigEndian.PutUint16(u, uint16(rank)) }
func (u membershipUpdate) refuted() uint16   { return binary.BigEndian.Uint16(u[refutedOffset:]) }
func (u membershipUpdate) isSuspicion() bool { return u[stateOffset] >= suspectState }

func (u membershipUpdate) setRefuted(refuted uint16) {
	binary.BigEndian.PutUint16(u[refutedOffset:], refuted)
}

// eachUpdate calls visit for each membership update of a datagram.
func eachUpdate(datagram []byte, visit func(membershipUpdate)) {
	for rest := datagram[bodyOffset+bodySizes[operationOf(datagram)]:]; len(rest) >= updateSize; rest = rest[updateSize:] {
		visit(membershipUpdate(rest[:updateSize]))
	}
}
