package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// A datagram, numbers big-endian:
//
//	version:1 kind:1 rank:2 site:2 incarnation:4 sequence:4 server:4 ...
//
// From one to MaxServersPerDatagram servers follow the header, each as the number that its id stands for.
const (
	// MaxDatagramSize is the platform's bound in bytes. No longer datagram is ever built.
	MaxDatagramSize = 256
	// MaxServersPerDatagram is how many servers one datagram names at most.
	MaxServersPerDatagram = (MaxDatagramSize - headerSize) / serverSize

	datagramVersion = 1
	kindOverload    = 1 // core/fleet has other kinds
	headerSize      = 14
	serverSize      = 4
)

// ErrMalformed is wrapped where the bytes are no datagram of this package.
var ErrMalformed = errors.New("malformed datagram")

// Message is a datagram that was parsed or is to be sent.
type Message struct {
	Rank, Site  int // of the sender
	Incarnation uint32
	Sequence    uint32   // numbers the datagrams of an incarnation
	Overloaded  []uint32 // numbers of servers
}

// Append writes m behind buffer. It names the first MaxServersPerDatagram servers at most.
func (m *Message) Append(buffer []byte) []byte {
	order := binary.BigEndian
	buffer = append(buffer, datagramVersion, kindOverload)
	buffer = order.AppendUint16(buffer, uint16(m.Rank))
	buffer = order.AppendUint16(buffer, uint16(m.Site))
	buffer = order.AppendUint32(buffer, m.Incarnation)
	buffer = order.AppendUint32(buffer, m.Sequence)
	for _, server := range m.Overloaded[:min(len(m.Overloaded), MaxServersPerDatagram)] {
		buffer = order.AppendUint32(buffer, server)
	}
	return buffer
}

// Parse reads a datagram into m, whose room for servers is used again. Its error wraps ErrMalformed.
func (m *Message) Parse(datagram []byte) error {
	size := len(datagram)
	switch {
	case size < headerSize+serverSize || size > MaxDatagramSize || (size-headerSize)%serverSize != 0:
		return fmt.Errorf("%w: %d bytes", ErrMalformed, size)
	case datagram[0] != datagramVersion:
		return fmt.Errorf("%w: version %d", ErrMalformed, datagram[0])
	case datagram[1] != kindOverload:
		return fmt.Errorf("%w: kind %d", ErrMalformed, datagram[1])
	}
	order := binary.BigEndian
	m.Rank = int(order.Uint16(datagram[2:]))
	m.Site = int(order.Uint16(datagram[4:]))
	m.Incarnation = order.Uint32(datagram[6:])
	m.Sequence = order.Uint32(datagram[10:])
	m.Overloaded = m.Overloaded[:0]
	for rest := datagram[headerSize:]; len(rest) > 0; rest = rest[serverSize:] {
		m.Overloaded = append(m.Overloaded, order.Uint32(rest))
	}
	return nil
}
