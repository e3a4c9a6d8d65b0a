package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"spantack/internal/loopback"
	"spantack/internal/testwait"
)

// Guards against a retry for a client that has left. The client leaves in one of several ways while its request is at a
// cache. The cache then closes the connection.
func TestNoRetryAfterClientLeaves(t *testing.T) {
	t.Parallel()
	ways := map[string]func(*net.TCPConn){
		"cancel":     func(nc *net.TCPConn) { io.WriteString(nc, "\x93\x02\xa6cancel\x91\x02") },
		"close":      func(nc *net.TCPConn) { nc.Close() },
		"reset":      func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
		"half-close": func(nc *net.TCPConn) { nc.CloseWrite() },
	}
	for _, isShuttingDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("shutting-down=%v", isShuttingDown), func(t *testing.T) {
			t.Parallel()
			testwait.RetryIfStarved(t, func() error { return leaveDuringAttempts(t, ways, isShuttingDown) })
		})
	}
}

// errEndedEarly is returned if the process exits after SIGTERM before all clients have left. This happens only on a
// very slow machine, since the clients need about 20 ms and the process runs for 3 s.
var errEndedEarly = errors.New("the process exited before all clients had left")

// leaveDuringAttempts runs TestNoRetryAfterClientLeaves with one process, and one client after the other. Long
// deadlines keep requests from timing out on a slow machine. Failures that a slow machine may cause are returned as
// errors.
func leaveDuringAttempts(t *testing.T, ways map[string]func(*net.TCPConn), isShuttingDown bool) error {
	p, configPipe := launch(t, true)
	io.WriteString(configPipe, withLongDeadlines(p.text))
	configPipe.Close()
	remaining := p.connectReady()
	// The process and the connection stay until this request has its response.
	askWithTimeout(remaining, 2, "00000000000000ff", longTimeout)
	p.await("GET 00000000000000ff")
	clients := map[string]*net.TCPConn{}
	if isShuttingDown { // soon after SIGTERM the process accepts no more connections
		for name := range ways {
			clients[name] = p.connectReady()
		}
		p.signal(syscall.SIGTERM)
	}
	n := 0
	for name, leave := range ways {
		n++
		if !isShuttingDown { // not earlier: the router closes idle connections after a while
			clients[name] = p.connectReady()
		}
		left, other := fmt.Sprintf("00000000000000a%d", n), fmt.Sprintf("00000000000000b%d", n)
		askWithTimeout(clients[name], 2, left, longTimeout)
		if !p.awaitAny("GET " + left) {
			return errEndedEarly
		}
		leave(clients[name])
		// If the router can't write the DROP in time, it closes the connection instead.
		if !p.awaitAny("DROP "+left, "END "+left) {
			return errEndedEarly
		}
		// A request sent before the router has noticed the closed connection would go out on it, and three such failures
		// open the cache's circuit breaker.
		p.closeFromCache(left)
		// The router must still send this request. Requests are counted after the process has exited, when no retry can
		// follow.
		askWithTimeout(remaining, 2+n, other, longTimeout)
		if !p.awaitAny("GET " + other) {
			return errEndedEarly
		}
	}
	if !isShuttingDown {
		p.signal(syscall.SIGTERM)
	}
	answers, err := io.ReadAll(remaining)
	if err != nil {
		t.Error(err)
	}
	remaining.Close()
	p.awaitExit(testwait.StartStopwatch())
	last := 2 + n
	for ; n > 0; n-- {
		for _, ref := range []string{fmt.Sprintf("00000000000000a%d", n), fmt.Sprintf("00000000000000b%d", n)} {
			if times := p.count("GET " + ref); times != 1 {
				t.Errorf("request %s was sent %d times, want once", ref, times)
			}
		}
	}
	return checkEachAnswered(answers, last)
}

// Guards against sending the request of a client that left while the connection to the cache was being established.
// Once the connection is up, the first request on it must be another client's.
func TestNoAttemptOnLateConnectionAfterClientLeaves(t *testing.T) {
	t.Parallel()
	addr, open := fullListener(t)
	adminAddr := loopback.FreeAddress()
	p, configPipe := launch(t, true, func(c *exec.Cmd) {
		c.Env = append(c.Env, "RELAY_MGMT="+adminAddr, "TMPDIR="+t.TempDir())
	})
	cacheAddrs := regexp.MustCompile(`("uid":"s-0000000[13]","endpoint":")[^"]*`)
	text := cacheAddrs.ReplaceAllString(p.text, "${1}"+addr)
	text = strings.Replace(text, `"DialTimeout":500000`, `"DialTimeout":20000000`, 1)
	io.WriteString(configPipe, withLongDeadlines(text))
	configPipe.Close()
	departing := p.connectReady()
	askWithTimeout(departing, 2, "00000000000000aa", longTimeout)
	awaitOutstanding(t, adminAddr, 1)
	departing.Close()
	awaitOutstanding(t, adminAddr, 0)
	up := make(chan net.Conn, 32)
	go p.serveCache(&announcingListener{open(), up})
	// This is the connection for the first request, established by a retransmitted SYN; no other connection is being
	// dialed.
	late := testwait.Receive(t, up, "the late connection")
	remaining := p.connectReady() // not earlier: the router soon closes a connection without a message
	// Send requests until one uses the late connection. The router may notice this connection only after a moment.
	for i := range 6 {
		ref := fmt.Sprintf("00000000000000b%x", i)
		askWithTimeout(remaining, 2+i, ref, longTimeout)
		p.await("GET " + ref)
		if p.isUsed(late) {
			break
		}
	}
	if !p.isUsed(late) {
		t.Error("no request was sent on the late connection")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.requestLog, "GET 00000000000000aa"); i >= 0 {
		t.Errorf("request of the client that had left was sent (entry %d): %q", i, p.requestLog)
	}
}

// isUsed reports whether a request arrived on a connection to a cache.
func (p *routerProcess) isUsed(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(slices.Collect(maps.Values(p.conns)), nc)
}

// announcingListener also sends each accepted connection to a channel.
type announcingListener struct {
	net.Listener
	up chan<- net.Conn
}

func (l *announcingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		l.up <- nc
	}
	return nc, err
}
