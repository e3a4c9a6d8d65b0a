package discovery

import (
	"encoding/binary"
	"net/netip"
)

// frameKind identifies what the payload of a frame contains.
type frameKind byte

// The kinds of frames, with their numbers in the protocol.
const (
	kindHeartbeat   frameKind = 0
	kindSnapshot    frameKind = 1
	kindUpdate      frameKind = 2
	kindPurgeObject frameKind = 3
)

// Sizes in bytes.
const (
	frameHeaderSize   = 9 // number (8) and kind (1), after the length field; the length excludes that field
	lastEventSize     = 8 // the first bytes from a router: the number of the last event that it has
	endpointFlagsSize = 2 // always 0
)

// weightUnit is the value on the wire of a weight of 1.
const weightUnit = 1000

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID              uint32
	Addr            netip.AddrPort // IPv4 only
	State           byte           // 0 ready, 1 draining, 2 gone
	Zone            byte           // index into the zones of the settings
	Kind            byte           // index into the kinds of the settings
	Weight          float64        // sent with three decimals
	StartedAtMillis int64          // Unix time in milliseconds; 0: long ago
}

// appendEndpoint appends the encoding of an entry to a frame's payload and returns the extended payload.
func appendEndpoint(payload []byte, endpoint Endpoint) []byte {
	ip := endpoint.Addr.Addr().As4()
	payload = binary.BigEndian.AppendUint32(payload, endpoint.ID)
	payload = append(payload, ip[:]...)
	payload = binary.BigEndian.AppendUint16(payload, endpoint.Addr.Port())
	payload = append(payload, endpoint.State, endpoint.Zone, endpoint.Kind)
	payload = append(payload, make([]byte, endpointFlagsSize)...)
	payload = binary.BigEndian.AppendUint32(payload, uint32(endpoint.Weight*weightUnit))
	return binary.BigEndian.AppendUint64(payload, uint64(endpoint.StartedAtMillis))
}

// encodeFrame returns the encoding of a frame: length, number, kind and payload.
func encodeFrame(number uint64, kind frameKind, payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(frameHeaderSize+len(payload)))
	frame = binary.BigEndian.AppendUint64(frame, number)
	frame = append(frame, byte(kind))
	return append(frame, payload...)
}
