package main

import (
	"io"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A client that cancels its request or closes its connection has left. An attempt of its request is late if it begins
// more than departedGrace after the client has left; maxLate late attempts are allowed in a run. The test compares two
// times: when the client's cancel or close was done, and when the kernel received the whole attempt. The second time is
// in the caches' request log.
const (
	departedGrace = 100 * time.Millisecond
	maxLate       = 2
)

const (
	// maxParallelRuns bounds how many deployments run at a time.
	maxParallelRuns = 4
	// maxRuns bounds the runs of a stage. A run without an attempt of a remaining client shows nothing and is
	// repeated. This happens if a slow machine lets these requests end too early. Late attempts of departing clients
	// fail the test in each run.
	maxRuns = 8
	// setUpTimeout bounds each step before the clients leave, and afterwards the wait for an attempt of a remaining
	// client.
	setUpTimeout = 5 * time.Second
)

// departureWay is a way in which a client leaves.
type departureWay struct {
	name string
	// sendsRequest means that the client sends its request in the same step.
	sendsRequest bool
	leave        func(c *clientConn, request []byte)
}

var departureWays = []departureWay{
	{name: "cancel", leave: func(c *clientConn, _ []byte) { io.WriteString(c, "\x93\x02\xa6cancel\x91\x02") }},
	{name: "close", leave: func(c *clientConn, _ []byte) { c.Close() }},
	{name: "reset", leave: func(c *clientConn, _ []byte) { c.reset() }},
	{name: "half-close", leave: func(c *clientConn, _ []byte) { c.CloseWrite() }},
	{name: "close with its last byte", sendsRequest: true, leave: func(c *clientConn, request []byte) {
		c.cork()
		c.Write(request)
		c.Close()
	}},
	{name: "cancel with its last byte", sendsRequest: true, leave: func(c *clientConn, request []byte) {
		c.Write(append(slices.Clone(request), "\x93\x02\xa6cancel\x91\x02"...))
	}},
	{name: "reset after its last byte", sendsRequest: true, leave: func(c *clientConn, request []byte) {
		c.Write(request)
		c.reset()
	}},
}

// reset closes the connection with a TCP reset.
func (c *clientConn) reset() {
	c.SetLinger(0)
	c.Close()
}

// cork makes the kernel send the last bytes and the FIN together.
func (c *clientConn) cork() {
	raw, err := c.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1)
	}); err != nil {
		c.t.Fatal(err)
	}
}

// requestStage is the stage of a request in the router at which its client leaves. No attempt can begin from there
// until the test allows it.
type requestStage struct {
	name             string
	clientsPerWay    int  // clients for each departureWay; 0 means 3
	caches           int  // number of caches; 0 means 3
	descriptors      int  // the router's limit on descriptors; 0 means enough for all clients
	bodySize         int  // bytes in the body of a request
	sendsOnLeaving   bool // departing clients send their requests only when they leave
	holdsAttempts    bool // first attempts are at the caches; when the test lets them end, a retry follows
	dialsLate        bool // connections to the caches are not established yet
	pausesCaches     bool // the caches read nothing
	blockingCommands int  // commands sent before the clients' requests, each too long for the socket buffers
	runsBusy         bool // also run on a busy core
	// isInKernel means that attempts are in the kernel's send buffer. A suspended router can't withdraw these attempts.
	// A running router gets time to withdraw them.
	isInKernel bool
}

// minDescriptors is a limit on descriptors that is so low that attempts share connections to caches.
const minDescriptors = 64

const (
	// longCommand is the size of a body that does not fit into the socket buffers to a paused cache, in bytes.
	longCommand = 48_000
	// shortCommand is the size of a body that fits into the router's send buffer, but is not received whole, in bytes.
	shortCommand = 20_000
)

var requestStages = []requestStage{
	{name: "decision module", sendsOnLeaving: true},
	{name: "late dial", dialsLate: true, runsBusy: true},
	{name: "queue behind a blocked write", pausesCaches: true, blockingCommands: 8, descriptors: minDescriptors},
	{name: "blocked write of the request", pausesCaches: true, bodySize: longCommand},
	{name: "in the send queue", pausesCaches: true, bodySize: shortCommand, isInKernel: true},
	{name: "between attempts", holdsAttempts: true, runsBusy: true},
	{name: "late dial, hundreds of clients", dialsLate: true, clientsPerWay: 30, caches: 10, descriptors: 2048},
}

// condition is the state of the router while clients leave.
type condition struct {
	name           string
	isSuspended    bool // suspended by SIGSTOP while clients leave; resumed once further attempts are possible
	isShuttingDown bool // shutting down after SIGTERM
	isBusy         bool // on one core with busy loops
}

var conditions = []condition{
	{name: "serving"},
	{name: "suspended", isSuspended: true},
	{name: "shutting down", isShuttingDown: true},
	{name: "busy", isBusy: true},
}

// Guards against attempts of clients that have left, at each stage of a request in the router and in each condition of
// the router.
func TestNoAttemptAfterDeparture(t *testing.T) {
	t.Parallel()
	runs := make(chan struct{}, maxParallelRuns)
	for _, stage := range requestStages {
		for _, cond := range conditions {
			if cond.isBusy && !stage.runsBusy || cond.isSuspended && stage.isInKernel {
				continue
			}
			t.Run(strings.ReplaceAll(stage.name+"/"+cond.name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				runs <- struct{}{}
				defer func() { <-runs }()
				for range maxRuns {
					if newDeparture(t, stage, cond).run() {
						return
					}
				}
				t.Errorf("in %d runs the stage was not reached, or no attempt of a remaining client began from it", maxRuns)
			})
		}
	}
}
