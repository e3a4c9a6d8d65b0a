package msgpackrpc

import "fmt"

// Limits of the heap memory of one message while it is decoded, in bytes.
const (
	// maxSmallValues bounds the estimated memory of a message without its large strings. It allows a map of 64 pairs of
	// short strings.
	maxSmallValues = 16 << 10
	// maxSmallString is the maximum length of a string or body that counts as a small value. Longer ones are large
	// strings.
	maxSmallString = 1 << 10
)

// Estimated heap memory of values, in bytes. The estimates are upper bounds of what Go allocates.
const (
	stringCost    = 32  // besides the bytes of the string
	arrayCost     = 32  // besides the elements
	elementCost   = 32  // of an array: an interface value and a number
	mapCost       = 352 // with the first group of slots
	mapPairCost   = 96  // slots of a pair, including unused slots
	firstReadSize = readBufferSize
)

// messageMemory accounts for the memory of one message while it is decoded. Small values are bounded for each message
// by maxSmallValues. Large strings are also reserved from a limit that all messages share, as their bytes arrive.
//
// The messages that a server is receiving thus hold at most maxSmallValues for each connection, plus the part of
// Server.MaxQueuedBytes that open requests and unwritten responses leave.
type messageMemory struct {
	smallValues int                // bytes that further small values may use
	reserve     func(n int64) bool // reserves bytes of the shared limit, or releases -n; nil: there is no shared limit
	reserved    int64              // bytes of the shared limit
	// incomplete is true if a large string was read but not kept, since the shared limit was reached.
	incomplete bool
}

// charge accounts for small values of n bytes. The error wraps errMalformed.
func (m *messageMemory) charge(n int) error {
	if n > m.smallValues {
		return fmt.Errorf("%w: its values exceed %d bytes of memory", errMalformed, maxSmallValues)
	}
	m.smallValues -= n
	return nil
}

// reserveLarge reserves n bytes for a large string and reports whether they were available.
func (m *messageMemory) reserveLarge(n int) bool {
	if m.reserve == nil {
		return true
	}
	if !m.reserve(int64(n)) {
		m.incomplete = true
		return false
	}
	m.reserved += int64(n)
	return true
}

// release releases the reserved bytes. A request reserves its body again when it is registered.
func (m *messageMemory) release() {
	if m.reserved > 0 {
		m.reserve(-m.reserved)
		m.reserved = 0
	}
}
