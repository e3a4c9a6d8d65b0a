package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Layout of a datagram, with the size of each field in bytes. Integers are big-endian:
//
//	version:1 kind:1 rank:2 site:2 incarnation:4 sequence:4 server:4 ...
//
// The header is followed by 1 to MaxServersPerDatagram servers, each encoded as the number in its ID.
const (
	// MaxDatagramSize is the platform's size limit in bytes for a datagram between routers. Longer datagrams are neither
	// built nor accepted.
	MaxDatagramSize = 256
	// MaxServersPerDatagram is the maximum number of servers in a datagram.
	MaxServersPerDatagram = (MaxDatagramSize - headerSize) / serverSize

	datagramVersion = 1
	kindOverload    = 1 // kind of the only message of this package; core/fleet uses other kinds
	headerSize      = 14
	serverSize      = 4
)

// ErrMalformed is wrapped by errors for bytes that are not a valid datagram of this package.
var ErrMalformed = errors.New("malformed datagram")

// Message is the content of a datagram: a report of overloaded servers.
type Message struct {
	Rank, Site  int      // rank and site of the sender
	Incarnation uint32   // incarnation of the sender
	Sequence    uint32   // increases by one for each datagram of an incarnation
	Overloaded  []uint32 // numbers in the IDs of the overloaded servers
}

// Append appends the encoded datagram to buffer and returns the extended buffer. Servers beyond the first
// MaxServersPerDatagram are left out.
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

// Parse decodes a datagram into m and reuses the memory of m.Overloaded. Its error wraps ErrMalformed.
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
