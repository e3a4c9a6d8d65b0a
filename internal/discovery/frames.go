// Package discovery watches the discovery service (the settings' field `board`), which sends the list of servers, its changes, and purges
// as numbered events.
package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"spantack/internal/router"
)

// Names are the lists of the settings into which the indexes in frames point.
type Names struct {
	Zones, Kinds []string
}

// Kinds of frame.
const (
	kindHeartbeat = iota
	kindSnapshot
	kindUpdate
	kindPurgeObject
	kindPurgeGroup
)

const (
	recordSize      = 27
	frameHeaderSize = 9 // number and kind
	maxFrameSize    = frameHeaderSize + recordSize*4096
)

// statusesByNumber maps the numbers of the protocol to the decision module's names of a server's status.
var statusesByNumber = []string{"healthy", "cordoned", "deregistered"}

var errMalformed = errors.New("malformed frame")

// frame is one event of the stream; a heartbeat carries none.
type frame struct {
	number uint64
	kind   byte
	event  router.WatchEvent
}

// readFrame reads one frame.
func readFrame(reader io.Reader, names Names) (f frame, err error) {
	var size [4]byte
	if _, err := io.ReadFull(reader, size[:]); err != nil {
		return f, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length < frameHeaderSize || length > maxFrameSize {
		return f, fmt.Errorf("%w: length %d", errMalformed, length)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return f, err
	}
	f.number, f.kind = binary.BigEndian.Uint64(body), body[8]
	f.event, err = parsePayload(f.kind, body[frameHeaderSize:], names)
	return f, err
}

// parsePayload reads what a frame of the given kind carries behind its head.
func parsePayload(kind byte, body []byte, names Names) (n router.WatchEvent, err error) {
	switch kind {
	case kindHeartbeat:
		return n, nil
	case kindSnapshot, kindUpdate:
		n.IsSnapshot = kind == kindSnapshot
		if len(body)%recordSize != 0 {
			return n, fmt.Errorf("%w: %d bytes of records", errMalformed, len(body))
		}
		for ; len(body) > 0; body = body[recordSize:] {
			s, err := parseRecord(body, names)
			if err != nil {
				return n, err
			}
			n.Servers = append(n.Servers, s)
		}
		return n, nil
	case kindPurgeObject:
		if len(body) == 16 {
			n.Purge = &router.Purge{Object: fmt.Sprintf("%016x", binary.BigEndian.Uint64(body)),
				Before: float64(binary.BigEndian.Uint64(body[8:]))}
			return n, nil
		}
	case kindPurgeGroup:
		if len(body) == 10 {
			n.Purge = &router.Purge{Group: int64(binary.BigEndian.Uint16(body)),
				Before: float64(binary.BigEndian.Uint64(body[2:]))}
			return n, nil
		}
	}
	return n, fmt.Errorf("%w: kind %d with %d bytes", errMalformed, kind, len(body))
}

// parseRecord reads one server: id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8 bytes.
func parseRecord(b []byte, names Names) (s router.Server, err error) {
	state, zone, kind := int(b[10]), int(b[11]), int(b[12])
	if state >= len(statusesByNumber) || zone >= len(names.Zones) || kind >= len(names.Kinds) {
		return s, fmt.Errorf("%w: state %d, zone %d, kind %d", errMalformed, state, zone, kind)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:]))
	return router.Server{
		ID: fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b)), Addr: addr.String(), Status: statusesByNumber[state],
		Zone: names.Zones[zone], Kind: names.Kinds[kind], Cell: int64(binary.BigEndian.Uint16(b[13:])),
		Weight:    float64(binary.BigEndian.Uint32(b[15:])) / 1000,
		StartedAt: float64(binary.BigEndian.Uint64(b[19:])),
	}, nil
}
