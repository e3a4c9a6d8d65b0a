package handover

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"spantack/internal/testwait"
)

// openSharedSocket opens a listening socket as a supervisor does, and returns three descriptors of it: two for
// processes, and the supervisor's own.
func openSharedSocket(t *testing.T) (addr string, fds [3]int) {
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

// Two processes accept on one socket while a third holder sets it to blocking mode. Close must still end Accept in
// either process, and later connections must go to the process that still accepts.
func TestCloseEndsAcceptOnBlockingSocket(t *testing.T) {
	addr, fds := openSharedSocket(t)
	accepted := make(chan net.Conn)
	var ended [2]chan error
	var sockets [2]*Socket
	for i := range sockets {
		s, err := InheritSocket(fds[i])
		if err != nil {
			t.Fatal(err)
		}
		if s.Addr().String() != addr {
			t.Errorf("address %s, want %s", s.Addr(), addr)
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
	exchangeByte := func() {
		client := testwait.Dial(t, addr)
		server := testwait.Receive(t, accepted, "a connection to be accepted")
		testwait.BoundConn(t, server)
		client.Write([]byte("x"))
		var got [1]byte
		if _, err := server.Read(got[:]); err != nil || got[0] != 'x' {
			t.Errorf("read %q, error %v", got, err)
		}
		server.Close()
		client.Close()
	}
	for range 50 { // both Accepts wake for each connection, and one finds none
		if err := syscall.SetNonblock(fds[2], false); err != nil {
			t.Fatal(err)
		}
		exchangeByte()
	}
	if err := syscall.SetNonblock(fds[2], false); err != nil {
		t.Fatal(err)
	}
	sockets[0].Close()
	if err := testwait.Receive(t, ended[0], "Accept to end in the first process"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: %v", err)
	}
	for range 20 {
		exchangeByte()
	}
	sockets[1].Close()
	if err := testwait.Receive(t, ended[1], "Accept to end in the second process"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: %v", err)
	}
}

// A descriptor that is closed or not a listening socket must be rejected.
func TestInheritRejectsOtherDescriptors(t *testing.T) {
	addr, fds := openSharedSocket(t)
	if _, err := InheritSocket(1 << 20); err == nil {
		t.Error("accepted a descriptor that is not open")
	}
	c := testwait.Dial(t, addr)
	f, err := c.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := InheritSocket(int(f.Fd())); err == nil {
		t.Error("accepted a descriptor of a connection")
	}
	for _, fd := range fds[:2] {
		syscall.Close(fd)
	}
}
