package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"spantack/internal/testwait"
	caches "spantack/standin/cache"
	"spantack/standin/discovery"
)

const (
	// maxRewatchTime bounds the time from the end of the outage until the router watches the discovery service again.
	// It is well above the router's retry interval of at most 500 ms, and below the 6 s after which the router closes
	// connections of idle clients that have made a call. For this limit and for maxTimeToServe, time in which the
	// machine is short of CPUs is not counted.
	maxRewatchTime = 3 * time.Second
	// maxTimeToServe bounds the time until a request has been served and one has reached the cache that was added
	// during the outage. The time starts at the new watch. If no new watch is needed, it starts at the end of the
	// outage.
	maxTimeToServe = 5 * time.Second
	// reconnectDelay is the time after which an idle client connects again when its connection was closed.
	reconnectDelay = 500 * time.Millisecond
)

// outage describes an outage of the discovery service.
type outage struct {
	name                  string
	modeDuring, modeAfter discovery.Mode
	duration              time.Duration // how long the outage goes on after the idle clients have connected
	descriptorLimits      []int         // limits of the router, one run with each
	// firstFrameDelay is the delay of the first frame after the return of the discovery service.
	firstFrameDelay time.Duration
}

// needsNewWatch reports whether the router has to watch again after the outage. A mute service keeps connections open.
// Therefore no new watch is needed after its outage.
func (o *outage) needsNewWatch() bool { return o.modeDuring == discovery.Down }

var outages = []outage{
	{
		name: "down", modeDuring: discovery.Down, modeAfter: discovery.Serving, duration: time.Second,
		descriptorLimits: []int{64, 128, 256, 512, 1024},
	},
	// The duration is long enough for the router to close the connection to the discovery service, on which nothing
	// arrives any more, and to open others.
	{
		name: "mute", modeDuring: discovery.Mute, modeAfter: discovery.Serving, duration: 4 * time.Second,
		descriptorLimits: []int{64, 256, 1024},
	},
	{
		name: "down, then slow", modeDuring: discovery.Down, modeAfter: discovery.Slow, duration: time.Second,
		descriptorLimits: []int{64, 256, 1024}, firstFrameDelay: discovery.SlowFirstFrameDelay,
	},
}

// Guards against idle clients that use up the router's descriptors. During an outage of the discovery service more idle
// clients connect than the router may have descriptors; some of them send half a message. After the outage the router
// must watch the service again, learn that its caches have been replaced, and serve from the new one. It must not
// exceed its limit (RLIMIT_NOFILE) or crash.
func TestIdleClientsLeaveDescriptorsForDiscoveryAndServers(t *testing.T) {
	t.Parallel()
	for _, o := range outages {
		for _, limit := range o.descriptorLimits {
			t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%d", o.name, limit), " ", "-"), func(t *testing.T) {
				t.Parallel()
				connectIdleClientsDuringOutage(t, &o, limit)
			})
		}
	}
}

func connectIdleClientsDuringOutage(t *testing.T, o *outage, limit int) {
	service, err := discovery.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	d := deploy(t, deploymentOptions{
		caches: 2, sockets: limit, deadline: 2 * time.Second, discovery: service.Addr(), start: withDescriptorLimit(limit),
	})
	list := append(d.cacheEntries(stateReady, stateReady), entry(d.origin, originID, stateReady, kindOrigin))
	service.Publish(true, list...)
	testwait.Until(t, "the router's first watch", func() bool { return service.Watches() > 0 })
	if err := service.SetMode(o.modeDuring); err != nil {
		t.Fatal(err)
	}

	clients := startIdleClients(d.listen, limit+limit/2)
	defer clients.stopAll()
	testwait.Until(t, "as many idle clients as the router has descriptors", func() bool {
		return clients.dialCount() >= limit
	})
	testwait.Until(t, "idle clients to use the third of the descriptors that is for clients", func() bool {
		return countDescriptors(t, d.cmd.Process.Pid) >= limit/clientDescriptorDivisor
	})
	time.Sleep(o.duration)

	replacement, err := caches.Listen(caches.Options{
		ID: firstCache + 100, RequestLog: d.requests, FindServer: d.fillSource,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replacement.Close)
	replaced := append(d.cacheEntries(stateGone, stateGone), entry(replacement, firstCache+100, stateReady, kindCache))
	service.Publish(false, replaced...)
	before := service.Watches()
	sinceReturn := testwait.StartStopwatch()
	if err := service.SetMode(o.modeAfter); err != nil {
		t.Fatal(err)
	}
	if o.needsNewWatch() {
		testwait.Until(t, "the watch after the outage", func() bool { return service.Watches() > before })
		if took := sinceReturn.Elapsed(); took > maxRewatchTime {
			t.Errorf("watched again %v after the outage, want at most %v", took, maxRewatchTime)
		}
	}
	if took, allowed := d.servedBy(replacement), maxTimeToServe+o.firstFrameDelay; took > allowed {
		t.Errorf("served by the cache that was added during the outage after %v, want at most %v", took, allowed)
	}
	if open := countDescriptors(t, d.cmd.Process.Pid); open > limit {
		t.Errorf("%d descriptors, want at most %d", open, limit)
	}
	clients.stopAll()
	d.terminate(false)
	if text := d.stderr.String(); strings.Contains(text, "panic") {
		t.Errorf("log: %s", text)
	}
}

// States and kinds of servers in the discovery protocol.
const (
	stateReady = 0
	stateGone  = 2
	kindCache  = 0
	kindOrigin = 1
)

// cacheEntries returns endpoint list entries for the caches of a deployment, in these states.
func (d *deployment) cacheEntries(states ...byte) (entries []discovery.Endpoint) {
	for number, state := range states {
		entries = append(entries, entry(d.caches[number], uint32(firstCache+number), state, kindCache))
	}
	return entries
}

func entry(cache *caches.Server, id uint32, state, kind byte) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Addr: cache.Addr(), State: state, Kind: kind, Weight: 4}
}

