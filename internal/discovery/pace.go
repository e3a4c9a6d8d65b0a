package discovery

import (
	"bufio"
	"encoding/binary"
	"net"
	"time"

	"spantack/internal/clock"
)

// Limits of a stream that is slow, in milliseconds. What the service tells counts as told after 7 s, also if it is slow.
const (
	// silenceTimeout is the maximum time without a byte; the service sends a frame per second. A frame of which less than
	// half has arrived after this time counts as silent too.
	silenceTimeout = 2500
	// frameTimeout is the maximum time of a frame from its first byte.
	frameTimeout = 2 * silenceTimeout
)

// paceGuard is a connection that gives up a stream that is silent, or too slow to bring its frame within frameTimeout.
type paceGuard struct {
	net.Conn
	lastByteAt time.Time // or the time at which the wait for a frame began

	// Of the frame that is being read; zero between frames.
	startedAt time.Time
	size      int // with its length; 0: not known yet
	received  int // bytes that have arrived, perhaps with some of the next frame
}

// nextFrame reads the next frame from reader, which reads from the guard.
func (g *paceGuard) nextFrame(reader *bufio.Reader, names Names) (frame, error) {
	g.startedAt = time.Time{}
	g.lastByteAt = time.Now()
	if _, err := reader.Peek(1); err != nil {
		return frame{}, err
	}
	g.startedAt = time.Now()
	g.size = 0
	g.received = reader.Buffered()
	if header, err := reader.Peek(lengthSize); err == nil {
		g.size = lengthSize + int(binary.BigEndian.Uint32(header))
	}
	return readFrame(reader, names)
}

// Read implements io.Reader.
func (g *paceGuard) Read(b []byte) (int, error) {
	g.SetReadDeadline(g.deadline())
	n, err := g.Conn.Read(b)
	if n > 0 {
		g.lastByteAt = time.Now()
		g.received += n
	}
	return n, err
}

// deadline returns the time until which the next byte must arrive.
func (g *paceGuard) deadline() time.Time {
	silentAt := g.lastByteAt.Add(clock.Duration(silenceTimeout))
	if g.startedAt.IsZero() {
		return silentAt
	}
	lateAt := g.startedAt.Add(clock.Duration(silenceTimeout))
	if g.size > 0 && 2*g.received >= g.size {
		lateAt = g.startedAt.Add(clock.Duration(frameTimeout))
	}
	if lateAt.Before(silentAt) {
		return lateAt
	}
	return silentAt
}
