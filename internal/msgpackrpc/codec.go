// Package msgpackrpc serves clients: MessagePack-RPC over TCP, many requests open on one connection, answers in any
// order.
package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// The most that a message may hold; lengths are checked before anything is allocated.
const (
	maxStringSize  = 48 << 10 // a write carries 48,000 bytes at most
	maxItems       = 64
	maxDepth       = 6
	maxMessageSize = 64 << 10
)

var errMalformed = errors.New("malformed message")

// decoder reads one message; left is what it may still take, most the longest string or body.
type decoder struct {
	reader    *bufio.Reader
	remaining int
	maxLength int
}

// readMessage reads one MessagePack value: nil, bool, int64, uint64, float64, string, []byte, []any or
// map[string]any.
func readMessage(in *bufio.Reader) (any, error) {
	d := decoder{reader: in, remaining: maxMessageSize, maxLength: maxStringSize}
	return d.readValue(0)
}

func (d *decoder) readBytes(n int) ([]byte, error) {
	if n > d.maxLength || n > d.remaining {
		return nil, fmt.Errorf("%w: %d bytes are too many", errMalformed, n)
	}
	d.remaining -= n
	b := make([]byte, n)
	if _, err := io.ReadFull(d.reader, b); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return b, nil
}

// readUint reads a big-endian number of n bytes.
func (d *decoder) readUint(n int) (uint64, error) {
	b, err := d.readBytes(n)
	if err != nil {
		return 0, err
	}
	var wide [8]byte
	copy(wide[8-n:], b)
	return binary.BigEndian.Uint64(wide[:]), nil
}

func (d *decoder) readValue(depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("%w: nested too deep", errMalformed)
	}
	b, err := d.reader.ReadByte()
	if err != nil {
		if err == io.EOF && depth > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	switch {
	case b < 0x80:
		return int64(b), nil
	case b < 0x90:
		return d.readMap(int(b&0x0f), depth)
	case b < 0xa0:
		return d.readArray(int(b&0x0f), depth)
	case b < 0xc0:
		return d.readString(int(b & 0x1f))
	case b >= 0xe0:
		return int64(int8(b)), nil
	}
	switch b {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return b == 0xc3, nil
	case 0xc4, 0xc5, 0xc6:
		n, err := d.readLength(1 << (b - 0xc4))
		if err != nil {
			return nil, err
		}
		return d.readBytes(n)
	case 0xca:
		v, err := d.readUint(4)
		return float64(math.Float32frombits(uint32(v))), err
	case 0xcb:
		v, err := d.readUint(8)
		return math.Float64frombits(v), err
	case 0xcc, 0xcd, 0xce, 0xcf:
		return d.readUint(1 << (b - 0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3:
		size := 1 << (b - 0xd0)
		v, err := d.readUint(size)
		shift := 64 - 8*size
		return int64(v<<shift) >> shift, err
	case 0xd9, 0xda, 0xdb:
		n, err := d.readLength(1 << (b - 0xd9))
		if err != nil {
			return nil, err
		}
		return d.readString(n)
	case 0xdc, 0xdd:
		n, err := d.readLength(2 << (b - 0xdc))
		if err != nil {
			return nil, err
		}
		return d.readArray(n, depth)
	case 0xde, 0xdf:
		n, err := d.readLength(2 << (b - 0xde))
		if err != nil {
			return nil, err
		}
		return d.readMap(n, depth)
	}
	return nil, fmt.Errorf("%w: type %#x", errMalformed, b)
}

func (d *decoder) readLength(size int) (int, error) {
	n, err := d.readUint(size)
	if n > uint64(d.maxLength) {
		return 0, fmt.Errorf("%w: length %d", errMalformed, n)
	}
	return int(n), err
}

func (d *decoder) readString(n int) (any, error) {
	b, err := d.readBytes(n)
	return string(b), err
}

func (d *decoder) readArray(n, depth int) (any, error) {
	if n > maxItems {
		return nil, fmt.Errorf("%w: array of %d", errMalformed, n)
	}
	list := make([]any, n)
	for i := range list {
		v, err := d.readValue(depth + 1)
		if err != nil {
			return nil, err
		}
		list[i] = v
	}
	return list, nil
}

func (d *decoder) readMap(n, depth int) (any, error) {
	if n > maxItems {
		return nil, fmt.Errorf("%w: map of %d", errMalformed, n)
	}
	m := make(map[string]any, n)
	for range n {
		k, err := d.readValue(depth + 1)
		if err != nil {
			return nil, err
		}
		name, ok := k.(string)
		if !ok {
			return nil, fmt.Errorf("%w: a map key is no string", errMalformed)
		}
		if m[name], err = d.readValue(depth + 1); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func appendUint(buf []byte, v uint64) []byte {
	switch {
	case v < 0x80:
		return append(buf, byte(v))
	case v <= math.MaxUint8:
		return append(buf, 0xcc, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(buf, 0xcd), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(buf, 0xce), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(buf, 0xcf), v)
}

func appendString(buf []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(buf, 0xa0|byte(len(s))), s...)
	}
	return append(binary.BigEndian.AppendUint16(append(buf, 0xda), uint16(len(s))), s...)
}

func appendBinaryHeader(buf []byte, n int) []byte {
	if n <= math.MaxUint8 {
		return append(buf, 0xc4, byte(n))
	}
	return binary.BigEndian.AppendUint32(append(buf, 0xc6), uint32(n))
}

// appendFields adds a map of strings to strings: names and values in turn.
func appendFields(buf []byte, pairs ...string) []byte {
	buf = append(buf, 0x80|byte(len(pairs)/2))
	for _, s := range pairs {
		buf = appendString(buf, s)
	}
	return buf
}

const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2
)

// appendResultHeader begins an answer without error.
func appendResultHeader(buf []byte, id uint64) []byte {
	return append(appendUint(append(buf, 0x94, kindResponse), id), 0xc0)
}

// appendError adds a whole answer with an error: its word and fields.
func appendError(buf []byte, id uint64, word string, pairs ...string) []byte {
	buf = appendString(append(appendUint(append(buf, 0x94, kindResponse), id), 0x92), word)
	return append(appendFields(buf, pairs...), 0xc0)
}
