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

// startHangingServer starts an origin that never responds.
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

// startRequest sends getCommand to a server and returns once the request log has it.
func startRequest(t *testing.T, s *Server) net.Conn {
	t.Helper()
	before := len(s.options.RequestLog.Requests())
	conn := testwait.Dial(t, s.Addr().String())
	write(t, conn, getCommand)
	testwait.Until(t, "the request to come", func() bool {
		return len(s.options.RequestLog.Requests()) > before
	})
	return conn
}

// awaitInFlight waits until so many attempts of the request "a" are in flight.
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

// A connection that closes cancels what is open on it: a further attempt of that request does not overlap it. One that
// begins while the first is open does.
func TestClosedConnectionEndsItsAttempts(t *testing.T) {
	log := NewRequestLog()
	s := startHangingServer(t, 1, log)
	startRequest(t, s).Close()
	awaitInFlight(t, log, 0)
	startRequest(t, s)
	if overlaps := log.Overlaps(); len(overlaps) > 0 {
		t.Errorf("two attempts in flight at once: %v", overlaps)
	}
	startRequest(t, s)
	if overlaps := log.Overlaps(); len(overlaps) != 1 {
		t.Errorf("two attempts were in flight at once: %v", overlaps)
	}
}

// What counts is the order in which commands arrive, not that in which this process reads them: both wait for the
// log's lock, and either may be first to get it. A GET that arrives after the DROP of the attempt before does not
// overlap it; one that arrives before the DROP does.
func TestOverlapsGoByTheTimeOfArrival(t *testing.T) {
	for name, dropFirst := range map[string]bool{"DROP, then GET": true, "GET, then DROP": false} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				testArrivalOrder(t, dropFirst)
			}
		})
	}
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
		t.Fatalf("overlaps: %v", overlaps)
	}
}

// Of a request's attempts each is compared with the one before that ended last, in the order of their arrival.
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
		{"one", [][2]int{{0, inFlight}}, 0},
		{"one after the other", [][2]int{{0, 5}, {5, 9}, {10, inFlight}}, 0},
		{"read in another order", [][2]int{{5, 9}, {0, 5}}, 0},
		{"the second early", [][2]int{{0, 5}, {4, 9}}, 1},
		{"the first in flight", [][2]int{{0, inFlight}, {4, 9}, {20, 30}}, 2},
		{"a short one within a long one", [][2]int{{0, 50}, {4, 9}, {20, 30}, {50, 60}}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var attempts []*attempt
			for _, span := range test.spans {
				attempts = append(attempts, &attempt{startedAt: at(span[0]), endedAt: at(span[1])})
			}
			if got := overlapsOf("a", attempts); len(got) != test.want {
				t.Errorf("%q, want %d", got, test.want)
			}
		})
	}
}

// A DROP that arrived before a response went out, but is read after it, ends the attempt when it arrived; one that
// arrived later changes nothing.
func TestTheEarliestEndCounts(t *testing.T) {
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
		t.Errorf("overlaps: %v", overlaps)
	}
}
