package handover

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"spantack/internal/testwait"
)

// holdSocket opens a listening socket as a supervisor holds one, and returns descriptors of it: two for processes,
// and the supervisor's own.
func holdSocket(t *testing.T) (addr string, fds [3]int) {
	t.Helper()
	l := testwait.Listen(t)
	defer l.Close()
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for i := range fds {
		if fds[i], err = syscall.Dup(int(f.Fd())); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { syscall.Close(fds[2]) })
	return l.Addr().String(), fds
}

// Two processes accept on one socket; that whoever holds it makes it block keeps neither from ending, and what
// comes after one has ended goes to the other.
func TestSocketMadeToBlock(t *testing.T) {
	addr, fds := holdSocket(t)
	accepted := make(chan net.Conn)
	var ended [2]chan error
	var sockets [2]*Socket
	for i := range sockets {
		s, err := InheritSocket(fds[i])
		if err != nil {
			t.Fatal(err)
		}
		if s.Addr().String() != addr {
			t.Errorf("at %s, not %s", s.Addr(), addr)
		}
		sockets[i] = s
		ended[i] = make(chan error, 1)
		go func() {
			for {
				c, err := s.Accept()
				if err != nil {
					ended[i] <- err
					return
				}
				accepted <- c
			}
		}()
	}
	visit := func() {
		client := testwait.Dial(t, addr)
		server := testwait.Receive(t, accepted, "a connection to be accepted")
		testwait.BoundConn(t, server)
		client.Write([]byte("x"))
		var got [1]byte
		if _, err := server.Read(got[:]); err != nil || got[0] != 'x' {
			t.Errorf("%q, %v", got, err)
		}
		server.Close()
		client.Close()
	}
	for range 50 { // each wakes both, and one comes too late
		if err := syscall.SetNonblock(fds[2], false); err != nil {
			t.Fatal(err)
		}
		visit()
	}
	if err := syscall.SetNonblock(fds[2], false); err != nil {
		t.Fatal(err)
	}
	sockets[0].Close()
	if err := testwait.Receive(t, ended[0], "the end of the first process"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the end: %v", err)
	}
	for range 20 {
		visit()
	}
	sockets[1].Close()
	if err := testwait.Receive(t, ended[1], "the end of the second process"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the end: %v", err)
	}
}

// What is no listening socket is not taken.
func TestInheritNoListeningSocket(t *testing.T) {
	addr, fds := holdSocket(t)
	if _, err := InheritSocket(1 << 20); err == nil {
		t.Error("took a descriptor that is not open")
	}
	c := testwait.Dial(t, addr)
	f, err := c.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := InheritSocket(int(f.Fd())); err == nil {
		t.Error("took a connection")
	}
	for _, fd := range fds[:2] {
		syscall.Close(fd)
	}
}
