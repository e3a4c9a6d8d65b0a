// Package sendqueue reports what is left in the send queue of a socket. Only Linux reports it.
package sendqueue

import (
	"net"
	"syscall"
	"unsafe"
)

// ioctlUnsent (Linux: SIOCOUTQNSD) returns the number of bytes in a socket's send queue that have not been sent yet.
const ioctlUnsent = 0x894b

// Unsent returns the number of bytes that were written to conn and not sent yet, because the peer's receive window is
// full; 0 if the system can't report it. If the peer sends anything after conn was closed, the system discards them.
func Unsent(conn net.Conn) int64 {
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
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, ioctlUnsent, uintptr(unsafe.Pointer(&count)))
	})
	if err != nil || errno != 0 {
		return 0
	}
	return int64(count)
}
