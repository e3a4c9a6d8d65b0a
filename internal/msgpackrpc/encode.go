package msgpackrpc

import (
	"encoding/binary"
	"math"
)

// fixStringLimit is the smallest string length, in bytes, that does not fit the fixstr format.
const fixStringLimit = 32

// appendArrayHeader appends the header of an array of n values, at most 15.
func appendArrayHeader(buf []byte, n int) []byte { return append(buf, formatFixArray|byte(n)) }

// appendNil appends the value nil.
func appendNil(buf []byte) []byte { return append(buf, formatNil) }

// appendBool appends a boolean.
func appendBool(buf []byte, v bool) []byte {
	if v {
		return append(buf, formatTrue)
	}
	return append(buf, formatFalse)
}

// appendUint appends an unsigned integer in its shortest format.
func appendUint(buf []byte, v uint64) []byte {
	switch {
	case v < formatFixMap: // fits the positive fixint format, whose bytes are below those of the fixmap format
		return append(buf, byte(v))
	case v <= math.MaxUint8:
		return append(buf, formatUint8, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(buf, formatUint16), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(buf, formatUint32), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(buf, formatUint64), v)
}

// appendString appends a string of up to 65,535 bytes.
func appendString(buf []byte, s string) []byte {
	if len(s) < fixStringLimit {
		buf = append(buf, formatFixString|byte(len(s)))
	} else {
		buf = binary.BigEndian.AppendUint16(append(buf, formatString16), uint16(len(s)))
	}
	return append(buf, s...)
}

// appendBinaryHeader appends the header of a binary value of n bytes.
func appendBinaryHeader(buf []byte, n int) []byte {
	if n <= math.MaxUint8 {
		return append(buf, formatBinary8, byte(n))
	}
	return binary.BigEndian.AppendUint32(append(buf, formatBinary32), uint32(n))
}

// appendFields appends a map of at most 15 strings to strings; pairs holds alternating names and values.
func appendFields(buf []byte, pairs ...string) []byte {
	buf = append(buf, formatFixMap|byte(len(pairs)/2))
	for _, s := range pairs {
		buf = appendString(buf, s)
	}
	return buf
}
