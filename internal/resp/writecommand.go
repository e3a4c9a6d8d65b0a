package resp

import (
	"errors"
	"syscall"
)

// errClientDeparted ends a connection on which a command was half written when its client left.
var errClientDeparted = errors.New("the client of a command that is half written has left")

// writeCommand writes a command. Where the connection takes it in parts, it looks before each but the first whether the command's client has left: what
// would come whole to the server only then must not.
func (c *conn) writeCommand(m command) error {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok || m.attempt == nil {
		_, err := c.netConn.Write(m.encoded)
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	rest, first := m.encoded, true
	var failed error
	err = raw.Write(func(fd uintptr) (done bool) {
		for len(rest) > 0 {
			if !first && m.attempt.clientDeparted() {
				failed = errClientDeparted
				return true
			}
			first = false
			n, err := syscall.Write(int(fd), rest)
			switch {
			case err == nil:
				rest = rest[n:]
			case err == syscall.EAGAIN:
				return false
			case err != syscall.EINTR:
				failed = err
				return true
			}
		}
		return true
	})
	if err == nil {
		err = failed
	}
	return err
}

// clientDeparted tells whether the client of an attempt has left.
func (k *pendingAttempt) clientDeparted() bool {
	return k.attempt.ClientDeparted != nil && k.attempt.ClientDeparted()
}
