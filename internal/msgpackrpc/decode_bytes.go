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

// readLarge reads a large string. It allocates the string once its first bytes have arrived, so that a header alone takes
// little memory. If the shared limit is reached, readLarge discards the string and returns nil.
func (d *decoder) readLarge(n int) ([]byte, error) {
	first := min(n, firstReadSize, d.reader.Size())
	if !d.memory.reserveLarge(first) {
		return nil, d.discard(n)
	}
	if _, err := d.reader.Peek(first); err != nil {
		return nil, unexpectedEOF(err)
	}
	if !d.memory.reserveLarge(n - first) {
		return nil, d.discard(n)
	}
	b := make([]byte, n)
	return b, d.readFull(b)
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
