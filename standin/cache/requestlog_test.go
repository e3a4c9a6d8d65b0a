package cache

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// Commands for the request "a".
const (
	getCommand  = "*4\r\n$3\r\nGET\r\n$1\r\na\r\n$7\r\nasset=o\r\n$0\r\n\r\n"
	dropCommand = "*2\r\n$4\r\nDROP\r\n$1\r\na\r\n"
)

// startHangingServer starts an origin that leaves each GET open. It still answers PING, and responds BUSY to requests
// beyond its limit.
func startHangingServer(t *testing.T, id uint32, log *RequestLog) *Server {
	t.Helper()
	s, err := Listen(Options{ID: id, IsOrigin: true, Delay: time.Hour, RequestLog: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// startRequest sends getCommand to a server and waits until the request log contains it. It returns the connection.
func startRequest(t *testing.T, s *Server) net.Conn {
	t.Helper()
	before := len(s.options.RequestLog.Requests())
	conn := testwait.Dial(t, s.Addr().String())
	write(t, conn, getCommand)
	testwait.Until(t, "the request in the log", func() bool {
		return len(s.options.RequestLog.Requests()) > before
	})
	return conn
}

// awaitInFlight waits until the number of in-flight attempts of the request "a" is want.
func awaitInFlight(t *testing.T, log *RequestLog, want int) {
	t.Helper()
	testwait.Until(t, fmt.Sprintf("%d attempts in flight", want), func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		inFlight := 0
		for _, a := range log.attempts["a"] {
			if a.endedAt.IsZero() {
				inFlight++
			}
		}
		return inFlight == want
	})
}

// Guards against attempts that stay in flight after their connection was closed: a later attempt of the request would
// be reported as an overlap. An attempt that starts while another is in flight must still be reported.
func TestClosedConnectionEndsItsAttempts(t *testing.T) {
	log := NewRequestLog()
	s := startHangingServer(t, 1, log)
	startRequest(t, s).Close()
	awaitInFlight(t, log, 0)
	startRequest(t, s)
	if overlaps := log.Overlaps(); len(overlaps) > 0 {
		t.Errorf("overlaps with an attempt of a closed connection: %v, want none", overlaps)
	}
	startRequest(t, s)
	if overlaps := log.Overlaps(); len(overlaps) != 1 {
		t.Errorf("overlaps of two attempts in flight: %v, want one", overlaps)
	}
}

// Guards against overlaps that are derived from the order in which commands are read instead of the order in which
// they arrive. Both commands wait for the log's lock, and either may get it first. A GET that arrives after the DROP of
// the previous attempt does not overlap it. A GET that arrives before this DROP overlaps that attempt.
func TestOverlapsUseArrivalTimes(t *testing.T) {
	keepArrivalTimesOn(t)
	for name, dropFirst := range map[string]bool{"DROP, then GET": true, "GET, then DROP": false} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				testArrivalOrder(t, dropFirst)
			}
		})
	}
}

// keepArrivalTimesOn waits until the kernel records arrival times, and keeps this enabled until the test ends. The
// kernel starts some time after the first socket of the machine enables receive timestamps. It stops after the last
// such socket is closed. For bytes that arrive while the kernel records no times, arrivalReader uses the time of the
// read.
func keepArrivalTimesOn(t *testing.T) {
	t.Helper()
	listener := testwait.Listen(t)
	sender := testwait.Dial(t, listener.Addr().String())
	accepted := testwait.Accept(t, listener, "the connection that keeps arrival times on")
	reader, err := newArrivalReader(accepted.(*net.TCPConn), &gate{}, t.Context().Done())
	if err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "a time of arrival from the kernel", func() bool {
		write(t, sender, "x")
		time.Sleep(5 * time.Millisecond)
		readAt := time.Now()
		if _, err := reader.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		return reader.lastArrival.Before(readAt)
	})
}

func testArrivalOrder(t *testing.T, dropFirst bool) {
	t.Helper()
	log := NewRequestLog()
	one := startHangingServer(t, 1, log)
	defer one.Close()
	other := startHangingServer(t, 2, log)
	defer other.Close()
	first := startRequest(t, one)
	second := testwait.Dial(t, other.Addr().String())
	log.mu.Lock()
	if dropFirst {
		write(t, first, dropCommand)
		write(t, second, getCommand)
	} else {
		write(t, second, getCommand)
		write(t, first, dropCommand)
	}
	log.mu.Unlock()
	testwait.Until(t, "the second attempt", func() bool { return len(log.Requests()) == 2 })
	awaitInFlight(t, log, 1)
	if overlaps := log.Overlaps(); (len(overlaps) == 0) != dropFirst {
		t.Fatalf("wrong overlaps for the order of arrival: %v", overlaps)
	}
}

// Guards against missed overlaps when a short attempt lies within a long one, and against false ones when attempts are
// not recorded in order of arrival. Each attempt is compared with the earlier one that ended last.
func TestOverlapsOfAttempts(t *testing.T) {
	const inFlight = -1
	at := func(ms int) time.Time {
		if ms == inFlight {
			return time.Time{}
		}
		return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond)
	}
	for _, test := range []struct {
		name  string
		spans [][2]int // start and end in ms
		want  int
	}{
		{"single attempt", [][2]int{{0, inFlight}}, 0},
		{"sequential attempts", [][2]int{{0, 5}, {5, 9}, {10, inFlight}}, 0},
		{"sequential attempts read out of order", [][2]int{{5, 9}, {0, 5}}, 0},
		{"second starts before first ends", [][2]int{{0, 5}, {4, 9}}, 1},
		{"first still in flight", [][2]int{{0, inFlight}, {4, 9}, {20, 30}}, 2},
		{"short attempts within a long one", [][2]int{{0, 50}, {4, 9}, {20, 30}, {50, 60}}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var attempts []*attempt
			for _, span := range test.spans {
				attempts = append(attempts, &attempt{startedAt: at(span[0]), endedAt: at(span[1])})
			}
			if got := overlapsOf("a", attempts); len(got) != test.want {
				t.Errorf("overlaps %q, want %d", got, test.want)
			}
		})
	}
}

// Guards against an attempt that seems to last until its response although its DROP arrived earlier: the server may
// have sent the response before it reads the DROP. A DROP that arrived later than the recorded end must change nothing.
func TestAttemptEndsAtEarliestEnd(t *testing.T) {
	log := NewRequestLog()
	start := time.Unix(100, 0)
	a := log.begin(Request{ID: "a", ArrivedAt: start}, "")
	log.end(a, start.Add(5*time.Millisecond), endAnswered)
	log.end(a, start.Add(2*time.Millisecond), endCancelled)
	log.end(a, start.Add(9*time.Millisecond), endCancelled)
	if want := start.Add(2 * time.Millisecond); !a.endedAt.Equal(want) || a.endReason != endCancelled {
		t.Errorf("ended at %v by %s, want %v by DROP", a.endedAt, a.endReason, want)
	}
	log.begin(Request{ID: "a", ArrivedAt: start.Add(3 * time.Millisecond)}, "")
	if overlaps := log.Overlaps(); len(overlaps) > 0 {
		t.Errorf("overlaps with an attempt that ended before: %v, want none", overlaps)
	}
}
