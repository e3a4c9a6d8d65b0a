package tier

import (
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// getOf asks a server for an object and returns once the request log holds the attempt.
func getOf(t *testing.T, s *Server, id string) net.Conn {
	t.Helper()
	before := len(s.opt.Ledger.Gets())
	nc := testwait.Dial(t, s.Addr().String())
	if _, err := io.WriteString(nc, "*4\r\n$3\r\nGET\r\n$1\r\n"+id+"\r\n$7\r\nasset=o\r\n$0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "the attempt to come", func() bool { return len(s.opt.Ledger.Gets()) > before })
	return nc
}

// A connection that closes gives up what is open on it: a further attempt of that request is no second one at once. One that goes out
// while the first is open is.
func TestClosedConnectionEndsItsAttempts(t *testing.T) {
	s, err := Listen(Options{ID: 1, Origin: true, Delay: time.Hour, Ledger: NewLedger()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ledger := s.opt.Ledger
	getOf(t, s, "a").Close()
	testwait.Until(t, "the attempt to be given up", func() bool {
		ledger.mu.Lock()
		defer ledger.mu.Unlock()
		return len(ledger.out) == 0
	})
	getOf(t, s, "a")
	if o := ledger.Overlaps(); len(o) > 0 {
		t.Errorf("two attempts out at once: %v", o)
	}
	getOf(t, s, "a")
	if o := ledger.Overlaps(); len(o) != 1 {
		t.Errorf("two attempts were out at once: %v", o)
	}
}
