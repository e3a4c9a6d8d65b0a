package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"

	"spantack/internal/router"
	"spantack/routing"
)

// Names holds the names of the zones and of the server kinds from the settings. Records in frames refer to them by
// index.
type Names struct {
	Zones []string
	Kinds []string // of servers
}

// Equal reports whether the names are the same, in the same order.
func (n Names) Equal(other Names) bool {
	return slices.Equal(n.Zones, other.Zones) && slices.Equal(n.Kinds, other.Kinds)
}

// frameKind is the type of a frame.
type frameKind byte

// Frame kinds, with their numbers in the protocol.
const (
	kindHeartbeat frameKind = iota
	kindSnapshot
	kindUpdate
	kindPurgeObject
	kindPurgeGroup
)

// String returns the name of the kind.
func (k frameKind) String() string {
	names := [...]string{
		kindHeartbeat:   "heartbeat",
		kindSnapshot:    "snapshot",
		kindUpdate:      "update",
		kindPurgeObject: "purge of an object",
		kindPurgeGroup:  "purge of a group",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", byte(k))
}

// Sizes in bytes. Each frame begins with the length of its header and payload.
const (
	lengthSize      = 4
	frameHeaderSize = 9 // number:8 kind:1
	recordSize      = 27
	maxFrameSize    = frameHeaderSize + recordSize*4096

	// In purges, before is in Unix milliseconds: copies made before that time are out of date.
	purgeObjectSize = 16 // object:8 before:8
	purgeGroupSize  = 10 // group:2 before:8
)

// statusesByNumber maps the protocol's state numbers to server statuses.
var statusesByNumber = []routing.EndpointStatus{
	routing.EndpointHealthy,
	routing.EndpointDraining,
	routing.EndpointRemoved,
}

// errMalformed is wrapped by all errors about bytes that violate the protocol. Such an error ends the connection.
var errMalformed = errors.New("malformed frame")

// frame is one decoded message of the stream.
type frame struct {
	number uint64 // event number; a heartbeat has the number of the last event
	kind   frameKind
	event  router.WatchEvent // empty for a heartbeat
}

// readFrame reads one frame. It returns io.EOF if the stream ends between frames, and io.ErrUnexpectedEOF if it ends
// within a frame.
func readFrame(reader io.Reader, names Names) (f frame, err error) {
	var size [lengthSize]byte
	if _, err := io.ReadFull(reader, size[:]); err != nil {
		return f, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length < frameHeaderSize || length > maxFrameSize {
		return f, fmt.Errorf("%w: invalid length %d", errMalformed, length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return f, err
	}
	f.number = binary.BigEndian.Uint64(body)
	f.kind = frameKind(body[frameHeaderSize-1])
	f.event, err = parsePayload(f.kind, body[frameHeaderSize:], names)
	return f, err
}

// parsePayload parses the payload of a frame of the given kind.
func parsePayload(kind frameKind, payload []byte, names Names) (event router.WatchEvent, err error) {
	switch {
	case kind == kindHeartbeat:
		return event, nil
	case kind == kindSnapshot, kind == kindUpdate:
		event.IsSnapshot = kind == kindSnapshot
		event.Servers, err = parseRecords(payload, names)
		return event, err
	case kind == kindPurgeObject && len(payload) == purgeObjectSize:
		event.Purge = &router.Purge{
			Object: fmt.Sprintf("%016x", binary.BigEndian.Uint64(payload)),
			Before: float64(binary.BigEndian.Uint64(payload[8:])),
		}
		return event, nil
	case kind == kindPurgeGroup && len(payload) == purgeGroupSize:
		event.Purge = &router.Purge{
			Group:  int64(binary.BigEndian.Uint16(payload)),
			Before: float64(binary.BigEndian.Uint64(payload[2:])),
		}
		return event, nil
	}
	return event, fmt.Errorf("%w: %v with %d bytes", errMalformed, kind, len(payload))
}

// parseRecords parses the server records of a snapshot or update.
func parseRecords(payload []byte, names Names) (servers []router.Server, err error) {
	if len(payload)%recordSize != 0 {
		return nil, fmt.Errorf("%w: %d bytes are not a whole number of records", errMalformed, len(payload))
	}
	for ; len(payload) > 0; payload = payload[recordSize:] {
		server, err := parseRecord(payload, names)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// parseRecord parses one server record, which has id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8
// bytes. The weight is in thousandths, and started in Unix milliseconds.
func parseRecord(record []byte, names Names) (router.Server, error) {
	state := int(record[10])
	zone := int(record[11])
	kind := int(record[12])
	if state >= len(statusesByNumber) || zone >= len(names.Zones) || kind >= len(names.Kinds) {
		return router.Server{}, fmt.Errorf("%w: unknown state %d, zone %d or kind %d", errMalformed, state, zone, kind)
	}
	ip := netip.AddrFrom4([4]byte(record[4:8]))
	return router.Server{
		ID:        fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(record)),
		Addr:      netip.AddrPortFrom(ip, binary.BigEndian.Uint16(record[8:])).String(),
		Status:    statusesByNumber[state],
		Zone:      names.Zones[zone],
		Kind:      names.Kinds[kind],
		Cell:      int64(binary.BigEndian.Uint16(record[13:])),
		Weight:    float64(binary.BigEndian.Uint32(record[15:])) / 1000,
		StartedAt: float64(binary.BigEndian.Uint64(record[19:])),
	}, nil
}
