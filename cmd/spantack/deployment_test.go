package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"spantack/internal/loopback"
	"spantack/internal/testwait"
	caches "spantack/standin/cache"
)

// awaitLimit ends every wait of a test that the router, a client or a stand-in should end by itself.
const awaitLimit = 20 * time.Second

// blueprint describes a deployment of one router.
type blueprint struct {
	caches    int
	sockets   int           // the router's limit on descriptors
	deadline  time.Duration // of both classes
	discovery string        // its address; empty: nobody listens there
	cache     func(number int, opt *caches.Options)
	script    func(caches.Request) caches.Fault
	start     func(*exec.Cmd) error // starts the router; nil: as usual
}

// deployment is a router process among stand-ins, with the log of the requests that reached the edge caches.
type deployment struct {
	t        *testing.T
	plan     blueprint
	cmd      *exec.Cmd
	listen   string
	stderr   *bytes.Buffer
	requests *caches.RequestLog
	origin   *caches.Server
	caches   []*caches.Server
	exited   chan error
}

// Server ids of a deployment: the caches are numbered from firstCache on.
const (
	originID   = 1
	firstCache = 2
)

// deploy starts the caches and the router, and returns once the router takes requests.
func deploy(t *testing.T, plan blueprint) *deployment {
	t.Helper()
	d := &deployment{
		t:        t,
		plan:     plan,
		listen:   loopback.FreeAddress(),
		stderr:   &bytes.Buffer{},
		requests: caches.NewRequestLog(),
		exited:   make(chan error, 1),
	}
	origin, err := caches.Listen(caches.Options{ID: originID, IsOrigin: true, RequestLog: d.requests})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(origin.Close)
	d.origin = origin
	for number := range plan.caches {
		opt := caches.Options{ID: uint32(firstCache + number), RequestLog: d.requests, InjectFault: plan.script,
			FindServer: d.source}
		if plan.cache != nil {
			plan.cache(number, &opt)
		}
		cache, err := caches.Listen(opt)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cache.Close)
		d.caches = append(d.caches, cache)
	}
	if d.plan.discovery == "" {
		d.plan.discovery = loopback.FreeAddress()
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, d.configuration(), 0o600); err != nil {
		t.Fatal(err)
	}
	d.cmd = routerCommand(d.listen, config)
	d.cmd.Stderr = d.stderr
	start := (*exec.Cmd).Start
	if plan.start != nil {
		start = plan.start
	}
	if err := start(d.cmd); err != nil {
		t.Fatal(err)
	}
	go func() { d.exited <- d.cmd.Wait() }()
	t.Cleanup(func() { d.cmd.Process.Kill() })
	testwait.Until(t, "the router's answer on its health", d.answersReady)
	return d
}

// answersReady asks for the router's state on a new connection. It is false where the router closed that one
// unanswered, as it does with a client that says nothing for long: this process may be that client on a machine
// that is starved. Any other answer than that it is ready ends the test.
func (d *deployment) answersReady() bool {
	d.t.Helper()
	c := d.connect()
	defer c.Close()
	c.askHealth(1)
	got := c.readHealth(1)
	if got == io.EOF.Error() {
		return false
	}
	if got != "ready" {
		d.t.Fatalf("health: %s", got)
	}
	return true
}

// configuration is the router's, with the origin and the caches known from the start.
func (d *deployment) configuration() []byte {
	type entry map[string]any
	target := func(server *caches.Server, kind string) entry {
		return entry{
			"uid": server.Name(), "endpoint": server.Addr().String(), "az": "east", "model": kind, "state": "Ready",
			"capacity_hint": 4,
		}
	}
	targets := []entry{target(d.origin, "origin")}
	for _, cache := range d.caches {
		targets = append(targets, target(cache, "box"))
	}
	micros := d.plan.deadline.Microseconds()
	text, err := json.Marshal(entry{
		"seed": "01", "limits": entry{"memory_mb": 192, "sockets": d.plan.sockets}, "board": d.plan.discovery,
		"known": entry{"rev": 1, "notices": []entry{{"rev": 1, "pool": entry{"all": true, "targets": targets}}}},
		"settings": entry{
			"Classes": []entry{{
				"Name": "page", "Deadline": micros, "Promise": micros, "Gain": 1, "Idempotency": "read_like", "Group": "all",
			}},
			"Extra":       entry{"MasterKind": 1, "ShieldKind": -1, "NotesGiven": "all"},
			"Kinds":       []string{"box", "origin"},
			"Permissions": entry{"MaxAttempts": 8, "DialTimeout": 20_000_000, "MaxStreams": 32},
			"Zone":        "east",
			"Zones":       []string{"east"},
		},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	return text
}

// source is where caches fill a miss from: the origin holds everything.
func (d *deployment) source(string) *caches.Server { return d.origin }

func (d *deployment) signal(s syscall.Signal) {
	d.t.Helper()
	if err := d.cmd.Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

// terminate tells the router to end, unless it was told before, and returns once the caches have read all that it
// sent: from then on their log is complete.
func (d *deployment) terminate(told bool) {
	d.t.Helper()
	if !told {
		d.signal(syscall.SIGTERM)
	}
	select {
	case err := <-d.exited:
		if err != nil {
			d.t.Errorf("the router ended with %v; log: %s", err, d.stderr)
		}
	case <-time.After(awaitLimit):
		d.t.Fatal("the router does not end after SIGTERM")
	}
	testwait.Until(d.t, "the end of all connections to the caches", func() bool {
		for _, cache := range d.caches {
			if _, open, _ := cache.Connections(); open > 0 {
				return false
			}
		}
		return true
	})
}

// caller is a client's connection.
type caller struct {
	*net.TCPConn
	t *testing.T
}

// connect opens a client's connection, once the router listens.
func (d *deployment) connect() *caller {
	d.t.Helper()
	var conn net.Conn
	testwait.Until(d.t, "a connection to the router", func() (up bool) {
		var err error
		conn, err = net.DialTimeout("tcp", d.listen, awaitLimit)
		return err == nil
	})
	d.t.Cleanup(func() { conn.Close() })
	return &caller{TCPConn: conn.(*net.TCPConn), t: d.t}
}

// request is a message that asks for a page, with a body of so many bytes.
func request(id byte, ref string, allow time.Duration, body int) []byte {
	message := append([]byte{0x94, 0, id}, "\xa4page\x92\x83"...)
	for _, field := range [][2]string{{"ref", ref}, {"allow", fmt.Sprint(allow.Milliseconds())}, {"lookup", ref}} {
		for _, text := range field {
			message = append(append(message, 0xa0|byte(len(text))), text...)
		}
	}
	message = append(message, 0xc5, byte(body>>8), byte(body))
	return append(message, bytes.Repeat([]byte("x"), body)...)
}

// askHealth asks for the router's state. When the answer comes the router has read all that was written before.
func (c *caller) askHealth(id byte) {
	fmt.Fprintf(c, "\x94\x00%c\xa6health\x91\x80", id) // where this fails no answer comes
}

// readHealth waits for the answer to askHealth: "ready", "not ready", or what came instead.
func (c *caller) readHealth(id byte) string {
	c.SetReadDeadline(time.Now().Add(awaitLimit))
	got := make([]byte, 7)
	if _, err := io.ReadFull(c, got); err != nil {
		return err.Error()
	}
	switch string(got) {
	case fmt.Sprintf("\x94\x01%c\xc0\x92\xc3\x80", id):
		return "ready"
	case fmt.Sprintf("\x94\x01%c\xc0\x92\xc2\x80", id):
		return "not ready"
	}
	return fmt.Sprintf("%q", got)
}
