// Package sendqueue reports what is left in the send queues of sockets. Only Linux reports it.
package sendqueue

import (
	"net"
	"syscall"
	"unsafe"
)

// Requests of ioctl that return a number of bytes in a socket's send queue.
const (
	ioctlUnacknowledged = 0x5411 // SIOCOUTQ
	ioctlUnsent         = 0x894b // SIOCOUTQNSD
)

// Unacknowledged returns the number of bytes that were written to conn and that the peer's system has not acknowledged;
// 0 if the system can't report it. If the peer sends anything after conn was closed, the system discards these bytes.
func Unacknowledged(conn net.Conn) int64 { return queued(conn, ioctlUnacknowledged) }

// Unsent returns the number of bytes that were written to conn and not sent yet, because the peer's receive window is
// full; 0 if the system can't report it.
func Unsent(conn net.Conn) int64 { return queued(conn, ioctlUnsent) }

// queued returns the result of an ioctl request, or 0 if it fails.
func queued(conn net.Conn, request uintptr) int64 {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var count int32
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, request, uintptr(unsafe.Pointer(&count)))
	})
	if err != nil || errno != 0 {
		return 0
	}
	return int64(count)
}
