package cache

import (
	"context"
	"net"
	"syscall"
)

// Sizes in bytes for connections with small buffers. With these sizes, the buffers of both sides together hold less
// than 32 KB of unread data. As a result, the write of a command of 32 KB or more blocks until the server reads.
const (
	smallReceiveBuffer = 1 << 10
	smallSegment       = 536
)

// socketOption is a socket option with an integer value.
type socketOption struct{ level, name, value int }

// smallBufferOptions are set on a listener; accepted connections inherit them.
var smallBufferOptions = []socketOption{
	{syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer},
	{syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegment},
}

// listen opens a TCP listener, with smallBufferOptions if smallBuffers is true.
func listen(addr string, smallBuffers bool) (net.Listener, error) {
	var config net.ListenConfig
	if smallBuffers {
		config.Control = func(_, _ string, rawConn syscall.RawConn) error {
			return setSocketOptions(rawConn, smallBufferOptions...)
		}
	}
	return config.Listen(context.Background(), "tcp", addr)
}

// setSocketOptions sets options in order. It stops at the first option that the system rejects and returns the error.
func setSocketOptions(rawConn syscall.RawConn, options ...socketOption) error {
	var setError error
	err := rawConn.Control(func(fd uintptr) {
		for _, option := range options {
			setError = syscall.SetsockoptInt(int(fd), option.level, option.name, option.value)
			if setError != nil {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return setError
}
