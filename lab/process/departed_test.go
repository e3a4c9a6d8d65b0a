package process

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"spantack/internal/testwait"
)

const (
	// departedGrace is the time after which no attempt of a client that has left may begin.
	departedGrace = 100 * time.Millisecond
	// freezeTime is how long a router does not run. It is longer than departedGrace.
	freezeTime = 300 * time.Millisecond
	// settleTime is the time in which a router handles what it finds after a freeze.
	settleTime = 500 * time.Millisecond
)

// unreadDeparture is a way in which a client leaves while the router has not read all that it has sent.
type unreadDeparture struct {
	name string
	tail string // written after the whole requests
	end  func(*net.TCPConn)
}

var unreadDepartures = []unreadDeparture{
	{"close", "", func(c *net.TCPConn) { c.Close() }},
	{"reset", "", func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}},
	{"half-close", "", func(c *net.TCPConn) { c.CloseWrite() }},
	{"close within a message", messageHead(1 << 20), func(c *net.TCPConn) { c.Close() }},
}

// Guards against requests that are sent on for a client that has left with much unread: the router does not run while the
// client sends hundreds of requests and leaves. When it runs again it finds them all, with the end of the stream behind
// them. The requests of another client, which stays, must be served.
func TestNothingIsSentForClientsThatLeftMuchUnread(t *testing.T) {
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 4, ResponseDelay: 5 * time.Millisecond})
	for number, departure := range unreadDepartures {
		for _, bodySize := range []int{0, 4000} {
			t.Run(fmt.Sprintf("%s/%d bytes", departure.name, bodySize), func(t *testing.T) {
				firstHalf := int64(0x1ead0000 + bodySize + number) // different in each subtest
				leftAt := leaveWhileFrozen(t, d, departure, firstHalf, bodySize)
				waitUntil(t, "another client to be served", func() bool { return serveOne(t, d.Routers[0]) })
				time.Sleep(settleTime)
				early, late := countRequests(d, fmt.Sprintf("%08x", firstHalf), leftAt.Add(departedGrace))
				if late > 0 {
					t.Errorf("%d requests of a client that has left were sent to caches", late)
				}
				t.Logf("%d requests were sent before the client had left", early)
			})
		}
	}
}

// leaveWhileFrozen freezes the router while a client sends requests and leaves, and returns when it left. The ids of the
// requests begin with firstHalf. The router may handle some of them before the signal has stopped all of its threads.
func leaveWhileFrozen(
	t *testing.T, d *Deployment, departure unreadDeparture, firstHalf int64, bodySize int,
) (leftAt time.Time) {
	t.Helper()
	conn, err := net.Dial("tcp", d.Routers[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := conn.(*net.TCPConn)
	askHealthOf(t, client)
	signal(t, d.Routers[0], syscall.SIGSTOP)
	writeRequests(t, client, firstHalf, bodySize)
	io.WriteString(client, departure.tail)
	departure.end(client)
	leftAt = time.Now()
	time.Sleep(freezeTime)
	signal(t, d.Routers[0], syscall.SIGCONT)
	return leftAt
}

// countRequests returns the numbers of requests whose ids begin with prefix and that arrived at servers before a time and
// after it.
func countRequests(d *Deployment, prefix string, at time.Time) (early, late int) {
	for _, request := range d.RequestLog.Requests() {
		switch {
		case !strings.HasPrefix(request.ID, prefix):
		case request.ArrivedAt.After(at):
			late++
		default:
			early++
		}
	}
	return early, late
}

// askHealthOf makes a health call and waits for its response.
func askHealthOf(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	io.WriteString(conn, "\x94\x00\x01\xa6health\x91\x80")
	conn.SetReadDeadline(time.Now().Add(testwait.Limit))
	if _, err := io.ReadFull(conn, make([]byte, 7)); err != nil {
		t.Fatal(err)
	}
}

// unreadSize is how much a client writes before it leaves, in bytes. It fits into the receive buffer of a socket, so that
// the end of the stream arrives at once.
const unreadSize = 56_000

// writeRequests writes requests of unreadSize bytes in all. The first half of their ids is the prefix.
func writeRequests(t *testing.T, conn *net.TCPConn, prefix int64, bodySize int) {
	t.Helper()
	conn.SetWriteDeadline(time.Now().Add(testwait.Limit))
	for id, written := int64(0), 0; written < unreadSize; id++ {
		ref := prefix<<32 | id
		message := readRequest(id+2, ref)
		if bodySize > 0 {
			message = bodyRequest(id+2, ref, bodySize)
		}
		n, err := io.WriteString(conn, message)
		if err != nil {
			t.Fatal(err)
		}
		written += n
	}
}
