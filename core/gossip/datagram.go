package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// A datagram, numbers big-endian:
//
//	version:1 kind:1 rank:2 depot:2 incarnation:4 sequence:4 server:4 ...
//
// From one to MaxServersPerDatagram servers follow the head, each as the number that its id stands for.
const (
	// MaxDatagramSize is the platform's bound in bytes. None longer is ever built.
	MaxDatagramSize = 256
	// MaxServersPerDatagram that one datagram names.
	MaxServersPerDatagram = (MaxDatagramSize - headerSize) / serverSize

	datagramVersion = 1
	kindOverload    = 1
	headerSize      = 14
	serverSize      = 4
)

// ErrMalformed is any datagram that can't be one of ours.
var ErrMalformed = errors.New("malformed datagram")

// Message is a datagram read.
type Message struct {
	Rank, Site            int
	Incarnation, Sequence uint32
	Overloaded            []uint32 // servers
}

// Append writes m behind buf. It names the first MaxServersPerDatagram servers at most.
func (m *Message) Append(buf []byte) []byte {
	buf = append(buf, datagramVersion, kindOverload)
	buf = binary.BigEndian.AppendUint16(buf, uint16(m.Rank))
	buf = binary.BigEndian.AppendUint16(buf, uint16(m.Site))
	buf = binary.BigEndian.AppendUint32(buf, m.Incarnation)
	buf = binary.BigEndian.AppendUint32(buf, m.Sequence)
	for _, s := range m.Overloaded[:min(len(m.Overloaded), MaxServersPerDatagram)] {
		buf = binary.BigEndian.AppendUint32(buf, s)
	}
	return buf
}

// Parse reads a datagram into m, whose room for servers is used again. Its error wraps ErrMalformed.
func (m *Message) Parse(b []byte) error {
	switch {
	case len(b) < headerSize+serverSize || len(b) > MaxDatagramSize || (len(b)-headerSize)%serverSize != 0:
		return fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	case b[0] != datagramVersion:
		return fmt.Errorf("%w: version %d", ErrMalformed, b[0])
	case b[1] != kindOverload:
		return fmt.Errorf("%w: kind %d", ErrMalformed, b[1])
	}
	m.Rank, m.Site = int(binary.BigEndian.Uint16(b[2:])), int(binary.BigEndian.Uint16(b[4:]))
	m.Incarnation, m.Sequence = binary.BigEndian.Uint32(b[6:]), binary.BigEndian.Uint32(b[10:])
	m.Overloaded = m.Overloaded[:0]
	for b = b[headerSize:]; len(b) > 0; b = b[serverSize:] {
		m.Overloaded = append(m.Overloaded, binary.BigEndian.Uint32(b))
	}
	return nil
}

// ParseServerID is what an id such as "s-00c41f7a" stands for; false for an id of another kind.
func ParseServerID(id string) (uint32, bool) { return parseServerID(id) }

// parseServerID is what an id such as "s-00c41f7a" stands for.
func parseServerID(id string) (uint32, bool) {
	digits, ok := strings.CutPrefix(id, "s-")
	if !ok || len(digits) != 8 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 32)
	return uint32(n), err == nil
}

// formatServerID is the id that stands for a number.
func formatServerID(n uint32) string { return fmt.Sprintf("s-%08x", n) }
