package resp

import (
	"errors"
	"syscall"
)

// errDeparted ends a connection on which a command was half written when its client left.
var errDeparted = errors.New("the client of a command that is half written has left")

// writeCommand writes a command. Where the connection takes it in parts, it looks before each but the first whether the command's client has left: what
// would come whole to the server only then must not.
func (c *conn) writeCommand(m command) error {
	socket, ok := c.net.(syscall.Conn)
	if !ok || m.call == nil {
		_, err := c.net.Write(m.text)
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	rest, first := m.text, true
	var failed error
	err = raw.Write(func(fd uintptr) (done bool) {
		for len(rest) > 0 {
			if !first && m.call.departed() {
				failed = errDeparted
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

// departed tells whether the client of an attempt has left.
func (k *call) departed() bool {
	return k.attempt.ClientDeparted != nil && k.attempt.ClientDeparted()
}
