package discovery

import (
	"encoding/binary"
	"io"
	"net/netip"
	"testing"

	"spantack/internal/testwait"
)

// Guards against missing, repeated or wrongly encoded events: a router must receive the frames of all events after the
// one that it names, including events that are published later.
func TestConnectionReceivesAllLaterEvents(t *testing.T) {
	s := start(t)
	endpoint := Endpoint{
		ID: 0x01020304, Addr: netip.MustParseAddrPort("10.11.12.13:4660"), State: 1, Zone: 2, Kind: 3,
		Weight: 1.5, StartedAtMillis: 7,
	}
	s.Publish(true, endpoint)
	s.Publish(false)
	s.PublishPurge(0xabcd, 1000)

	const snapshot = "\x00\x00\x00\x24" + "\x00\x00\x00\x00\x00\x00\x00\x01" + "\x01" +
		"\x01\x02\x03\x04" + "\x0a\x0b\x0c\x0d" + "\x12\x34" + "\x01\x02\x03\x00\x00" +
		"\x00\x00\x05\xdc" + "\x00\x00\x00\x00\x00\x00\x00\x07"
	const update = "\x00\x00\x00\x09" + "\x00\x00\x00\x00\x00\x00\x00\x02" + "\x02"
	const purge = "\x00\x00\x00\x19" + "\x00\x00\x00\x00\x00\x00\x00\x03" + "\x03" +
		"\x00\x00\x00\x00\x00\x00\xab\xcd" + "\x00\x00\x00\x00\x00\x00\x03\xe8"
	const later = "\x00\x00\x00\x09" + "\x00\x00\x00\x00\x00\x00\x00\x04" + "\x01"
	const heartbeat = "\x00\x00\x00\x09" + "\x00\x00\x00\x00\x00\x00\x00\x04" + "\x00"
	const earlyHeartbeat = "\x00\x00\x00\x09" + "\x00\x00\x00\x00\x00\x00\x00\x03" + "\x00"
	frames := []string{snapshot, update, purge}

	for lastEvent := range len(frames) {
		conn := testwait.Dial(t, s.Addr())
		if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, uint64(lastEvent))); err != nil {
			t.Fatal(err)
		}
		for _, want := range frames[lastEvent:] {
			expect(t, conn, want)
		}
	}
	if watches := s.Watches(); watches != len(frames) {
		t.Errorf("%d connections requested events, want %d", watches, len(frames))
	}
	conn := testwait.Dial(t, s.Addr())
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, uint64(len(frames)))); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "the last connection to request events", func() bool { return s.Watches() == len(frames)+1 })
	s.Publish(true)
	got := readFrame(t, conn, len(later))
	for got == earlyHeartbeat { // sent before the event was published
		got = readFrame(t, conn, len(later))
	}
	if got != later {
		t.Fatalf("read %x, want %x", got, later)
	}
	expect(t, conn, heartbeat)
}

// expect reads the next frame and fails the test unless it equals want.
func expect(t *testing.T, conn io.Reader, want string) {
	t.Helper()
	if got := readFrame(t, conn, len(want)); got != want {
		t.Fatalf("read %x, want %x", got, want)
	}
}

func readFrame(t *testing.T, conn io.Reader, size int) string {
	t.Helper()
	frame := make([]byte, size)
	if _, err := io.ReadFull(conn, frame); err != nil {
		t.Fatalf("read %x: %v", frame, err)
	}
	return string(frame)
}
