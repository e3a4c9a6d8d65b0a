package link

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// within bounds waits of this test: far more than loopback takes, so that only what never comes fails.
const within = 10 * time.Second

func TestMesh(t *testing.T) {
	var conns []*net.UDPConn
	var listens []netip.AddrPort
	for range 3 {
		c, err := listenUDP()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns, listens = append(conns, c), append(listens, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	m, err := NewMesh(1, listens)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	to := func(addr string) netip.AddrPort { return netip.MustParseAddrPort(addr) }
	say := func(from int, addr, what string) {
		t.Helper()
		if _, err := conns[from].WriteToUDPAddrPort([]byte(what), to(addr)); err != nil {
			t.Fatal(err)
		}
	}
	hears := func(rank int, from, what string) {
		t.Helper()
		buf := make([]byte, 100)
		conns[rank].SetReadDeadline(time.Now().Add(within))
		n, at, err := conns[rank].ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != what || at.String() != from {
			t.Fatalf("router %d heard %q from %v (%v), want %q from %s", rank, buf[:n], at, err, what, from)
		}
	}
	say(0, m.Addr(1), "one")
	hears(1, m.Addr(0), "one") // by the address under which it knows the sender
	say(2, m.BroadcastAddr(), "all")
	hears(0, m.Addr(2), "all")
	hears(1, m.Addr(2), "all")
	// What is cut off does not come, and what is sent afterwards does: the first to arrive is the second that was sent.
	for _, w := range []Conditions{{PartitionByRank: []int{0, 1, 0}}, {BlockedPaths: map[[2]int]bool{{0, 1}: true}}, {LossRate: 1}} {
		if err := m.SetConditions(w); err != nil {
			t.Fatal(err)
		}
		before := m.Counts()
		say(0, m.Addr(1), "lost")
		for begin := time.Now(); m.Counts() == before && time.Since(begin) < within; {
			time.Sleep(time.Millisecond)
		}
		if now := m.Counts(); now.Forwarded != before.Forwarded || now.Blocked+now.Lost != before.Blocked+before.Lost+1 {
			t.Errorf("%+v: %+v, before %+v", w, now, before)
		}
	}
	if err := m.SetConditions(Conditions{BlockedPaths: map[[2]int]bool{{0, 1}: true}, DuplicateRate: 1, Delay: time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	say(1, m.Addr(0), "back")
	hears(0, m.Addr(1), "back")
	hears(0, m.Addr(1), "back")
	if m.SetConditions(Conditions{PartitionByRank: []int{1}}) == nil || m.SetConditions(Conditions{LossRate: 2}) == nil {
		t.Error("conditions that can't be are taken")
	}
}

func TestRelay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := NewRelay(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	echo := func(c net.Conn, wait time.Duration) error {
		if _, err := c.Write([]byte("hello")); err != nil {
			return err
		}
		c.SetReadDeadline(time.Now().Add(wait))
		_, err := io.ReadFull(c, make([]byte, 5))
		return err
	}
	c := dial()
	defer c.Close()
	if err := echo(c, within); err != nil {
		t.Fatal(err)
	}
	r.SetConditions(RelayConditions{Blackholes: true})
	if err := echo(c, 100*time.Millisecond); err == nil {
		t.Error("a silent machine answers")
	}
	r.SetConditions(RelayConditions{Resets: true})
	c.SetReadDeadline(time.Now().Add(within))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("%v on a connection that was cut, want a reset", err)
	}
	r.SetConditions(RelayConditions{Delay: time.Millisecond, KBPerSecond: 1000})
	d := dial()
	defer d.Close()
	if err := echo(d, within); err != nil {
		t.Error(err)
	}
	for begin := time.Now(); ; time.Sleep(time.Millisecond) { // the relay books what it has passed on a moment later
		dials, open, to, back := r.Counts()
		if len(dials) == 2 && open == 1 && to == 10 && back == 10 {
			return
		}
		if time.Since(begin) > within {
			t.Fatalf("%d dials, %d open, %d and %d bytes", len(dials), open, to, back)
		}
	}
}
