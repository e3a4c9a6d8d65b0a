package sendqueue

import (
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// Both counts must be positive while the peer does not read, and 0 once it has read everything. Of a connection that is
// not a socket, nothing is known.
func TestCountsFollowThePeer(t *testing.T) {
	l := testwait.Listen(t)
	local := testwait.Dial(t, l.Addr().String())
	peer := testwait.Accept(t, l, "the connection")
	if err := local.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	written := int64(0)
	for {
		n, err := local.Write(make([]byte, 1<<16))
		written += int64(n)
		if err != nil {
			break
		}
	}
	unsent, unacknowledged := Unsent(local), Unacknowledged(local)
	if unsent <= 0 || unacknowledged < unsent || unacknowledged > written {
		t.Errorf("%d bytes unsent, %d unacknowledged of %d", unsent, unacknowledged, written)
	}
	if _, err := io.CopyN(io.Discard, peer, written); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "an empty send queue", func() bool { return Unacknowledged(local) == 0 && Unsent(local) == 0 })
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	if n := Unacknowledged(pipe); n != 0 {
		t.Errorf("%d bytes unacknowledged on a pipe", n)
	}
}
