// Package testwait bounds the waits of tests. Every wait names what it waits for, so that a test that would hang fails instead and
// says where. The bounds are far above what any wait takes on a machine that is starved of CPU: they end tests that hang, and no
// verdict depends on the machine's speed by way of them.
package testwait

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"spantack/internal/loopback"
)

const (
	// Limit bounds a single wait.
	Limit = 20 * time.Second
	// ConnLimit bounds the use of a connection by a test, which reads and writes on it many times.
	ConnLimit = time.Minute

	pollInterval = 5 * time.Millisecond
)

// Receive returns the next value from c, or the zero value once c is closed.
func Receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	return ReceiveWithin(t, Limit, c, what)
}

// ReceiveWithin is Receive with a bound of its own, for waits that consist of many steps.
func ReceiveWithin[T any](t testing.TB, limit time.Duration, c <-chan T, what string) T {
	t.Helper()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case v := <-c:
		return v
	case <-timer.C:
		t.Fatalf("waited %v for %s", limit, what)
		panic("unreachable")
	}
}

// Send hands v to a receiver of c.
func Send[T any](t testing.TB, c chan<- T, v T, what string) {
	t.Helper()
	timer := time.NewTimer(Limit)
	defer timer.Stop()
	select {
	case c <- v:
	case <-timer.C:
		t.Fatalf("waited %v for a receiver of %s", Limit, what)
	}
}

// WaitGroup waits until all goroutines of g have ended.
func WaitGroup(t testing.TB, g *sync.WaitGroup, what string) {
	t.Helper()
	WaitGroupWithin(t, Limit, g, what)
}

// WaitGroupWithin is WaitGroup with a bound of its own, for goroutines that wait themselves.
func WaitGroupWithin(t testing.TB, limit time.Duration, g *sync.WaitGroup, what string) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		g.Wait()
		close(ended)
	}()
	ReceiveWithin(t, limit, ended, what)
}

// Until polls holds until it returns true.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	UntilWithin(t, Limit, what, holds)
}

// UntilWithin is Until with a bound of its own, for waits that consist of many steps.
func UntilWithin(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for begin := time.Now(); !holds(); time.Sleep(pollInterval) {
		if time.Since(begin) > limit {
			t.Fatalf("waited %v for %s", limit, what)
		}
	}
}

// Listen opens a listener at an address that no other process is given, so that nobody else connects to it, and closes it when the test
// ends.
func Listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", loopback.FreeAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// Accept returns the next connection to l, which is a TCP listener or wraps one. Its reads and writes are bounded, and it is closed
// when the test ends.
func Accept(t testing.TB, l net.Listener, what string) net.Conn {
	t.Helper()
	type accepted struct {
		conn net.Conn
		err  error
	}
	next := make(chan accepted, 1)
	go func() {
		nc, err := l.Accept()
		next <- accepted{nc, err}
	}()
	a := Receive(t, next, what)
	if a.err != nil {
		t.Fatalf("accept of %s: %v", what, a.err)
	}
	BoundConn(t, a.conn)
	return a.conn
}

// maxSilentConns is how many connections in a row AcceptHello passes over.
const maxSilentConns = 20

// AcceptHello returns the next connection to l on which the other side first writes hello. It passes over those that end before a byte has
// come: a dialler that got no CPU in time gives up a connection that the system has made.
func AcceptHello(t testing.TB, l net.Listener, hello, what string) net.Conn {
	t.Helper()
	got := make([]byte, len(hello))
	for range maxSilentConns {
		nc := Accept(t, l, what)
		n, err := io.ReadFull(nc, got)
		if n == 0 && err == io.EOF {
			nc.Close()
			continue
		}
		if err != nil || string(got) != hello {
			t.Fatalf("%s wrote %q (%v), want %q", what, got[:n], err, hello)
		}
		return nc
	}
	t.Fatalf("%d connections of %s ended without a byte", maxSilentConns, what)
	panic("unreachable")
}

// Dial connects to a TCP address. Reads and writes on the connection are bounded, and it is closed when the test ends.
func Dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	nc, err := net.DialTimeout("tcp", addr, Limit)
	if err != nil {
		t.Fatal(err)
	}
	BoundConn(t, nc)
	return nc.(*net.TCPConn)
}

// BoundConn bounds all reads and writes on nc, which fail with a time-out then, and closes it when the test ends.
func BoundConn(t testing.TB, nc net.Conn) {
	t.Helper()
	t.Cleanup(func() { nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(ConnLimit)); err != nil {
		t.Fatal(err)
	}
}