// withDescriptorLimit returns a function that starts a program with a limit on descriptors.
func withDescriptorLimit(descriptors int) func(*exec.Cmd) error {
	return func(cmd *exec.Cmd) error {
		shell, err := exec.LookPath("sh")
		if err != nil {
			return err
		}
		program := cmd.Path
		cmd.Path = shell
		cmd.Args = []string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors), program}
		return cmd.Start()
	}
}

// countDescriptors returns the number of open descriptors of a process.
func countDescriptors(t *testing.T, process int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// servedBy requests new objects until a request has been served and the cache has received one. Each request uses a new
// connection, since the router may have closed the previous one without reading the request. servedBy returns the time
// that this took, without the time in which the machine was short of CPUs.
func (d *deployment) servedBy(cache *caches.Server) time.Duration {
	d.t.Helper()
	begin := testwait.StartStopwatch()
	served, number := false, 0
	testwait.Until(d.t, "a served request, and one at "+cache.Name(), func() bool {
		number++
		served = d.ask(fmt.Sprintf("%016x", number)) == nil || served
		isFromCache := func(request caches.Request) bool { return request.Server == cache.Name() }
		return served && slices.ContainsFunc(d.requests.Requests(), isFromCache)
	})
	return begin.Elapsed()
}

// ask requests an object once, and returns an error unless the response is complete.
func (d *deployment) ask(ref string) error {
	conn, err := net.DialTimeout("tcp", d.listen, awaitLimit)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(d.options.deadline))
	if _, err := conn.Write(request(2, ref, d.options.deadline, 0)); err != nil {
		return err
	}
	body := caches.Body(ref, "0")
	want := append([]byte("\x94\x01\x02\xc0\x92"), 0xc6, 0, 0, byte(len(body)>>8), byte(len(body)))
	if len(body) < 256 {
		want = append([]byte("\x94\x01\x02\xc0\x92"), 0xc4, byte(len(body)))
	}
	want = append(want, body...)
	got := make([]byte, len(want))
	if n, err := io.ReadFull(conn, got); err != nil || string(got) != string(want) {
		return errors.Join(err, fmt.Errorf("got %.40q, want %d bytes", got[:n], len(want)))
	}
	return nil
}

// idleClients are clients that keep connections open without a request.
type idleClients struct {
	stop chan struct{}
	once sync.Once
	wait sync.WaitGroup

	mu    sync.Mutex
	dials int
}

// initialBytes are what idle clients send: nothing, half a message, a whole one, or one and a part of the next. The
// repetition sets the proportions: half of the clients send one whole message. No client sends more until the router
// closes its connection.
var initialBytes = []string{"", "\x94\x00\x02\xa4pa", wholeMessage, wholeMessage + "\x94", wholeMessage, wholeMessage}

const wholeMessage = "\x94\x00\x01\xa6health\x91\x80"

// startIdleClients starts a number of idle clients, which connect again when their connections are closed.
func startIdleClients(addr string, clients int) *idleClients {
	c := &idleClients{stop: make(chan struct{})}
	for number := range clients {
		c.wait.Go(func() {
			for c.holdConnection(addr, initialBytes[number%len(initialBytes)]) {
			}
		})
	}
	return c
}

// holdConnection opens a connection and keeps it until the router closes it, then waits for reconnectDelay. It returns
// false after stopAll.
func (c *idleClients) holdConnection(addr, initial string) (again bool) {
	if conn, err := net.DialTimeout("tcp", addr, awaitLimit); err == nil {
		c.mu.Lock()
		c.dials++
		c.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			io.WriteString(conn, initial)
			io.Copy(io.Discard, conn)
			close(ended)
		}()
		select {
		case <-ended:
		case <-c.stop:
		}
		conn.Close()
		<-ended
	}
	select {
	case <-c.stop:
		return false
	case <-time.After(reconnectDelay):
		return true
	}
}

// dialCount returns the number of connections opened so far.
func (c *idleClients) dialCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// stopAll closes all connections and waits for the clients to end. Further calls do nothing.
func (c *idleClients) stopAll() {
	c.once.Do(func() { close(c.stop) })
	c.wait.Wait()
}
