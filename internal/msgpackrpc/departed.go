package msgpackrpc

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of the wait in clientDeparted for a reader that has not yet read the available input: at most maxSocketPeeks
// times socketPeekInterval. A reader blocks only on its client, so it has usually caught up after the first interval.
// It may not have caught up if bytes arrive faster than it reads them, or if the process gets no CPU time during the
// intervals.
const (
	maxSocketPeeks     = 50
	socketPeekInterval = 200 * time.Microsecond
)

// socketState describes the unread input of a client's socket.
type socketState int

// The states of a socket.
const (
	socketEmpty socketState = iota
	socketHasData
	socketClosed // closed, half-closed or reset by the client
)

// clientDeparted reports whether the client of a request has disconnected or canceled the request. It detects a
// departure even before the connection's reader has run. On a router that is short of CPU time, the response of a
// server and the end of the client's stream may both be readable before any goroutine reads them. They are then read in
// either order. ctx is the context of the request. The call may block for some milliseconds.
func (c *conn) clientDeparted(ctx context.Context) bool {
	for range maxSocketPeeks {
		if ctx.Err() != nil {
			return true
		}
		switch c.peekSocket() {
		case socketEmpty:
			return ctx.Err() != nil // the reader may have handled a cancel in the meantime
		case socketClosed:
			return true
		}
		time.Sleep(socketPeekInterval) // a cancel or the end of the stream may follow these bytes
	}
	return ctx.Err() != nil
}

// peekSocket returns the state of the socket without consuming input. A client that has closed its side has left even if
// bytes are unread before the end of the stream: it gets no response to them. If the connection is not a socket,
// peekSocket returns socketEmpty, and the reader detects a disconnect.
func (c *conn) peekSocket() socketState {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return socketEmpty
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return socketEmpty
	}
	state := socketEmpty
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0 && hasEnded(fd):
			state = socketClosed
		case n > 0:
			state = socketHasData
		case err == nil, err == syscall.ECONNRESET, err == syscall.EPIPE, err == syscall.ETIMEDOUT:
			state = socketClosed
		}
	})
	if err != nil { // this process has closed the connection, so the client can't get a response
		return socketClosed
	}
	return state
}

// hasEnded reports whether the end of the stream has arrived at a socket, behind whatever bytes are unread. It returns
// false if the system can't tell; the end is then found once all bytes have been read.
func hasEnded(fd uintptr) bool {
	sockets := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(sockets, 0)
	return err == nil && ready > 0 && sockets[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0
}
