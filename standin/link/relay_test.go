package link

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// startEchoRelay starts a relay to a server that echoes all bytes.
func startEchoRelay(t *testing.T) *Relay {
	t.Helper()
	listener := testwait.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	relay, err := NewRelay(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay
}

// echo sends five bytes and waits for five bytes, for at most limit.
func echo(conn net.Conn, limit time.Duration) error {
	if _, err := conn.Write([]byte("hello")); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(conn, make([]byte, 5))
	return err
}

// Guards against conditions that are not applied to open connections, and against wrong counts: one relay forwards
// bytes, discards them, resets connections and forwards again.
func TestRelayAppliesConditions(t *testing.T) {
	relay := startEchoRelay(t)
	first := testwait.Dial(t, relay.Addr())
	if err := echo(first, waitTimeout); err != nil {
		t.Fatal(err)
	}
	relay.SetConditions(RelayConditions{Blackholes: true})
	if err := echo(first, 100*time.Millisecond); err == nil {
		t.Error("a relay that discards bytes forwarded them")
	}
	relay.SetConditions(RelayConditions{Resets: true})
	first.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := first.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("read error %v on a reset connection, want a reset", err)
	}
	relay.SetConditions(RelayConditions{Delay: time.Millisecond, KBPerSecond: 1000})
	if err := echo(testwait.Dial(t, relay.Addr()), waitTimeout); err != nil {
		t.Error(err)
	}
	// The relay counts bytes just after it has forwarded them.
	testwait.UntilWithin(t, waitTimeout, "the counts", func() bool {
		dials, open, toServer, toClient := relay.Counts()
		return len(dials) == 2 && open == 1 && toServer == 10 && toClient == 10
	})
}

// Guards against a count that includes a connection exactly at the end of the interval, or one of the skipped ones.
func TestMaxDialsWithin(t *testing.T) {
	start := time.Unix(100, 0)
	relay := &Relay{}
	for _, ms := range []int{0, 1, 2, 10, 11, 12, 13, 20} {
		relay.dials = append(relay.dials, start.Add(time.Duration(ms)*time.Millisecond))
	}
	for _, test := range []struct {
		skipped int
		span    time.Duration
		want    int
	}{
		{0, time.Millisecond, 1},
		{0, 3 * time.Millisecond, 3},
		{0, 10 * time.Millisecond, 4},
		{0, 11 * time.Millisecond, 5},
		{4, 4 * time.Millisecond, 3},
		{8, time.Second, 0},
	} {
		if got := relay.MaxDialsWithin(test.skipped, test.span); got != test.want {
			t.Errorf("%d dials within %v, %d skipped; want %d", got, test.span, test.skipped, test.want)
		}
	}
}
