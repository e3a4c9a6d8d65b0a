package resp

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"spantack/internal/clock"
)

// ioctlUnsentBytes (SIOCOUTQNSD) asks for the bytes in a socket's send queue that were never sent, because the peer's window is full.
const ioctlUnsentBytes = 0x894b

// sendQueuePollInterval is how often a send queue is looked at, in milliseconds.
const sendQueuePollInterval = 2

// unsentBytes is how many bytes wait in the send queue; 0 where the system does not tell.
func unsentBytes(conn net.Conn) int64 {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var waiting int32
	var failed syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, failed = syscall.Syscall(syscall.SYS_IOCTL, fd, ioctlUnsentBytes, uintptr(unsafe.Pointer(&waiting)))
	})
	if err != nil || failed != 0 {
		return 0
	}
	return int64(waiting)
}

// waitUntilSent tells whether all of an attempt leaves the send queue within ms milliseconds. What waits there for a server that does not read would
// come whole to it later, however long ago its client has left.
func (c *conn) waitUntilSent(k *pendingAttempt, ms float64) bool {
	p := c.pool.pools
	for begin := time.Now(); ; time.Sleep(clock.Duration(sendQueuePollInterval)) {
		waiting := unsentBytes(c.netConn)
		p.mu.Lock()
		sent := !k.fullyWritten || c.bytesWritten-waiting >= k.endOffset
		p.mu.Unlock()
		if sent || time.Since(begin) > clock.Duration(ms) {
			return sent
		}
	}
}

// abort closes the connection and throws away what waits in its send queue. Pools.mu is held.
func (c *conn) abort() {
	if t, ok := c.netConn.(*net.TCPConn); ok && !c.closed {
		t.SetLinger(0)
	}
	c.close()
}
