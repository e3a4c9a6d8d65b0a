package process

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"spantack/internal/msgpackrpc"
	"spantack/internal/router"
)

const (
	// attackDuration is longer than the 2 s that a router gives an unfinished message.
	attackDuration = 4 * time.Second
	// attackWriteTimeout bounds one write of a bad client.
	attackWriteTimeout = 500 * time.Millisecond
	// memoryPollInterval is the time between two samples of a router's memory.
	memoryPollInterval = 5 * time.Millisecond
	kilobytesPerMB     = 1024
)

// badClient is a kind of bad client: the parameters of a request that it begins, and how much of them it writes.
type badClient struct {
	begin string // written once on each connection
	again string // written after it, until the router closes the connection; empty: the client stops
}

// Beginnings of requests.
const (
	badRequest = "\x94\x00\x01\xacscreen-video"
	array64    = "\xdc\x00\x40"
	// endlessArrays begins arrays in arrays, which leave room for 64^3 values of up to two more levels.
	endlessArrays = badRequest + array64 + array64 + array64
)

// badClients are clients with endless and unfinished messages. All that they write is valid MessagePack.
var badClients = []badClient{
	{begin: endlessArrays, again: array64 + strings.Repeat("\x9f"+strings.Repeat("\x80", 15), 64)},
	{begin: endlessArrays, again: array64 + strings.Repeat("\xde\x00\x40"+strings.Repeat("\xa1k\x01", 64), 64)},
	{begin: endlessArrays, again: array64 + strings.Repeat("\xda\x03\xe8"+strings.Repeat("x", 1000), 64)},
	{begin: badRequest + "\x92\x80\xc6\x00\x00\xbb\x80" + strings.Repeat("b", 47_000)}, // a body without its end
	{begin: badRequest + "\x92\xde\x00\x40" + strings.Repeat("\xa1k\x01", 60)},         // a map without its end
	{begin: badRequest + "\x92\xdb\x00\x00\xbb\x80" + strings.Repeat("s", 47_000)},     // a string without its end
}

// attack opens a connection, and another whenever the router has closed one, until ctx ends.
func (b badClient) attack(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", addr, attackWriteTimeout)
		if err != nil {
			continue
		}
		b.write(ctx, conn)
		conn.Close()
	}
}

// write writes to one connection until the router closes it or ctx ends.
func (b badClient) write(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_, err := conn.Write([]byte(b.begin))
	for err == nil && b.again != "" {
		_ = conn.SetWriteDeadline(time.Now().Add(attackWriteTimeout))
		_, err = conn.Write([]byte(b.again))
	}
	if err == nil {
		_, _ = conn.Read(make([]byte, 1)) // until the router closes the connection
	}
}

// memoryPeak samples the anonymous resident memory of a process until ctx ends, and returns the highest value in MB.
func memoryPeak(ctx context.Context, pid int) (peak float64) {
	for ctx.Err() == nil {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return peak
		}
		for line := range bytes.Lines(text) {
			fields := strings.Fields(string(line))
			if len(fields) > 1 && fields[0] == "RssAnon:" {
				kilobytes, _ := strconv.ParseFloat(fields[1], 64)
				peak = max(peak, kilobytes/kilobytesPerMB)
			}
		}
		time.Sleep(memoryPollInterval)
	}
	return peak
}

// Guards against bad clients that together put a router over its memory limit, with endless or unfinished messages on
// as many connections as the router takes and more. The limits are the smallest and largest that the platform sets. The
// router must not exit, and must serve usual clients again afterwards.
func TestBadClientsStayWithinTheMemoryLimit(t *testing.T) {
	for _, limits := range []struct{ memoryMB, sockets, clients int }{{32, 1024, 500}, {192, 1024, 1000}} {
		t.Run(fmt.Sprintf("%d MB", limits.memoryMB), func(t *testing.T) {
			d := startWithLimits(t, limits.memoryMB, limits.sockets, Options{EdgeCaches: 2})
			peak := attackRouter(t, d.Routers[0], limits.clients)
			if peak > float64(limits.memoryMB) {
				t.Errorf("%.1f MB of memory, want at most %d", peak, limits.memoryMB)
			}
			t.Logf("peak %.1f MB", peak)
			waitUntil(t, "a request to be served after the attack", func() bool { return serveOne(t, d.Routers[0]) })
		})
	}
}

// attackRouter lets bad clients of all kinds attack a router for attackDuration, and returns the peak of its memory in
// MB. It fails the test if the router exits.
func attackRouter(t *testing.T, r *Router, clients int) (peak float64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), attackDuration)
	defer cancel()
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { badClients[i%len(badClients)].attack(ctx, r.Addr) })
	}
	peak = memoryPeak(ctx, r.cmd.Process.Pid)
	running.Wait()
	select {
	case <-r.exited:
		t.Fatalf("the router exited: %v: %s", r.exitErr, readLog(t, r))
	default:
	}
	return peak
}

// serveOne reports whether the router serves a request on a new connection.
func serveOne(t *testing.T, r *Router) bool {
	client, err := msgpackrpc.Dial(r.Addr, readyDialTimeoutMillis)
	if err != nil {
		return false
	}
	defer client.Close()
	response, err := client.Do(contextWithLimit(t, callTimeout, "a response"), router.Request{
		Class: classVideo, ID: "9b1f03aa5c7e2d41", Object: "7f3a9c21e0b4d655", ClientTimeout: 3000, SizeKB: 100,
	})
	return err == nil && response.Outcome == router.Served
}
