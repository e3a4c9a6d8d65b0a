package resp

import (
	"bytes"
	"net"
	"testing"

	"spantack/internal/testwait"
	"spantack/routing"
)

// Guards against bodies that are held without a limit between their arrival and their way to the client (review case 6):
// with memory for one body, the second response must wait until the first body is released, and then arrive whole.
func TestBodiesShareTheirMemory(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr()) // MaxBodyBytes is 0, so that there is memory for one of the largest bodies
	first, conn := sendFirst(pools, server)
	second := send(pools, "b")
	other := server.accept()
	other.expect("GET b")
	body := bytes.Repeat([]byte("x"), MaxBodySize)
	go conn.respond("a", "OK", "-", string(body))
	held := wantOutcome(t, first, routing.OutcomeServed)
	go other.respond("b", "OK", "-", string(body))
	testwait.Until(t, "the second body to wait for memory", func() bool { return pools.Stats().BodyWaits == 1 })
	if lent := pools.Stats().BodyBytes; lent != MaxBodySize {
		t.Errorf("%d bytes lent, want %d", lent, MaxBodySize)
	}
	held.Discard()
	result := wantOutcome(t, second, routing.OutcomeServed)
	if !bytes.Equal(result.Body, body) {
		t.Errorf("a body of %d bytes differs", len(result.Body))
	}
	result.Discard()
	if lent := pools.Stats().BodyBytes; lent != 0 {
		t.Errorf("%d bytes lent after the last body is released", lent)
	}
}

// Guards against memory that is never released: bodies that no request takes must go back at once. The response belongs
// to no attempt, is an error, contradicts its request, or arrives for an attempt whose result nobody has received.
func TestBodiesWithoutATakerAreReleased(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	abandoned, conn := sendFirst(pools, server)
	conn.respond("unknown", "OK", "-", "body")
	conn.respond("a", "OK", "-", "body")
	testwait.Until(t, "the response to be delivered", func() bool { return len(abandoned.Done()) == 1 })
	abandoned.Cancel(false)
	failed := send(pools, "b")
	conn.expect("GET b")
	conn.respond("b", "ERR", "-", "body")
	wantOutcome(t, failed, routing.OutcomeError)
	contradicted := send(pools, "c")
	conn.expect("GET c")
	conn.respond("c", "SAME", "sum=1f", "body")
	wantOutcome(t, contradicted, routing.OutcomeConnectionReset)
	testwait.Until(t, "all bodies to be released", func() bool { return pools.Stats().BodyBytes == 0 })
}

// Guards against a reader that waits for memory for good: the wait must end with its connection.
func TestWaitForMemoryEndsWithTheConnection(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	lent, _ := pools.bodies.TryGet(MaxBodySize)
	pending, conn := sendFirst(pools, server)
	conn.respond("a", "OK", "-", "body")
	testwait.Until(t, "the body to wait for memory", func() bool { return pools.Stats().BodyWaits == 1 })
	pools.mu.Lock()
	pools.servers["s-1"].conns[0].close()
	pools.mu.Unlock()
	wantOutcome(t, pending, routing.OutcomeConnectionReset)
	pools.bodies.Put(lent)
	testwait.Until(t, "all memory to be released", func() bool { return pools.Stats().BodyBytes == 0 })
}

// Guards against bodies of canceled requests that stay in the queue behind a server that has stopped reading.
func TestCanceledQueuedRequestHoldsNoBody(t *testing.T) {
	server := listen(t)
	pools, _ := newPools(t, server.addr())
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	conn := newTestConn(pools, local)
	queued := newAttempt(pools, "a")
	queued.attempt.Request.Body = make([]byte, 48_000)
	pools.mu.Lock()
	conn.enqueue(queued)
	pools.mu.Unlock()
	queued.Cancel(false)
	if command := <-conn.queue; command.attempt.attempt.Body != nil || command.encoded != nil {
		t.Errorf("the queue holds %d and %d bytes", len(command.attempt.attempt.Body), len(command.encoded))
	}
}
