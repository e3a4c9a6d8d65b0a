package scale

import "encoding/binary"

// Places in a datagram of core/fleet: see the head of its datagram.go. TestDatagramPlaces holds them against the real codec.
const (
	rankAt       = 2
	depotAt      = 4
	opAt         = 14
	bodyAt       = 15
	targetAt     = 15
	updateSize   = 9 // a membership update: rank, incarnation, refuted, state
	refutedAt    = 6
	stateAt      = 8
	suspectState = 2
)

// operation is the kind of a datagram of core/fleet.
type operation byte

// The operations.
const (
	opPing operation = iota + 1
	opAck
	opRelay
	opAsk
	opLend
	opReport
)

var bodySizes = map[operation]int{opPing: 9, opAck: 9, opRelay: 9, opAsk: 13, opLend: 17, opReport: 5}

func operationOf(datagram []byte) operation { return operation(datagram[opAt]) }

func setRank(datagram []byte, rank, depot int) {
	binary.BigEndian.PutUint16(datagram[rankAt:], uint16(rank))
	binary.BigEndian.PutUint16(datagram[depotAt:], uint16(depot))
}

func targetOf(datagram []byte) int { return int(binary.BigEndian.Uint16(datagram[targetAt:])) }

func setTarget(datagram []byte, rank int) {
	binary.BigEndian.PutUint16(datagram[targetAt:], uint16(rank))
}

// update is a membership update inside a datagram.
type update []byte

func (u update) rank() int        { return int(binary.BigEndian.Uint16(u)) }
func (u update) setRank(rank int) { binary.BigEndian.PutUint16(u, uint16(rank)) }
func (u update) refuted() uint16  { return binary.BigEndian.Uint16(u[refutedAt:]) }
func (u update) suspects() bool   { return u[stateAt] >= suspectState }

func (u update) setRefuted(refuted uint16) { binary.BigEndian.PutUint16(u[refutedAt:], refuted) }

// eachUpdate calls visit for each membership update of a datagram.
func eachUpdate(datagram []byte, visit func(update)) {
	for rest := datagram[bodyAt+bodySizes[operationOf(datagram)]:]; len(rest) >= updateSize; rest = rest[updateSize:] {
		visit(update(rest[:updateSize]))
	}
}
