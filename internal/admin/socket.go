package admin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Socket is a listening socket that a supervisor holds and passes to one process after another. Unlike a listener of package net it does not
// rely on the descriptor's non-blocking mode, which all holders share and a supervisor that starts the next process may clear at any time:
// Accept sets the mode again before each attempt. Otherwise the process could block in accept and not end when it is told to.
type Socket struct {
	file   *os.File
	raw    syscall.RawConn
	addr   net.Addr
	closed atomic.Bool
}

// InheritSocket returns the listening socket on a descriptor, which it takes over. Its error is that the descriptor is no such socket.
func InheritSocket(fd int) (*Socket, error) {
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
	if err := syscall.SetNonblock(fd, true); err != nil { // before NewFile, so that the file uses the runtime's poller
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
	accepted := -1
	var acceptErr error
	err := s.raw.Read(func(fd uintptr) bool {
		if acceptErr = syscall.SetNonblock(int(fd), true); acceptErr != nil {
			return true
		}
		accepted, _, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		return acceptErr != syscall.EAGAIN && acceptErr != syscall.EINTR // another process may have been faster
	})
	switch {
	case err != nil && s.closed.Load():
		return nil, fmt.Errorf("accept: %w", net.ErrClosed)
	case err != nil:
		return nil, fmt.Errorf("accept: %w", err)
	case acceptErr != nil:
		return nil, fmt.Errorf("accept: %w", acceptErr)
	}
	file := os.NewFile(uintptr(accepted), "client")
	defer file.Close() // FileConn duplicates the descriptor
	return net.FileConn(file)
}

// Close ends Accept in this process; other holders of the socket are not affected.
func (s *Socket) Close() error {
	s.closed.Store(true)
	return s.file.Close()
}

// Addr returns the address that the socket listens on.
func (s *Socket) Addr() net.Addr { return s.addr }
