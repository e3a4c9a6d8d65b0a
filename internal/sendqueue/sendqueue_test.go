package sendqueue

import (
	"io"
	"net"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// The count must be positive while the peer does not read, and 0 once it has read everything. Of a connection that is not
// a socket, nothing is known.
func TestUnsentFollowsThePeer(t *testing.T) {
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
	if unsent := Unsent(local); unsent <= 0 || unsent > written {
		t.Errorf("%d bytes unsent of %d", unsent, written)
	}
	if _, err := io.CopyN(io.Discard, peer, written); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "an empty send queue", func() bool { return Unsent(local) == 0 })
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	if n := Unsent(pipe); n != 0 {
		t.Errorf("%d bytes unsent on a pipe", n)
	}
}
