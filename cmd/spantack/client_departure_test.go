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

// A client leaves, in each way there is, while its request is at a server that then breaks off: the request is not
// sent on. Judged from the caches' request log: the request of another client that comes through afterwards tells that
// nothing is on its way before it, and once the process has ended nothing can follow. Half of them leave while the
// process ends. The other client asks once the router has noticed the break: a request that crosses it goes out on
// the breaking connection, and three that break off so shut their cache.
func TestLeftIsNotSentOn(t *testing.T) {
	t.Parallel()
	ways := map[string]func(*net.TCPConn){
		"cancel":     func(nc *net.TCPConn) { io.WriteString(nc, "\x93\x02\xa6cancel\x91\x02") },
		"close":      func(nc *net.TCPConn) { nc.Close() },
		"reset":      func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
		"half-close": func(nc *net.TCPConn) { nc.CloseWrite() },
	}
	for _, ending := range []bool{false, true} {
		t.Run(fmt.Sprintf("ending=%v", ending), func(t *testing.T) {
			t.Parallel()
			testwait.RetryIfStarved(t, func() error { return leaveInTurn(t, ways, ending) })
		})
	}
}

// errEnded is of a process that was told to end and has ended before all clients had left: that takes some 20 ms,
// and 3 s are left.
var errEnded = errors.New("the process has ended before all clients had left")

// leaveInTurn plays TestLeftIsNotSentOn with one process. All deadlines are far off, so that no request's time is
// over on a slow machine. Its error is what a machine that is too slow may be the cause of.
func leaveInTurn(t *testing.T, ways map[string]func(*net.TCPConn), ending bool) error {
	p, into := launch(t, true)
	io.WriteString(into, withLongDeadlines(p.text))
	into.Close()
	stays := p.connectReady()
	// This one keeps the process, and its connection, until it is answered.
	askWithTimeout(stays, 2, "00000000000000ff", longTimeout)
	p.await("GET 00000000000000ff")
	clients := map[string]*net.TCPConn{}
	if ending { // a process that ends takes no connections soon
		for name := range ways {
			clients[name] = p.connectReady()
		}
		p.signal(syscall.SIGTERM)
	}
	n := 0
	for name, leave := range ways {
		n++
		if !ending { // not before: a connection without a request is closed
			clients[name] = p.connectReady()
		}
		left, other := fmt.Sprintf("00000000000000a%d", n), fmt.Sprintf("00000000000000b%d", n)
		askWithTimeout(clients[name], 2, left, longTimeout)
		if !p.arrived("GET " + left) {
			return errEnded
		}
		leave(clients[name])
		// The connection is closed instead where the DROP does not get out soon.
		if !p.arrived("DROP "+left, "END "+left) {
			return errEnded
		}
		p.breakOff(left)
		askWithTimeout(stays, 2+n, other, longTimeout)
		if !p.arrived("GET " + other) {
			return errEnded
		}
	}
	if !ending {
		p.signal(syscall.SIGTERM)
	}
	answers, err := io.ReadAll(stays)
	if err != nil {
		t.Error(err)
	}
	stays.Close()
	p.awaitExit(testwait.StartStopwatch())
	last := 2 + n
	for ; n > 0; n-- {
		for _, ref := range []string{fmt.Sprintf("00000000000000a%d", n), fmt.Sprintf("00000000000000b%d", n)} {
			if times := p.count("GET " + ref); times != 1 {
				t.Errorf("%s sent %d times", ref, times)
			}
		}
	}
	return checkEachAnswered(answers, last)
}

// A client leaves while the connection to the cache that its request needs does not come up. When it does, the
// request is not sent on it: the first that the cache hears there is another client's.
func TestLeftBehindALateDial(t *testing.T) {
	t.Parallel()
	addr, open := fullListener(t)
	adminAddr := loopback.FreeAddress()
	p, into := launch(t, true, func(c *exec.Cmd) {
		c.Env = append(c.Env, "RELAY_MGMT="+adminAddr, "TMPDIR="+t.TempDir())
	})
	cacheAddrs := regexp.MustCompile(`("uid":"s-0000000[13]","endpoint":")[^"]*`)
	text := cacheAddrs.ReplaceAllString(p.text, "${1}"+addr)
	text = strings.Replace(text, `"DialTimeout":500000`, `"DialTimeout":20000000`, 1)
	io.WriteString(into, withLongDeadlines(text))
	into.Close()
	leaves := p.connectReady()
	askWithTimeout(leaves, 2, "00000000000000aa", longTimeout)
	awaitOutstanding(t, adminAddr, 1)
	leaves.Close()
	awaitOutstanding(t, adminAddr, 0)
	up := make(chan net.Conn, 32)
	go p.serveCache(&announcingListener{open(), up})
	// Nobody else dials: the system has tried for the first request again.
	late := testwait.Receive(t, up, "the late connection")
	stays := p.connectReady() // not before: one that says nothing for long is closed
	for i := range 6 {        // until one goes that way: the router may hear a moment later that it is up
		ref := fmt.Sprintf("00000000000000b%x", i)
		askWithTimeout(stays, 2+i, ref, longTimeout)
		p.await("GET " + ref)
		if p.isUsed(late) {
			break
		}
	}
	if !p.isUsed(late) {
		t.Error("nothing came on the late connection")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.requestLog, "GET 00000000000000aa"); i >= 0 {
		t.Errorf("sent when the connection came up (%d): %q", i, p.requestLog)
	}
}

// isUsed reports whether a request came on a connection to a cache.
func (p *routerProcess) isUsed(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(slices.Collect(maps.Values(p.conns)), nc)
}

// announcingListener passes on the connections that it has taken up.
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
