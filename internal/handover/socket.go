package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
)

// Errors of InheritSocket besides those of the system.
var (
	errNotListening = errors.New("not a listening socket")
	errNotTCP       = errors.New("not a TCP socket")
)

// Socket is a listening socket that a supervisor holds and passes to one process after another. All holders share the
// descriptor's non-blocking mode, and a supervisor that starts the next process may clear it at any time. Accept
// therefore sets the mode again each time before it calls accept, which a listener of package net does not do.
// Otherwise the process could block in accept and not end when it is stopped.
type Socket struct {
	file     *os.File // owned; Close closes it
	raw      syscall.RawConn
	addr     net.Addr
	isClosed atomic.Bool
}

// InheritSocket returns the listening TCP socket on a descriptor, and takes ownership of the descriptor. It returns an
// error if the descriptor is not such a socket.
func InheritSocket(fd int) (*Socket, error) {
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case err != nil:
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	case listening == 0:
		return nil, fmt.Errorf("descriptor %d: %w", fd, errNotListening)
	}
	addr, err := tcpAddr(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	syscall.CloseOnExec(fd)
	if err := syscall.SetNonblock(fd, true); err != nil { // before NewFile, so that the file uses the runtime's poller
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	s := &Socket{file: os.NewFile(uintptr(fd), "clients"), addr: addr}
	if s.raw, err = s.file.SyscallConn(); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return s, nil
}

// tcpAddr returns the local address of a TCP socket, or errNotTCP.
func tcpAddr(fd int) (*net.TCPAddr, error) {
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	switch a := name.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: slices.Clone(a.Addr[:]), Port: a.Port}, nil
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: slices.Clone(a.Addr[:]), Port: a.Port}, nil
	default:
		return nil, errNotTCP
	}
}

// Accept waits for the next connection and returns it. After Close its error wraps net.ErrClosed.
func (s *Socket) Accept() (net.Conn, error) {
	accepted := -1
	var acceptErr error
	err := s.raw.Read(func(fd uintptr) (isDone bool) {
		if acceptErr = syscall.SetNonblock(int(fd), true); acceptErr != nil {
			return true
		}
		accepted, _, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		return acceptErr != syscall.EAGAIN && acceptErr != syscall.EINTR // another process may have accepted the connection
	})
	switch {
	case err != nil && s.isClosed.Load():
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

// Close closes the socket and ends Accept in this process; other holders of the socket are not affected.
func (s *Socket) Close() error {
	s.isClosed.Store(true)
	return s.file.Close()
}

// Addr returns the address that the socket listens on.
func (s *Socket) Addr() net.Addr { return s.addr }
