package scale

import (
	"io"
	"net/netip"
	"testing"

	"spantack/internal/testwait"
	"spantack/standin/discovery"
)

// Guards against frame sizes in the discovery and purges tests that differ from those of standin/discovery.
func TestFrameSizes(t *testing.T) {
	const lengthSize = 4 // size in bytes of the length field; the value of the field does not include it
	service, err := discovery.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	endpoint := discovery.Endpoint{ID: 1, Addr: netip.MustParseAddrPort("127.0.0.1:5050"), Weight: 1}
	service.Publish(true, endpoint, endpoint, endpoint)
	service.PublishPurge(7, 1000)
	conn := testwait.Dial(t, service.Addr())
	if _, err := conn.Write(make([]byte, watchRequestSize)); err != nil {
		t.Fatal(err)
	}
	const (
		snapshotSize  = frameHeaderSize + 3*endpointSize
		purgeAt       = snapshotSize
		heartbeatAt   = purgeAt + frameHeaderSize + purgeSize
		heartbeatSize = frameHeaderSize
	)
	frames := make([]byte, heartbeatAt+heartbeatSize)
	if _, err := io.ReadFull(conn, frames); err != nil {
		t.Fatal(err)
	}
	for at, size := range map[int]byte{
		0:           snapshotSize,
		purgeAt:     frameHeaderSize + purgeSize,
		heartbeatAt: heartbeatSize,
	} {
		if length := frames[at+lengthSize-1]; length != size-lengthSize {
			t.Errorf("frame at offset %d has length %d, want %d", at, length, size-lengthSize)
		}
	}
}
