package scale

import "encoding/binary"

// Offsets in a datagram of core/fleet, in bytes: see the head of its datagram.go. TestDatagramPlaces compares them with
// the real codec.
const (
	rankOffset      = 2
	siteOffset      = 4
	operationOffset = 14
	bodyOffset      = 15
	targetOffset    = 15 // in the bodies of opPing and opAck
)

// A membership update: rank, incarnation, refuted, state.
const (
	updateSize    = 9 // in bytes
	refutedOffset = 6
	stateOffset   = 8
	suspectState  = 2 // and what is worse
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

// bodySizes are the sizes in bytes of what follows the operation, before membership updates.
var bodySizes = map[operation]int{
	opPing:         9,
	opAck:          9,
	opIndirectPing: 9,
	opLeaseRequest: 13,
	opLeaseGrant:   17,
	opHealthReport: 5,
}

func operationOf(datagram []byte) operation { return operation(datagram[operationOffset]) }

// setRank makes a datagram one of another sender.
func setRank(datagram []byte, rank, site int) {
	binary.BigEndian.PutUint16(datagram[rankOffset:], uint16(rank))
	binary.BigEndian.PutUint16(datagram[siteOffset:], uint16(site))
}

func targetOf(datagram []byte) int { return int(binary.BigEndian.Uint16(datagram[targetOffset:])) }

func setTarget(datagram []byte, rank int) {
	binary.BigEndian.PutUint16(datagram[targetOffset:], uint16(rank))
}

// membershipUpdate is one inside a datagram.
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
	rest := datagram[bodyOffset+bodySizes[operationOf(datagram)]:]
	for ; len(rest) >= updateSize; rest = rest[updateSize:] {
		visit(membershipUpdate(rest[:updateSize]))
	}
}
