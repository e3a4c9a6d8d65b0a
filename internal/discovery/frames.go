// Package discovery watches the discovery service (the settings call it board): the list of servers, its changes, and purges, as numbered
// events.
package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"spantack/internal/router"
)

// Names are the lists of the settings in which frames give places.
type Names struct {
	Zones, Kinds []string
}

const (
	kindNothing = iota
	kindWhole
	kindChanges
	kindObject
	kindGroup
)

const (
	recordSize = 27
	frameHead  = 9 // number and kind
	maxFrame   = frameHead + recordSize*4096
)

// statuses are the module's words for the board's states, by number.
var statuses = []string{"healthy", "cordoned", "deregistered"}

var errMalformed = errors.New("malformed frame")

// frame is one event of the board; kind 0 brings nothing.
type frame struct {
	number uint64
	kind   byte
	notice router.Notice
}

// readFrame reads one frame.
func readFrame(in io.Reader, names Names) (f frame, err error) {
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < frameHead || n > maxFrame {
		return f, fmt.Errorf("%w: length %d", errMalformed, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return f, err
	}
	f.number, f.kind = binary.BigEndian.Uint64(body), body[8]
	f.notice, err = parsePayload(f.kind, body[frameHead:], names)
	return f, err
}

func parsePayload(kind byte, body []byte, names Names) (n router.Notice, err error) {
	switch kind {
	case kindNothing:
		return n, nil
	case kindWhole, kindChanges:
		n.Whole = kind == kindWhole
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
	case kindObject:
		if len(body) == 16 {
			n.Purge = &router.Purge{Object: fmt.Sprintf("%016x", binary.BigEndian.Uint64(body)),
				At: float64(binary.BigEndian.Uint64(body[8:]))}
			return n, nil
		}
	case kindGroup:
		if len(body) == 10 {
			n.Purge = &router.Purge{Group: int64(binary.BigEndian.Uint16(body)),
				At: float64(binary.BigEndian.Uint64(body[2:]))}
			return n, nil
		}
	}
	return n, fmt.Errorf("%w: kind %d with %d bytes", errMalformed, kind, len(body))
}

// parseRecord reads id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8.
func parseRecord(b []byte, names Names) (s router.Server, err error) {
	state, zone, kind := int(b[10]), int(b[11]), int(b[12])
	if state >= len(statuses) || zone >= len(names.Zones) || kind >= len(names.Kinds) {
		return s, fmt.Errorf("%w: state %d, zone %d, kind %d", errMalformed, state, zone, kind)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:]))
	return router.Server{
		ID: fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b)), Addr: addr.String(), Status: statuses[state],
		Zone: names.Zones[zone], Kind: names.Kinds[kind], Cell: int64(binary.BigEndian.Uint16(b[13:])),
		Weight:  float64(binary.BigEndian.Uint32(b[15:])) / 1000,
		Started: float64(binary.BigEndian.Uint64(b[19:])),
	}, nil
}
