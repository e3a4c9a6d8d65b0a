package discovery

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spantack/internal/testwait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout is the timeout of each wait for the service.
const waitTimeout = 10 * time.Second

// silentWait is how long a muted connection must receive nothing. It is longer than heartbeatInterval.
const silentWait = 1200 * time.Millisecond

// start starts a service that is closed at the end of the test.
func start(t *testing.T) *Service {
	t.Helper()
	s, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// connect opens a connection and requests all events.
func connect(t *testing.T, s *Service) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", s.Addr(), waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	testwait.BoundConn(t, conn)
	if _, err := conn.Write(make([]byte, lastEventSize)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// firstByte reads one byte from a connection, for at most limit, and returns how long that took.
func firstByte(conn net.Conn, limit time.Duration) (time.Duration, error) {
	startedAt := time.Now()
	conn.SetReadDeadline(startedAt.Add(limit))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return time.Since(startedAt), err
}

// Guards against a mode that is not applied to open or new connections. One service goes through all modes, and some
// connections stay open across mode changes.
func TestModesApplyToConnections(t *testing.T) {
	s := start(t)
	s.Publish(true)
	setMode := func(mode Mode) {
		t.Helper()
		if err := s.SetMode(mode); err != nil {
			t.Fatal(err)
		}
	}
	open := connect(t, s)
	if _, err := firstByte(open, waitTimeout); err != nil {
		t.Errorf("serving: no frame: %v", err)
	}
	setMode(Slow)
	took, err := firstByte(connect(t, s), waitTimeout)
	if err != nil || took < SlowFirstFrameDelay*9/10 {
		t.Errorf("slow: first frame after %v, error %v", took, err)
	}
	setMode(Mute)
	muted := connect(t, s)
	if _, err := firstByte(muted, silentWait); !isTimeout(err) { // long enough for a heartbeat
		t.Errorf("mute: read error %v, want a timeout", err)
	}
	setMode(Serving)
	if _, err := firstByte(muted, waitTimeout); err != nil {
		t.Errorf("serving after mute: no frame: %v", err)
	}
	setMode(Down)
	open.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := io.Copy(io.Discard, open); isTimeout(err) {
		t.Error("down: an open connection was not closed")
	}
	conn, err := net.DialTimeout("tcp", s.Addr(), waitTimeout)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("down: dial error %v, want connection refused", err)
		if err == nil {
			conn.Close()
		}
	}
	setMode(Serving)
	if _, err := firstByte(connect(t, s), waitTimeout); err != nil {
		t.Errorf("serving after down: no frame: %v", err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
