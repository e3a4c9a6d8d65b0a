package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Bounds of an array, in bytes unless noted. Lengths are checked before anything is allocated.
const (
	// MaxBodySize is the maximum length of a response body; an object has at most 240,000 bytes.
	MaxBodySize = 256 << 10

	maxArrayLength = 8       // number of strings in an array
	maxStringSize  = 4 << 10 // of any string other than the body
	maxLengthLine  = 16      // of a line such as "$12\r\n"
	bodyIndex      = 3       // index of the body, both in commands and in responses
)

// Each array and each string in it begins with a line that holds one of these type bytes and a length.
const (
	arrayType  = '*'
	stringType = '$'

	lineEnd = "\r\n" // ends such a line, and the bytes of a string
)

// errMalformed is wrapped by the error for every message that violates the protocol.
var errMalformed = errors.New("malformed message")

// ReadArray reads one array of bulk strings: a command or a response. Lengths are checked before anything is allocated.
// It returns io.EOF if the stream ends between arrays, and io.ErrUnexpectedEOF if it ends within one.
func ReadArray(in *bufio.Reader) ([][]byte, error) {
	return readArray(in, newString)
}

// readArray is ReadArray with a function that returns a buffer for a body, whose length has been checked. An error of
// that function is returned as it is.
func readArray(in *bufio.Reader, newBody func(size int) ([]byte, error)) ([][]byte, error) {
	length, err := readLength(in, arrayType, maxArrayLength)
	if err != nil {
		return nil, err
	}
	parts := make([][]byte, length)
	for i := range parts {
		if i == bodyIndex {
			parts[i], err = readString(in, MaxBodySize, newBody)
		} else {
			parts[i], err = readString(in, maxStringSize, newString)
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	return parts, nil
}

// newString returns a new buffer for a string.
func newString(size int) ([]byte, error) { return make([]byte, size), nil }

// readString reads one bulk string of at most limit bytes into a buffer that newBuffer returns.
func readString(in *bufio.Reader, limit int, newBuffer func(size int) ([]byte, error)) ([]byte, error) {
	size, err := readLength(in, stringType, limit)
	if err != nil {
		return nil, err
	}
	text, err := newBuffer(size)
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(in, text); err != nil {
		return nil, err
	}
	return text, readLineEnd(in)
}

// readLineEnd reads the end of a bulk string.
func readLineEnd(in *bufio.Reader) error {
	for i := range len(lineEnd) {
		next, err := in.ReadByte()
		if err != nil {
			return unexpectedEOF(err)
		}
		if next != lineEnd[i] {
			return fmt.Errorf("%w: bulk string not terminated by CRLF", errMalformed)
		}
	}
	return nil
}

// unexpectedEOF converts io.EOF within an array to io.ErrUnexpectedEOF; other errors are returned unchanged.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLength reads a line that holds a type byte and a length, such as "$12\r\n", and returns the length, which is at
// most limit.
func readLength(in *bufio.Reader, typeByte byte, limit int) (int, error) {
	var line [maxLengthLine]byte
	for i := range line {
		next, err := in.ReadByte()
		if err != nil {
			if i > 0 {
				err = unexpectedEOF(err)
			}
			return 0, err
		}
		line[i] = next
		if next != '\n' {
			continue
		}
		if length, ok := parseLength(line[:i+1], typeByte); ok && length <= limit {
			return length, nil
		}
		break
	}
	return 0, fmt.Errorf("%w: no valid length after %q", errMalformed, typeByte)
}

// parseLength parses a complete line that holds a type byte and a length; ok is false if the line is anything else.
func parseLength(line []byte, typeByte byte) (length int, ok bool) {
	digitsEnd := len(line) - len(lineEnd)
	if digitsEnd < 2 || line[0] != typeByte || line[digitsEnd] != '\r' {
		return 0, false
	}
	number, err := strconv.ParseUint(string(line[1:digitsEnd]), 10, 31)
	return int(number), err == nil
}

// AppendArray appends an array of bulk strings to buf.
func AppendArray(buf []byte, parts ...[]byte) []byte {
	buf = appendLength(buf, arrayType, len(parts))
	for _, part := range parts {
		buf = appendLength(buf, stringType, len(part))
		buf = append(buf, part...)
		buf = append(buf, lineEnd...)
	}
	return buf
}

// appendLength appends the line that holds a type byte and a length.
func appendLength(buf []byte, typeByte byte, length int) []byte {
	buf = append(buf, typeByte)
	buf = strconv.AppendInt(buf, int64(length), 10)
	return append(buf, lineEnd...)
}
