package msgpackrpc

import (
	"encoding/binary"
	"fmt"
	"io"
)

// readBytes reads a string or body of n bytes, if the limits allow that many.
func (d *decoder) readBytes(n int) ([]byte, error) {
	if err := d.takeBytes(n); err != nil {
		return nil, err
	}
	if n > maxSmallString {
		return d.readLarge(n)
	}
	if err := d.memory.charge(stringCost + n); err != nil {
		return nil, err
	}
	b := make([]byte, n)
	return b, d.readFull(b)
}

// readLarge reads a large string. Its buffer grows with the bytes that arrive, so that a header alone takes little
// memory. If the shared limit is reached, readLarge discards the string and returns nil.
func (d *decoder) readLarge(n int) ([]byte, error) {
	var b []byte
	for len(b) < n {
		size := min(max(2*len(b), firstReadSize), n)
		if !d.memory.reserveLarge(size - len(b)) {
			return nil, d.discard(n - len(b))
		}
		grown := make([]byte, size)
		unread := grown[copy(grown, b):]
		b = grown
		if err := d.readFull(unread); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// takeBytes subtracts n bytes from the rest of the message, or returns an error if it allows fewer.
func (d *decoder) takeBytes(n int) error {
	if n > d.maxLength || n > d.remaining {
		return fmt.Errorf("%w: %d bytes exceed the size limit", errMalformed, n)
	}
	d.remaining -= n
	return nil
}

// readFull fills b. The end of the stream is unexpected, also before the first byte.
func (d *decoder) readFull(b []byte) error {
	_, err := io.ReadFull(d.reader, b)
	return unexpectedEOF(err)
}

// discard reads n bytes without keeping them.
func (d *decoder) discard(n int) error {
	_, err := d.reader.Discard(n)
	return unexpectedEOF(err)
}

// unexpectedEOF converts io.EOF within a message to io.ErrUnexpectedEOF, and returns other errors unchanged.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readUint reads a big-endian unsigned integer of n bytes.
func (d *decoder) readUint(n int) (uint64, error) {
	if err := d.takeBytes(n); err != nil {
		return 0, err
	}
	d.number = [8]byte{}
	err := d.readFull(d.number[8-n:])
	return binary.BigEndian.Uint64(d.number[:]), err
}

// readInt reads a big-endian signed integer of n bytes.
func (d *decoder) readInt(n int) (int64, error) {
	v, err := d.readUint(n)
	shift := 64 - 8*n
	return int64(v<<shift) >> shift, err
}

// readLength reads a length that is encoded in n bytes, and rejects lengths above maxLength.
func (d *decoder) readLength(n int) (int, error) {
	length, err := d.readUint(n)
	if length > uint64(d.maxLength) {
		return 0, fmt.Errorf("%w: length %d exceeds the limit", errMalformed, length)
	}
	return int(length), err
}
