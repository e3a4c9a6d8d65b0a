package msgpackrpc

import (
	"bufio"
	"errors"
	"fmt"
	"math"
)

// Limits of a message from a client. Lengths are checked before memory is allocated.
const (
	maxStringSize  = 48 << 10 // bytes of a string or body; the body of a write request has at most 48,000 bytes
	maxMessageSize = 64 << 10 // bytes of all strings, bodies and numbers together
	maxItems       = 64       // in an array or map
	maxDepth       = 6        // nesting levels of arrays and maps
)

// MessagePack formats: the first byte of a value. The fix formats hold a small value or length in the lower bits.
const (
	formatFixMap         = 0x80
	formatFixArray       = 0x90
	formatFixString      = 0xa0
	formatNil            = 0xc0
	formatFalse          = 0xc2
	formatTrue           = 0xc3
	formatBinary8        = 0xc4
	formatBinary16       = 0xc5
	formatBinary32       = 0xc6
	formatFloat32        = 0xca
	formatFloat64        = 0xcb
	formatUint8          = 0xcc
	formatUint16         = 0xcd
	formatUint32         = 0xce
	formatUint64         = 0xcf
	formatInt8           = 0xd0
	formatInt16          = 0xd1
	formatInt32          = 0xd2
	formatInt64          = 0xd3
	formatString8        = 0xd9
	formatString16       = 0xda
	formatString32       = 0xdb
	formatArray16        = 0xdc
	formatArray32        = 0xdd
	formatMap16          = 0xde
	formatMap32          = 0xdf
	formatNegativeFixInt = 0xe0
)

// errMalformed is wrapped by all errors about bytes that violate the protocol. Such an error ends the connection.
var errMalformed = errors.New("malformed message")

// decoder decodes one message within limits of its size and memory.
type decoder struct {
	reader    *bufio.Reader
	remaining int // bytes that the strings, bodies and numbers of the rest of the message may have
	maxLength int // limit of a string or body, in bytes
	memory    messageMemory
	number    [8]byte // buffer of readUint
}

// newDecoder returns a decoder of one message. maxSize bounds the bytes of its strings, bodies and numbers together, and
// maxLength those of one. Large strings are also reserved with reserve, unless it is nil.
func newDecoder(reader *bufio.Reader, maxSize, maxLength int, reserve func(n int64) bool) *decoder {
	return &decoder{
		reader:    reader,
		remaining: maxSize,
		maxLength: maxLength,
		memory:    messageMemory{smallValues: maxSmallValues, reserve: reserve},
	}
}

// readMessage reads one MessagePack value: nil, bool, int64, uint64, float64, string, []byte, []any or map[string]any.
// It returns io.EOF if the stream ends between messages, and io.ErrUnexpectedEOF if it ends within a message. A string
// that was not kept (messageMemory.incomplete) is empty. The caller must release the memory.
func (d *decoder) readMessage() (any, error) { return d.readValue(0) }

// readValue reads a value at the nesting level depth, which is 0 for the outermost value.
func (d *decoder) readValue(depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("%w: nested too deeply", errMalformed)
	}
	format, err := d.reader.ReadByte()
	if err != nil {
		if depth > 0 {
			err = unexpectedEOF(err)
		}
		return nil, err
	}
	switch {
	case format < formatFixMap: // positive fixint
		return int64(format), nil
	case format < formatFixArray:
		return d.readMap(int(format&0x0f), depth)
	case format < formatFixString:
		return d.readArray(int(format&0x0f), depth)
	case format < formatNil:
		return d.readString(int(format & 0x1f))
	case format >= formatNegativeFixInt:
		return int64(int8(format)), nil
	}
	return d.readNonFix(format, depth)
}

// readNonFix reads the rest of a value whose format is not a fix format. The formats of a type are consecutive, and the
// size of the number or length doubles from one format to the next.
func (d *decoder) readNonFix(format byte, depth int) (any, error) {
	switch format {
	case formatNil:
		return nil, nil
	case formatFalse, formatTrue:
		return format == formatTrue, nil
	case formatBinary8, formatBinary16, formatBinary32:
		length, err := d.readLength(1 << (format - formatBinary8))
		if err != nil {
			return nil, err
		}
		return d.readBytes(length)
	case formatFloat32:
		bits, err := d.readUint(4)
		return float64(math.Float32frombits(uint32(bits))), err
	case formatFloat64:
		bits, err := d.readUint(8)
		return math.Float64frombits(bits), err
	case formatUint8, formatUint16, formatUint32, formatUint64:
		return d.readUint(1 << (format - formatUint8))
	case formatInt8, formatInt16, formatInt32, formatInt64:
		return d.readInt(1 << (format - formatInt8))
	case formatString8, formatString16, formatString32:
		length, err := d.readLength(1 << (format - formatString8))
		if err != nil {
			return nil, err
		}
		return d.readString(length)
	case formatArray16, formatArray32:
		length, err := d.readLength(2 << (format - formatArray16))
		if err != nil {
			return nil, err
		}
		return d.readArray(length, depth)
	case formatMap16, formatMap32:
		length, err := d.readLength(2 << (format - formatMap16))
		if err != nil {
			return nil, err
		}
		return d.readMap(length, depth)
	}
	return nil, fmt.Errorf("%w: unknown format %#x", errMalformed, format)
}

// readString reads a string of n bytes.
func (d *decoder) readString(n int) (any, error) {
	b, err := d.readBytes(n)
	return string(b), err
}

// readArray reads the n values of an array at the nesting level depth.
func (d *decoder) readArray(n, depth int) (any, error) {
	if n > maxItems {
		return nil, fmt.Errorf("%w: array of %d values exceeds the limit", errMalformed, n)
	}
	if err := d.memory.charge(arrayCost + n*elementCost); err != nil {
		return nil, err
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

// readMap reads the n pairs of a map at the nesting level depth. Its keys must be strings. Of pairs with the same key,
// the last one applies.
func (d *decoder) readMap(n, depth int) (any, error) {
	if n > maxItems {
		return nil, fmt.Errorf("%w: map of %d pairs exceeds the limit", errMalformed, n)
	}
	if err := d.memory.charge(mapCost + n*mapPairCost); err != nil {
		return nil, err
	}
	pairs := make(map[string]any, n)
	for range n {
		key, err := d.readValue(depth + 1)
		if err != nil {
			return nil, err
		}
		name, ok := key.(string)
		if !ok {
			return nil, fmt.Errorf("%w: map key is not a string", errMalformed)
		}
		if pairs[name], err = d.readValue(depth + 1); err != nil {
			return nil, err
		}
	}
	return pairs, nil
}

// asUint64 converts an integer that a decoder returned. ok is false if v is not an integer or is negative.
func asUint64(v any) (n uint64, ok bool) {
	switch n := v.(type) {
	case uint64:
		return n, true
	case int64:
		return uint64(n), n >= 0
	}
	return 0, false
}
