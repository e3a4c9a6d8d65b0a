package resp

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"spantack/internal/clock"
)

// ioctlUnsentBytes (Linux: SIOCOUTQNSD) returns the number of bytes in a socket's send queue that have not been sent
// yet, because the peer's receive window is full.
const ioctlUnsentBytes = 0x894b

// sendQueuePollInterval is the time between two checks of a send queue, in milliseconds.
const sendQueuePollInterval = 2

// unsentBytes returns the number of bytes in the send queue that have not been sent yet; 0 if the system can't report
// it.
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

// waitUntilSent waits up to timeout milliseconds until no byte of an attempt is left in the send queue. It returns
// false if some are left: a server that reads again later would then receive the attempt in full, however long ago the
// client left. For an attempt that was not written to the socket in full it returns true at once.
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
