package discovery

import (
	"encoding/binary"
	"net/netip"
)

// frameKind says what a frame carries.
type frameKind byte

// The kinds of frame, with the protocol's numbers.
const (
	kindHeartbeat   frameKind = 0
	kindSnapshot    frameKind = 1
	kindUpdate      frameKind = 2
	kindPurgeObject frameKind = 3
)

// Sizes in bytes.
const (
	frameHeaderSize   = 9 // number:8 kind:1, behind the length of what follows that
	lastEventSize     = 8 // what a router sends first: the number of the last event that it has
	endpointFlagsSize = 2 // left 0
)

// weightUnit is the weight of 1 on the wire.
const weightUnit = 1000

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID              uint32
	Addr            netip.AddrPort // an IPv4 one
	State           byte           // 0 ready, 1 draining, 2 gone
	Zone            byte           // index into the zones of the settings
	Kind            byte           // index into the kinds of the settings
	Weight          float64        // to three decimals
	StartedAtMillis int64          // Unix time; 0: long ago
}

// appendEndpoint appends an entry as it stands in a frame.
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

// encodeFrame returns a frame as it goes over the wire.
func encodeFrame(number uint64, kind frameKind, payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(frameHeaderSize+len(payload)))
	frame = binary.BigEndian.AppendUint64(frame, number)
	frame = append(frame, byte(kind))
	return append(frame, payload...)
}
