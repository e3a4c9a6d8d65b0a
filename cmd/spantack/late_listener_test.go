package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// fullListener returns the address of a listener with a full backlog: until open is called, the kernel drops further
// SYNs, as on an overloaded machine. open removes the connections that fill the backlog from it, and returns the
// listener.
func fullListener(t *testing.T) (addr string, open func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "full")
	defer f.Close()
	bindErr := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err := errors.Join(bindErr, syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	addr = l.Addr().String()
	for range 8 { // the first ones fit into the backlog; a timeout shows that it is full
		nc, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr, func() net.Listener {
				for {
					nc := testwait.Accept(t, l, "a connection dialled before the listener opened")
					if _, err := nc.Read(make([]byte, 1)); err != nil { // opened here to fill the backlog
						nc.Close()
						return l
					}
				}
			}
		}
		nc.Close()
	}
	t.Fatal("the backlog does not fill up")
	return "", nil
}

// lateListener is a listener at which connections are established only after a call of startListening.
type lateListener struct {
	addr net.Addr
	open func() net.Listener

	up     chan struct{} // closed once inner is set
	closed chan struct{}
	once   sync.Once
	inner  net.Listener
}

type textAddr string

func (a textAddr) Network() string { return "tcp" }

func (a textAddr) String() string { return string(a) }

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	addr, open := fullListener(t)
	return &lateListener{addr: textAddr(addr), open: open, up: make(chan struct{}), closed: make(chan struct{})}
}

// startListening empties the backlog and raises its limit, so that all waiting connections can be established.
func (l *lateListener) startListening(t *testing.T) {
	t.Helper()
	l.inner = l.open()
	raw, err := l.inner.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { syscall.Listen(int(fd), syscall.SOMAXCONN) }); err != nil {
		t.Fatal(err)
	}
	close(l.up)
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	select {
	case <-l.up:
		return l.inner.Accept()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	select {
	case <-l.up:
		return l.inner.Close()
	default:
		return nil
	}
}

// Addr implements net.Listener.
func (l *lateListener) Addr() net.Addr { return l.addr }
