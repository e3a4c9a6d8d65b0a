package discovery

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// within ends a wait for what never comes.
const within = 10 * time.Second

// connect opens a connection and asks for all events.
func connect(t *testing.T, b *Service) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", b.Addr(), within)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := c.Write(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	return c
}

// first waits a while for a connection's first byte and returns how long that took.
func first(c net.Conn, wait time.Duration) (time.Duration, error) {
	begin := time.Now()
	c.SetReadDeadline(begin.Add(wait))
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(begin), err
}

func TestModes(t *testing.T) {
	b, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	b.Publish(true)
	set := func(mode Mode) {
		t.Helper()
		if err := b.SetMode(mode); err != nil {
			t.Fatal(err)
		}
	}
	open := connect(t, b)
	if _, err := first(open, within); err != nil {
		t.Errorf("serving: %v", err)
	}
	set(Slow)
	if took, err := first(connect(t, b), within); err != nil || took < SlowFirstFrameDelay*9/10 {
		t.Errorf("slow: the first frame after %v, %v", took, err)
	}
	set(Mute)
	muted := connect(t, b)
	if _, err := first(muted, 1200*time.Millisecond); !isTimeout(err) { // an empty frame would have come
		t.Errorf("mute: %v", err)
	}
	set(Serving)
	if _, err := first(muted, within); err != nil {
		t.Errorf("no longer mute: %v", err)
	}
	set(Down)
	open.SetReadDeadline(time.Now().Add(within))
	if _, err := io.Copy(io.Discard, open); isTimeout(err) {
		t.Error("down: an open connection is left open")
	}
	if c, err := net.DialTimeout("tcp", b.Addr(), within); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("down: %v", err)
		if err == nil {
			c.Close()
		}
	}
	set(Serving)
	if _, err := first(connect(t, b), within); err != nil {
		t.Errorf("back: %v", err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
