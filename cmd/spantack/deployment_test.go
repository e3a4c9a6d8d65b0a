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

// awaitLimit bounds each wait for the router, a client or a fake server.
const awaitLimit = 20 * time.Second

// deploymentOptions describes a deployment of one router.
type deploymentOptions struct {
	caches      int
	sockets     int           // the router's limit on descriptors
	deadline    time.Duration // deadline of the class
	discovery   string        // address of the discovery service; empty if there is none
	cache       func(number int, opt *caches.Options)
	injectFault func(caches.Request) caches.Fault
	start       func(*exec.Cmd) error // starts the router; nil means (*exec.Cmd).Start
}

// deployment is a router process with fake servers, and a log of the requests that reached them.
type deployment struct {
	t        *testing.T
	options  deploymentOptions
	cmd      *exec.Cmd
	listen   string
	stderr   *logBuffer
	requests *caches.RequestLog
	origin   *caches.Server
	caches   []*caches.Server
	exited   chan error
}

// Ids of servers. Those of caches start at firstCache.
const (
	originID   = 1
	firstCache = 2
)

// deploy starts the servers and the router, and returns once the router is ready.
func deploy(t *testing.T, options deploymentOptions) *deployment {
	t.Helper()
	d := &deployment{
		t:        t,
		options:  options,
		listen:   loopback.FreeAddress(),
		stderr:   &logBuffer{},
		requests: caches.NewRequestLog(),
		exited:   make(chan error, 1),
	}
	origin, err := caches.Listen(caches.Options{ID: originID, IsOrigin: true, RequestLog: d.requests})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(origin.Close)
	d.origin = origin
	for number := range options.caches {
		opt := caches.Options{ID: uint32(firstCache + number), RequestLog: d.requests, InjectFault: options.injectFault,
			FindServer: d.fillSource}
		if options.cache != nil {
			options.cache(number, &opt)
		}
		cache, err := caches.Listen(opt)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cache.Close)
		d.caches = append(d.caches, cache)
	}
	if d.options.discovery == "" {
		d.options.discovery = loopback.FreeAddress()
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, d.configuration(), 0o600); err != nil {
		t.Fatal(err)
	}
	d.cmd = routerCommand(d.listen, config)
	d.cmd.Stderr = d.stderr
	start := (*exec.Cmd).Start
	if options.start != nil {
		start = options.start
	}
	if err := start(d.cmd); err != nil {
		t.Fatal(err)
	}
	go func() { d.exited <- d.cmd.Wait() }()
	t.Cleanup(func() { d.cmd.Process.Kill() })
	testwait.Until(t, "the router to report that it is ready", d.answersReady)
	return d
}

// answersReady makes a health call on a new connection, and reports whether the router is ready. It returns false if
// the router closes the connection without a response: it closes idle connections, and on a slow machine the call may
// come too late. A response other than ready fails the test.
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

// configuration returns the router's configuration, whose initial events list the origin and the caches.
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
	micros := d.options.deadline.Microseconds()
	text, err := json.Marshal(entry{
		"seed": "01", "limits": entry{"memory_mb": 192, "sockets": d.options.sockets}, "board": d.options.discovery,
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

// fillSource returns the server from which caches fill after a miss, which is always the origin.
func (d *deployment) fillSource(string) *caches.Server { return d.origin }

func (d *deployment) signal(s syscall.Signal) {
	d.t.Helper()
	if err := d.cmd.Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

// terminate sends SIGTERM, unless that has been sent, and waits until the router has exited and the caches have read
// all that it sent. Their log is then complete.
func (d *deployment) terminate(isSignaled bool) {
	d.t.Helper()
	if !isSignaled {
		d.signal(syscall.SIGTERM)
	}
	select {
	case err := <-d.exited:
		if err != nil {
			d.t.Errorf("the router exited with %v; log: %s", err, d.stderr)
		}
	case <-time.After(awaitLimit):
		d.t.Fatalf("the router did not exit after SIGTERM; %s", d.describeHang())
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

// describeHang returns what the router's process does: its state according to the system, and its log with the stacks of
// all goroutines, which SIGQUIT makes it write before it exits.
func (d *deployment) describeHang() string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return "its process has ended: " + err.Error()
	}
	d.signal(syscall.SIGQUIT)
	select {
	case <-d.exited:
	case <-time.After(awaitLimit):
	}
	return fmt.Sprintf("process: %s; log: %s", status, d.stderr)
}

// clientConn is a client's connection to the router.
type clientConn struct {
	*net.TCPConn
	t *testing.T
}

// connect opens a client connection, as soon as the router listens.
func (d *deployment) connect() *clientConn {
	d.t.Helper()
	var conn net.Conn
	testwait.Until(d.t, "a connection to the router", func() (up bool) {
		var err error
		conn, err = net.DialTimeout("tcp", d.listen, awaitLimit)
		return err == nil
	})
	d.t.Cleanup(func() { conn.Close() })
	return &clientConn{TCPConn: conn.(*net.TCPConn), t: d.t}
}

// request returns an encoded request of class page. timeout is the client's; body is the size of the body in bytes.
func request(id byte, ref string, timeout time.Duration, body int) []byte {
	message := append([]byte{0x94, 0, id}, "\xa4page\x92\x83"...)
	for _, field := range [][2]string{{"ref", ref}, {"allow", fmt.Sprint(timeout.Milliseconds())}, {"lookup", ref}} {
		for _, text := range field {
			message = append(append(message, 0xa0|byte(len(text))), text...)
		}
	}
	message = append(message, 0xc5, byte(body>>8), byte(body))
	return append(message, bytes.Repeat([]byte("x"), body)...)
}

// askHealth sends a health call. Once its response arrives, the router has read all that was sent before.
func (c *clientConn) askHealth(id byte) {
	fmt.Fprintf(c, "\x94\x00%c\xa6health\x91\x80", id) // after an error no response arrives
}

// readHealth waits for the response to askHealth. It returns "ready", "not ready", the error, or the quoted bytes of
// another response.
func (c *clientConn) readHealth(id byte) string {
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
