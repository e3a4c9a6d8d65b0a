package testwait

import (
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/loopback"
)

// Listen opens a listener at an address that no other process is given, so that nobody else connects to it, and
// closes it when the test ends.
func Listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", loopback.FreeAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// Accept returns the next connection to l, which is a TCP listener or wraps one. Its reads and writes are bounded,
// and it is closed when the test ends.
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

// maxSilentConns is how many connections in a row AcceptHello passes over.
const maxSilentConns = 20

// AcceptHello returns the next connection to l on which the other side first writes hello. It passes over those
// that end before a byte has come: a dialler that got no CPU in time gives up a connection that the system has
// made.
func AcceptHello(t testing.TB, l net.Listener, hello, what string) net.Conn {
	t.Helper()
	received := make([]byte, len(hello))
	for range maxSilentConns {
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
	t.Fatalf("%d connections of %s ended without a byte", maxSilentConns, what)
	panic("unreachable")
}

// Dial connects to a TCP address. Reads and writes on the connection are bounded, and it is closed when the test ends.
func Dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, Limit)
	if err != nil {
		t.Fatal(err)
	}
	BoundConn(t, conn)
	return conn.(*net.TCPConn)
}

// BoundConn bounds all reads and writes on conn by ConnLimit, after which they fail with a timeout, and closes it
// when the test ends.
func BoundConn(t testing.TB, conn net.Conn) {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(ConnLimit)); err != nil {
		t.Fatal(err)
	}
}
