package manage

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Socket is a listening socket that somebody else holds and hands down to one process after another. It differs from a listener of package
// net in one thing: whether a call on it blocks is a property that all holders share, and a supervisor that starts the next
// process may set it at any time. Accept sets it back before each try; else the process could sit in accept, and would not end
// when it is told to.
type Socket struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// Inherit returns the listening socket on a descriptor, which it takes over. Its error is that the descriptor is no such socket.
func Inherit(fd int) (*Socket, error) {
	on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case err != nil:
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	case on == 0:
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	var addr net.TCPAddr
	switch a := name.(type) {
	case *syscall.SockaddrInet4:
		addr = net.TCPAddr{IP: append(net.IP(nil), a.Addr[:]...), Port: a.Port}
	case *syscall.SockaddrInet6:
		addr = net.TCPAddr{IP: append(net.IP(nil), a.Addr[:]...), Port: a.Port}
	default:
		return nil, fmt.Errorf("descriptor %d is no TCP socket", fd)
	}
	syscall.CloseOnExec(fd)
	if err := syscall.SetNonblock(fd, true); err != nil { // first, so that the file waits by the poller
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	s := &Socket{file: os.NewFile(uintptr(fd), "clients"), addr: &addr}
	if s.raw, err = s.file.SyscallConn(); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return s, nil
}

// Accept waits for the next connection. After Close its error is net.ErrClosed.
func (s *Socket) Accept() (net.Conn, error) {
	taken := -1
	var fault error
	err := s.raw.Read(func(fd uintptr) bool {
		if fault = syscall.SetNonblock(int(fd), true); fault != nil {
			return true
		}
		taken, _, fault = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		return fault != syscall.EAGAIN && fault != syscall.EINTR // another process may have been faster
	})
	switch {
	case err != nil && s.closed.Load():
		return nil, fmt.Errorf("accept: %w", net.ErrClosed)
	case err != nil:
		return nil, fmt.Errorf("accept: %w", err)
	case fault != nil:
		return nil, fmt.Errorf("accept: %w", fault)
	}
	file := os.NewFile(uintptr(taken), "client")
	defer file.Close() // the connection has a copy
	return net.FileConn(file)
}

// Close ends Accept here; others that hold the socket go on with it.
func (s *Socket) Close() error {
	s.closed.Store(true)
	return s.file.Close()
}

// Addr is where the socket listens.
func (s *Socket) Addr() net.Addr { return s.addr }
