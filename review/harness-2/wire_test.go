package reviewtwo

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// MessagePack, as far as the protocol page needs it.

func mpArray(b []byte, n int) []byte { return append(b, 0x90|byte(n)) }

func mpUint(b []byte, v uint64) []byte {
	switch {
	case v < 0x80:
		return append(b, byte(v))
	case v <= math.MaxUint8:
		return append(b, 0xcc, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	default:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
	}
}

func mpStr(b []byte, s string) []byte {
	switch {
	case len(s) < 32:
		b = append(b, 0xa0|byte(len(s)))
	case len(s) < 256:
		b = append(b, 0xd9, byte(len(s)))
	default:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(s)))
	}
	return append(b, s...)
}

func mpBin(b, body []byte) []byte {
	if len(body) < 256 {
		b = append(b, 0xc4, byte(len(body)))
	} else {
		b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(body)))
	}
	return append(b, body...)
}

func mpMap(b []byte, pairs [][2]string) []byte {
	b = append(b, 0x80|byte(len(pairs)))
	for _, p := range pairs {
		b = mpStr(mpStr(b, p[0]), p[1])
	}
	return b
}

// mpRead reads one value: nil, bool, uint64, int64, float64, string, []byte, []any or map[string]any.
func mpRead(r *bufio.Reader) (any, error) {
	f, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	switch {
	case f < 0x80:
		return uint64(f), nil
	case f < 0x90:
		return mpReadMap(r, int(f&0x0f))
	case f < 0xa0:
		return mpReadArray(r, int(f&0x0f))
	case f < 0xc0:
		return mpReadStr(r, int(f&0x1f))
	case f >= 0xe0:
		return int64(int8(f)), nil
	}
	switch f {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return f == 0xc3, nil
	case 0xc4, 0xc5, 0xc6:
		n, err := mpLen(r, 1<<(f-0xc4))
		if err != nil {
			return nil, err
		}
		b := make([]byte, n)
		_, err = io.ReadFull(r, b)
		return b, err
	case 0xcc, 0xcd, 0xce, 0xcf:
		n, err := mpLen(r, 1<<(f-0xcc))
		return uint64(n), err
	case 0xd9, 0xda, 0xdb:
		n, err := mpLen(r, 1<<(f-0xd9))
		if err != nil {
			return nil, err
		}
		return mpReadStr(r, n)
	case 0xdc, 0xdd:
		n, err := mpLen(r, 2<<(f-0xdc))
		if err != nil {
			return nil, err
		}
		return mpReadArray(r, n)
	case 0xde, 0xdf:
		n, err := mpLen(r, 2<<(f-0xde))
		if err != nil {
			return nil, err
		}
		return mpReadMap(r, n)
	}
	return nil, fmt.Errorf("unknown format %#x", f)
}

func mpLen(r *bufio.Reader, size int) (int, error) {
	var b [8]byte
	_, err := io.ReadFull(r, b[8-size:])
	n := binary.BigEndian.Uint64(b[:])
	if err == nil && n > 1<<30 {
		err = errors.New("too long")
	}
	return int(n), err
}

func mpReadStr(r *bufio.Reader, n int) (any, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return string(b), err
}

func mpReadArray(r *bufio.Reader, n int) (any, error) {
	list := make([]any, n)
	for i := range list {
		v, err := mpRead(r)
		if err != nil {
			return nil, err
		}
		list[i] = v
	}
	return list, nil
}

func mpReadMap(r *bufio.Reader, n int) (any, error) {
	m := map[string]any{}
	for range n {
		k, err := mpRead(r)
		if err != nil {
			return nil, err
		}
		v, err := mpRead(r)
		if err != nil {
			return nil, err
		}
		name, _ := k.(string)
		m[name] = v
	}
	return m, nil
}

// RESP arrays of bulk strings.

func respArray(parts ...[]byte) []byte {
	b := []byte("*" + strconv.Itoa(len(parts)) + "\r\n")
	for _, p := range parts {
		b = append(b, "$"+strconv.Itoa(len(p))+"\r\n"...)
		b = append(b, p...)
		b = append(b, "\r\n"...)
	}
	return b
}

func respLen(r *bufio.Reader, mark byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != mark || line[len(line)-2] != '\r' {
		return 0, fmt.Errorf("bad line %q", line)
	}
	n, err := strconv.Atoi(line[1 : len(line)-2])
	if err == nil && (n < 0 || n > 1<<20) {
		err = fmt.Errorf("bad length %d", n)
	}
	return n, err
}

func respRead(r *bufio.Reader) ([][]byte, error) {
	n, err := respLen(r, '*')
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, n)
	for i := range parts {
		size, err := respLen(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		parts[i] = b[:size]
	}
	return parts, nil
}
