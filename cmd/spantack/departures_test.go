package main

import (
	"io"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A client that cancels or closes its connection has gone: an attempt of its request that begins more than
// departedGrace later is late, and maxLate of them are let pass. Everything here is judged by the caches' log of
// requests: by when the kernel received an attempt whole, against the moment at which the client's act was done.
const (
	departedGrace = 100 * time.Millisecond
	maxLate       = 2
)

const (
	// playsAtOnce bounds how many deployments are up at a time.
	playsAtOnce = 4
	// maxPlays bounds how often a place is set up anew because the machine was so slow that the requests of those who
	// stay ended there before anything could begin: such a play shows too little. The verdict on those who left counts
	// in each.
	maxPlays = 8
	// setUpWithin bounds each step to that moment, and the wait for an attempt of a client that stayed after it.
	setUpWithin = 5 * time.Second
)

// departureWay is a way in which a client leaves.
type departureWay struct {
	name string
	// asksAtOnce means that the client's request goes out in the same moment.
	asksAtOnce bool
	leave      func(c *caller, request []byte)
}

var departureWays = []departureWay{
	{name: "cancel", leave: func(c *caller, _ []byte) { io.WriteString(c, "\x93\x02\xa6cancel\x91\x02") }},
	{name: "close", leave: func(c *caller, _ []byte) { c.Close() }},
	{name: "reset", leave: func(c *caller, _ []byte) { c.reset() }},
	{name: "half-close", leave: func(c *caller, _ []byte) { c.CloseWrite() }},
	{name: "close with its last byte", asksAtOnce: true, leave: func(c *caller, request []byte) {
		c.cork()
		c.Write(request)
		c.Close()
	}},
	{name: "cancel with its last byte", asksAtOnce: true, leave: func(c *caller, request []byte) {
		c.Write(append(slices.Clone(request), "\x93\x02\xa6cancel\x91\x02"...))
	}},
	{name: "reset after its last byte", asksAtOnce: true, leave: func(c *caller, request []byte) {
		c.Write(request)
		c.reset()
	}},
}

// reset closes the connection such that its peer sees a reset.
func (c *caller) reset() {
	c.SetLinger(0)
	c.Close()
}

// cork makes the kernel send the last bytes and the end of the stream together.
func (c *caller) cork() {
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

// waitingPlace is where in the router a request waits when its client leaves. Nothing can begin there until the
// test lets it.
type waitingPlace struct {
	name          string
	clientsPerWay int  // clients for each way out; 0: three
	caches        int  // 0: three
	descriptors   int  // 0: enough for all
	bodySize      int  // bytes in the requests of those who leave
	asksOnLeaving bool // they ask in the moment in which they leave
	holdsAttempts bool // first attempts are with the caches, and end when the test says so, such that a retry follows
	dialsLate     bool // connections to the caches do not come up
	pausesCaches  bool // the caches read nothing
	blockers      int  // commands longer than a connection takes, which were begun before
	playsBusy     bool // it is also played on a busy core
	isInKernel    bool // it needs no router to go on: the router gets time to take back what is there
}

// minDescriptors leave the router so few connections to caches that attempts share them.
const minDescriptors = 64

const (
	// longCommand is the body of a request that no connection to a cache that is paused takes whole.
	longCommand = 48_000
	// shortCommand is one that goes whole to the socket, but not to the cache.
	shortCommand = 20_000
)

var waitingPlaces = []waitingPlace{
	{name: "module", asksOnLeaving: true},
	{name: "late dial", dialsLate: true, playsBusy: true},
	{name: "queue behind a stuck write", pausesCaches: true, blockers: 8, descriptors: minDescriptors},
	{name: "its own stuck write", pausesCaches: true, bodySize: longCommand},
	{name: "in the send queue", pausesCaches: true, bodySize: shortCommand, isInKernel: true},
	{name: "between attempts", holdsAttempts: true, playsBusy: true},
	{name: "late dial, hundreds", dialsLate: true, clientsPerWay: 30, caches: 10, descriptors: 2048},
}

// condition is what else befalls the router at that time.
type condition struct {
	name     string
	isFrozen bool // it gets no processor time from before its client leaves until after the next attempt could begin
	isEnding bool // it was told to end
	isBusy   bool // it shares one core with programs that never rest
}

var conditions = []condition{
	{name: "serving"},
	{name: "stopped", isFrozen: true},
	{name: "ending", isEnding: true},
	{name: "busy", isBusy: true},
}

// An attempt of a client that has left is not sent, wherever in the router its request waits and whatever else
// befalls the router.
func TestDepartedIsNotSentOn(t *testing.T) {
	t.Parallel()
	plays := make(chan struct{}, playsAtOnce)
	for _, place := range waitingPlaces {
		for _, under := range conditions {
			if under.isBusy && !place.playsBusy || under.isFrozen && place.isInKernel {
				continue
			}
			t.Run(strings.ReplaceAll(place.name+"/"+under.name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				plays <- struct{}{}
				defer func() { <-plays }()
				for range maxPlays {
					if newDeparture(t, place, under).play() {
						return
					}
				}
				t.Errorf("in %d plays this place was not reached, or no attempt of a client that stayed began there", maxPlays)
			})
		}
	}
}
