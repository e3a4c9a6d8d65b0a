package cache

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// getOf asks a server for an object and returns once the request log holds the attempt.
func getOf(t *testing.T, s *Server, id string) net.Conn {
	t.Helper()
	before := len(s.options.RequestLog.Requests())
	nc := testwait.Dial(t, s.Addr().String())
	if _, err := io.WriteString(nc, "*4\r\n$3\r\nGET\r\n$1\r\n"+id+"\r\n$7\r\nasset=o\r\n$0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "the attempt to come", func() bool { return len(s.options.RequestLog.Requests()) > before })
	return nc
}

// A connection that closes gives up what is open on it: a further attempt of that request is no second one at once. One that goes out
// while the first is open is.
func TestClosedConnectionEndsItsAttempts(t *testing.T) {
	s, err := Listen(Options{ID: 1, IsOrigin: true, Delay: time.Hour, RequestLog: NewRequestLog()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	log := s.options.RequestLog
	getOf(t, s, "a").Close()
	awaitOut(t, log, "a", 0)
	getOf(t, s, "a")
	if o := log.Overlaps(); len(o) > 0 {
		t.Errorf("two attempts out at once: %v", o)
	}
	getOf(t, s, "a")
	if o := log.Overlaps(); len(o) != 1 {
		t.Errorf("two attempts were out at once: %v", o)
	}
}

// awaitOut waits until so many attempts of a request are out.
func awaitOut(t *testing.T, log *RequestLog, id string, want int) {
	t.Helper()
	testwait.Until(t, fmt.Sprintf("%d attempts of %s to be out", want, id), func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		out := 0
		for _, a := range log.attempts[id] {
			if a.endedAt.IsZero() {
				out++
			}
		}
		return out == want
	})
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// What counts is the order in which commands arrive, not that in which this process reads them: both wait for the log's lock, and either may be first to
// get it. A GET that arrives after the DROP of the attempt before is no overlap; one that arrives before it is.
func TestOverlapsGoByTheTimeOfArrival(t *testing.T) {
	const (
		get  = "*4\r\n$3\r\nGET\r\n$1\r\na\r\n$7\r\nasset=o\r\n$0\r\n\r\n"
		drop = "*2\r\n$4\r\nDROP\r\n$1\r\na\r\n"
	)
	for name, dropFirst := range map[string]bool{"DROP, then GET": true, "GET, then DROP": false} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				log := NewRequestLog()
				one, other := hangingServer(t, 1, log), hangingServer(t, 2, log)
				first, second := getOf(t, one, "a"), testwait.Dial(t, other.Addr().String())
				log.mu.Lock()
				if dropFirst {
					write(t, first, drop)
					write(t, second, get)
				} else {
					write(t, second, get)
					write(t, first, drop)
				}
				log.mu.Unlock()
				testwait.Until(t, "the second attempt", func() bool { return len(log.Requests()) == 2 })
				awaitOut(t, log, "a", 1)
				if o := log.Overlaps(); (len(o) == 0) != dropFirst {
					t.Fatalf("overlaps: %v", o)
				}
				one.Close()
				other.Close()
			}
		})
	}
}

// hangingServer starts a server that answers nothing.
func hangingServer(t *testing.T, id uint32, log *RequestLog) *Server {
	t.Helper()
	s, err := Listen(Options{ID: id, IsOrigin: true, Delay: time.Hour, RequestLog: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Of a request's attempts each is held against the one before that ended last, in the order of their arrival.
func TestOverlapsOfAttempts(t *testing.T) {
	at := func(ms int) time.Time {
		if ms < 0 {
			return time.Time{}
		}
		return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond)
	}
	for _, test := range []struct {
		name  string
		spans [][2]int // begin and end in ms, -1: out
		want  int
	}{
		{"one", [][2]int{{0, -1}}, 0},
		{"one after the other", [][2]int{{0, 5}, {5, 9}, {10, -1}}, 0},
		{"read in another order", [][2]int{{5, 9}, {0, 5}}, 0},
		{"the second early", [][2]int{{0, 5}, {4, 9}}, 1},
		{"the first is out", [][2]int{{0, -1}, {4, 9}, {20, 30}}, 2},
		{"a short one within a long one", [][2]int{{0, 50}, {4, 9}, {20, 30}, {50, 60}}, 2},
	} {
		var attempts []*attempt
		for _, span := range test.spans {
			attempts = append(attempts, &attempt{startedAt: at(span[0]), endedAt: at(span[1])})
		}
		if got := overlapsOf("a", attempts); len(got) != test.want {
			t.Errorf("%s: %q, want %d", test.name, got, test.want)
		}
	}
}

// A DROP that arrived before an answer went out, but is read after it, ends the attempt when it arrived; one that arrived later changes nothing.
func TestTheEarliestEndCounts(t *testing.T) {
	log := NewRequestLog()
	begun := time.Unix(100, 0)
	a := log.begin(Request{ID: "a", ArrivedAt: begun}, "")
	log.end(a, begun.Add(5*time.Millisecond), endAnswered)
	log.end(a, begun.Add(2*time.Millisecond), endCancelled)
	log.end(a, begun.Add(9*time.Millisecond), endCancelled)
	if want := begun.Add(2 * time.Millisecond); !a.endedAt.Equal(want) || a.endReason != endCancelled {
		t.Errorf("ended at %v by %s, want %v by DROP", a.endedAt, a.endReason, want)
	}
	log.begin(Request{ID: "a", ArrivedAt: begun.Add(3 * time.Millisecond)}, "")
	if o := log.Overlaps(); len(o) > 0 {
		t.Errorf("overlaps: %v", o)
	}
}
