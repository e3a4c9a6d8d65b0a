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
	// maxRewatchTime is how long after the return of discovery the router may take until it watches it. It tries twice
	// a second or more; idle clients that have asked once are closed for that alone only after 6 s.
	maxRewatchTime = 3 * time.Second
	// maxTimeToServe is how long a client may take from then on until it is served, by the cache that was listed
	// meanwhile. From both the time is taken off for which the machine was short of CPUs.
	maxTimeToServe = 5 * time.Second
	// reconnectDelay is how long an idle client that was closed waits until it comes again.
	reconnectDelay = 500 * time.Millisecond
)

// outage is how discovery goes and comes back.
type outage struct {
	name                string
	whileAway, whenBack discovery.Mode
	duration            time.Duration // while idle clients come
	descriptorLimits    []int         // of descriptors, at which it is played
	// firstFrameDelay is how late the first frame comes once discovery is back.
	firstFrameDelay time.Duration
}

// A mute service leaves the router's connection open, so that no new watch has to follow.
func (o *outage) needsNewWatch() bool { return o.whileAway == discovery.Down }

var outages = []outage{
	{
		name: "down", whileAway: discovery.Down, whenBack: discovery.Serving, duration: time.Second,
		descriptorLimits: []int{64, 128, 256, 512, 1024},
	},
	// Long enough for the router to give up the silent connection and open others.
	{
		name: "mute", whileAway: discovery.Mute, whenBack: discovery.Serving, duration: 4 * time.Second,
		descriptorLimits: []int{64, 256, 1024},
	},
	{
		name: "down, then slow", whileAway: discovery.Down, whenBack: discovery.Slow, duration: time.Second,
		descriptorLimits: []int{64, 256, 1024}, firstFrameDelay: discovery.SlowFirstFrameDelay,
	},
}

// Idle clients, and such that send half a message and no more, come in greater numbers than the router may have
// descriptors, while discovery is away. Once it is back the router watches it again, learns that its caches have
// been replaced, and serves from the new one; the process has no more descriptors than its limit (RLIMIT_NOFILE)
// and does not crash.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	for _, away := range outages {
		for _, limit := range away.descriptorLimits {
			t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%d", away.name, limit), " ", "-"), func(t *testing.T) {
				t.Parallel()
				crowdWhileDiscoveryIsAway(t, &away, limit)
			})
		}
	}
}

func crowdWhileDiscoveryIsAway(t *testing.T, away *outage, limit int) {
	service, err := discovery.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	d := deploy(t, blueprint{
		caches: 2, sockets: limit, deadline: 2 * time.Second, discovery: service.Addr(), start: withDescriptorLimit(limit),
	})
	list := append(d.cacheEntries(stateReady, stateReady), entry(d.origin, originID, stateReady, kindOrigin))
	service.Publish(true, list...)
	testwait.Until(t, "the router's first watch", func() bool { return service.Watches() > 0 })
	if err := service.SetMode(away.whileAway); err != nil {
		t.Fatal(err)
	}

	crowd := gatherCrowd(d.listen, limit+limit/2)
	defer crowd.disperse()
	testwait.Until(t, "so many idle clients as the router has descriptors", func() bool {
		return crowd.connectionsMade() >= limit
	})
	testwait.Until(t, "idle clients hold the third of the descriptors that is theirs", func() bool {
		return countDescriptors(t, d.cmd.Process.Pid) >= limit/clientDescriptorDivisor
	})
	time.Sleep(away.duration)

	replacement, err := caches.Listen(caches.Options{ID: firstCache + 100, RequestLog: d.requests, FindServer: d.source})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replacement.Close)
	replaced := append(d.cacheEntries(stateGone, stateGone), entry(replacement, firstCache+100, stateReady, kindCache))
	service.Publish(false, replaced...)
	before := service.Watches()
	back := testwait.StartStopwatch()
	if err := service.SetMode(away.whenBack); err != nil {
		t.Fatal(err)
	}
	if away.needsNewWatch() {
		testwait.Until(t, "the watch after the return of discovery", func() bool { return service.Watches() > before })
		if took := back.Elapsed(); took > maxRewatchTime {
			t.Errorf("watched again %v after the return of discovery, %v are allowed", took, maxRewatchTime)
		}
	}
	if took, may := d.servedBy(replacement), maxTimeToServe+away.firstFrameDelay; took > may {
		t.Errorf("served by the cache that was listed meanwhile after %v, %v are allowed", took, may)
	}
	if open := countDescriptors(t, d.cmd.Process.Pid); open > limit {
		t.Errorf("%d descriptors, %d allowed", open, limit)
	}
	crowd.disperse()
	d.terminate(false)
	if text := d.stderr.String(); strings.Contains(text, "panic") {
		t.Errorf("log: %s", text)
	}
}

