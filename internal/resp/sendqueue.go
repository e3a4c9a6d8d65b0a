package resp

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"spantack/internal/clock"
)

// ioctlUnsentBytes (Linux: SIOCOUTQNSD) asks for the number of bytes in a socket's send queue that were never sent,
// because the peer's receive window is full.
const ioctlUnsentBytes = 0x894b

// sendQueuePollInterval is the time between two looks at a send queue, in milliseconds.
const sendQueuePollInterval = 2

// unsentBytes is the number of bytes in the send queue that were never sent; 0 if the system does not tell.
func unsentBytes(conn net.Conn) int64 {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var unsent int32
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, ioctlUnsentBytes, uintptr(unsafe.Pointer(&unsent)))
	})
	if err != nil || errno != 0 {
		return 0
	}
	return int64(unsent)
}

// waitUntilSent reports whether all of an attempt leaves the send queue within timeout milliseconds. What stays there
// for a server that does not read would reach it later in full, however long ago its client left.
func (c *conn) waitUntilSent(a *pendingAttempt, timeout float64) bool {
	pools := c.pools()
	startedAt := time.Now()
	for {
		unsent := unsentBytes(c.netConn)
		pools.mu.Lock()
		isSent := !a.fullyWritten || c.bytesWritten-unsent >= a.endOffset
		pools.mu.Unlock()
		if isSent || time.Since(startedAt) > clock.Duration(timeout) {
			return isSent
		}
		time.Sleep(clock.Duration(sendQueuePollInterval))
	}
}
