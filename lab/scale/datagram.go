package scale

import "encoding/binary"

// Offsets in bytes in a datagram of core/fleet. The format is described at the top of datagram.go in core/fleet.
// TestOffsetsMatchFleetCodec compares the offsets with the real codec.
const (
	rankOffset      = 2
	siteOffset      = 4
	operationOffset = 14
	bodyOffset      = 15
	targetOffset    = 15 // in the bodies of opPing and opAck
)

// Format of a membership update: rank, incarnation, refuted, state.
const (
	updateSize    = 9 // in bytes
	refutedOffset = 6
	stateOffset   = 8
	suspectState  = 2 // higher values are worse states
)

// operation is the kind of a datagram of core/fleet.
type operation byte

// Operations, with their values in the datagram format of core/fleet.
const (
	opPing operation = iota + 1
	opAck
	opIndirectPing
	opLeaseRequest
	opLeaseGrant
	opHealthReport
)

// bodySizes are the sizes in bytes of the bodies, which lie between the operation and the membership updates.
var bodySizes = map[operation]int{
	opPing:         9,
	opAck:          9,
	opIndirectPing: 9,
	opLeaseRequest: 13,
	opLeaseGrant:   17,
	opHealthReport: 5,
}

func operationOf(datagram []byte) operation { return operation(datagram[operationOffset]) }

// setSender replaces the sender's rank and site in a datagram.
func setSender(datagram []byte, rank, site int) {
	binary.BigEndian.PutUint16(datagram[rankOffset:], uint16(rank))
	binary.BigEndian.PutUint16(datagram[siteOffset:], uint16(site))
}

func targetOf(datagram []byte) int { return int(binary.BigEndian.Uint16(datagram[targetOffset:])) }

func setTarget(datagram []byte, rank int) {
	binary.BigEndian.PutUint16(datagram[targetOffset:], uint16(rank))
}

// membershipUpdate is an encoded membership update, a slice of its datagram.
type membershipUpdate []byte

func (u membershipUpdate) rank() int              { return int(binary.BigEndian.Uint16(u)) }
func (u membershipUpdate) setRank(rank int)       { binary.BigEndian.PutUint16(u, uint16(rank)) }
func (u membershipUpdate) refuted() uint16        { return binary.BigEndian.Uint16(u[refutedOffset:]) }
func (u membershipUpdate) isSuspectOrWorse() bool { return u[stateOffset] >= suspectState }

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
