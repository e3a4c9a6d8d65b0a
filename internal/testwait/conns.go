package testwait

import (
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/loopback"
)

// Listen opens a TCP listener and closes it when the test ends. Its address is derived from the process ID.
// Therefore no other test process uses the address, and only this test connects to it.
func Listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", loopback.FreeAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// Accept returns the next connection to l, which is a TCP listener or wraps one. The connection has a deadline of
// ConnLimit and is closed when the test ends (BoundConn). what names the connection in failures.
func Accept(t testing.TB, l net.Listener, what string) net.Conn {
	t.Helper()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result, 1)
	go func() {
		conn, err := l.Accept()
		results <- result{conn, err}
	}()
	accepted := Receive(t, results, what)
	if accepted.err != nil {
		t.Fatalf("accept of %s: %v", what, accepted.err)
	}
	BoundConn(t, accepted.conn)
	return accepted.conn
}

// maxEmptyConns is the number of connections closed without any data after which AcceptHello fails the test.
const maxEmptyConns = 20

// AcceptHello returns the next connection to l on which the peer first writes hello. It skips connections that end
// before the first byte, because a client that is starved of CPU may time out and close a connection that the kernel
// has already established.
func AcceptHello(t testing.TB, l net.Listener, hello, what string) net.Conn {
	t.Helper()
	received := make([]byte, len(hello))
	for range maxEmptyConns {
		conn := Accept(t, l, what)
		n, err := io.ReadFull(conn, received)
		if n == 0 && err == io.EOF {
			conn.Close()
			continue
		}
		if err != nil || string(received) != hello {
			t.Fatalf("%s wrote %q (%v), want %q", what, received[:n], err, hello)
		}
		return conn
	}
	t.Fatalf("%d connections of %s ended without any data", maxEmptyConns, what)
	panic("unreachable")
}

// Dial connects to a TCP address, within Limit. The connection has a deadline of ConnLimit and is closed when the test
// ends (BoundConn).
func Dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, Limit)
	if err != nil {
		t.Fatal(err)
	}
	BoundConn(t, conn)
	return conn.(*net.TCPConn)
}

// BoundConn sets a deadline of ConnLimit from now, after which all reads and writes on conn fail with a timeout. It
// closes conn when the test ends.
func BoundConn(t testing.TB, conn net.Conn) {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(ConnLimit)); err != nil {
		t.Fatal(err)
	}
}
