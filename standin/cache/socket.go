package cache

import (
	"context"
	"net"
	"syscall"
)

// Sizes in bytes of connections with small buffers. They keep what such a connection takes unread, on both sides
// together, under 32 KB: a longer command blocks in the middle of its write until the server reads.
const (
	smallReceiveBuffer = 1 << 10
	smallSegment       = 536
)

// socketOption is an option of a socket with an integer for value.
type socketOption struct{ level, name, value int }

// smallBufferOptions are those of a listener, which connections take over from it.
var smallBufferOptions = []socketOption{
	{syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer},
	{syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegment},
}

// listen opens the listener of a server.
func listen(addr string, smallBuffers bool) (net.Listener, error) {
	var config net.ListenConfig
	if smallBuffers {
		config.Control = func(_, _ string, rawConn syscall.RawConn) error {
			return setSocketOptions(rawConn, smallBufferOptions...)
		}
	}
	return config.Listen(context.Background(), "tcp", addr)
}

// setSocketOptions sets options up to the first that the system refuses.
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
