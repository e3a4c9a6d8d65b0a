package resp

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"spantack/internal/clock"
)

// ioctlNotSent (SIOCOUTQNSD) asks for the bytes in a socket's send queue that were never sent, because the peer's window is full.
const ioctlNotSent = 0x894b

// queueLook is how often a send queue is looked at, in milliseconds.
const queueLook = 2

// notSent is how many bytes wait in the send queue; 0 where the system does not tell.
func notSent(conn net.Conn) int64 {
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
		_, _, failed = syscall.Syscall(syscall.SYS_IOCTL, fd, ioctlNotSent, uintptr(unsafe.Pointer(&waiting)))
	})
	if err != nil || failed != 0 {
		return 0
	}
	return int64(waiting)
}

// sentWithin tells whether all of an attempt leaves the send queue within ms milliseconds. What waits there for a server that does not read would
// come whole to it later, however long ago its client has left.
func (c *conn) sentWithin(k *call, ms float64) bool {
	p := c.pool.owner
	for begin := time.Now(); ; time.Sleep(clock.Duration(queueLook)) {
		waiting := notSent(c.net)
		p.mu.Lock()
		sent := !k.fullyWritten || c.bytesWritten-waiting >= k.endsAt
		p.mu.Unlock()
		if sent || time.Since(begin) > clock.Duration(ms) {
			return sent
		}
	}
}

// abort closes the connection and throws away what waits in its send queue. Pools.mu is held.
func (c *conn) abort() {
	if t, ok := c.net.(*net.TCPConn); ok && !c.closed {
		t.SetLinger(0)
	}
	c.close()
}