// States and kinds of servers, as the discovery service numbers them.
const (
	stateReady = 0
	stateGone  = 2
	kindCache  = 0
	kindOrigin = 1
)

// cacheEntries is the two caches of a deployment in these states, as the discovery service tells them.
func (d *deployment) cacheEntries(states ...byte) (entries []discovery.Endpoint) {
	for number, state := range states {
		entries = append(entries, entry(d.caches[number], uint32(firstCache+number), state, kindCache))
	}
	return entries
}

func entry(cache *caches.Server, id uint32, state, kind byte) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Addr: cache.Addr(), State: state, Kind: kind, Weight: 4}
}

// withDescriptorLimit starts a program that may have so many descriptors.
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

// countDescriptors counts those that a process has open.
func countDescriptors(t *testing.T, process int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// servedBy asks for new objects, on a new connection each time, as a client may whose connection was closed unread,
// until a request was served and this cache has had one. It returns how long that took, less the time for which the
// machine was short of CPUs.
func (d *deployment) servedBy(cache *caches.Server) time.Duration {
	d.t.Helper()
	begin := testwait.StartStopwatch()
	served, number := false, 0
	testwait.Until(d.t, "an object that is served, by "+cache.Name(), func() bool {
		number++
		served = d.ask(fmt.Sprintf("%016x", number)) == nil || served
		isFromCache := func(request caches.Request) bool { return request.Server == cache.Name() }
		return served && slices.ContainsFunc(d.requests.Requests(), isFromCache)
	})
	return begin.Elapsed()
}

// ask asks for an object once, and checks that it comes whole.
func (d *deployment) ask(ref string) error {
	conn, err := net.DialTimeout("tcp", d.listen, awaitLimit)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(d.plan.deadline))
	if _, err := conn.Write(request(2, ref, d.plan.deadline, 0)); err != nil {
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
		return errors.Join(err, fmt.Errorf("%.40q came of %d bytes", got[:n], len(want)))
	}
	return nil
}

// crowd are clients that hold connections and ask for nothing.
type crowd struct {
	stop chan struct{}
	once sync.Once
	wait sync.WaitGroup

	mu    sync.Mutex
	dials int
}

// beginnings are what idle clients send: nothing, half a message, or a whole one, after which they rest for as long
// as they may.
var beginnings = []string{"", "\x94\x00\x02\xa4pa", wholeMessage, wholeMessage + "\x94", wholeMessage, wholeMessage}

const wholeMessage = "\x94\x00\x01\xa6health\x91\x80"

// gatherCrowd lets so many clients come, and come again once they were closed.
func gatherCrowd(addr string, clients int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for number := range clients {
		c.wait.Go(func() {
			for c.visit(addr, beginnings[number%len(beginnings)]) {
			}
		})
	}
	return c
}

// visit holds a connection until the router closes it. It is false at the end of the crowd.
func (c *crowd) visit(addr, beginning string) (again bool) {
	if conn, err := net.DialTimeout("tcp", addr, awaitLimit); err == nil {
		c.mu.Lock()
		c.dials++
		c.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			io.WriteString(conn, beginning)
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

// connectionsMade is how many connections were made so far.
func (c *crowd) connectionsMade() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// disperse ends all connections of the crowd.
func (c *crowd) disperse() {
	c.once.Do(func() { close(c.stop) })
	c.wait.Wait()
}
