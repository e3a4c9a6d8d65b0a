package process

import (
	"context"
	"flag"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"spantack/internal/router"
)

// sweepMemory makes TestAllKindsOfClientsStayWithinTheMemoryLimit play each kind of client alone too, at all sizes.
var sweepMemory = flag.Bool("memory-sweep", false, "play all kinds, numbers of clients and memory limits")

// clientKind is a kind of client, by name. run uses one connection, until the router closes it or ctx ends. number
// is different for each call.
type clientKind struct {
	name string
	run  func(ctx context.Context, conn net.Conn, number int64)
}

// slowWriteInterval is the time between two bytes of a slow writer.
const slowWriteInterval = 20 * time.Millisecond

// clientKinds returns the kinds of clients that make a router hold memory.
func clientKinds() []clientKind {
	kinds := []clientKind{
		{"silent", func(_ context.Context, conn net.Conn, _ int64) { awaitClose(conn) }},
		{"slow writer", writeSlowly},
		{"many short fields", func(ctx context.Context, conn net.Conn, number int64) {
			flood(ctx, conn, number, func(id, _ int64) string {
				pairs := ""
				for i := range 64 {
					pairs += fmt.Sprintf("\xa2%02x\xa1v", i)
				}
				return messageHead(id) + "\x92\xde\x00\x40" + pairs + "\xc4\x00"
			})
		}},
		{"reads nothing", func(ctx context.Context, conn net.Conn, number int64) {
			for id := range int64(32) {
				if _, err := conn.Write([]byte(readRequest(id+1, number<<8|id))); err != nil {
					return
				}
			}
			<-ctx.Done()
		}},
		{"sends and cancels", func(ctx context.Context, conn net.Conn, number int64) {
			flood(ctx, conn, number, func(id, ref int64) string {
				return bodyRequest(id, ref, 47_000) + fmt.Sprintf("\x93\x02\xa6cancel\x91\xce%s", bigEndian32(id))
			})
		}},
		{"leaves at once", func(_ context.Context, conn net.Conn, number int64) {
			for id := range int64(32) {
				if _, err := conn.Write([]byte(readRequest(id+1, number<<8|id))); err != nil {
					return
				}
			}
		}},
		{"malformed", func(_ context.Context, conn net.Conn, _ int64) {
			if _, err := conn.Write([]byte("\xc1")); err == nil {
				awaitClose(conn)
			}
		}},
	}
	for i, b := range badClients {
		kinds = append(kinds, clientKind{fmt.Sprintf("message without end %d", i),
			func(ctx context.Context, conn net.Conn, _ int64) { b.write(ctx, conn) }})
	}
	return kinds
}

// awaitClose reads until the router closes the connection.
func awaitClose(conn net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

func bigEndian32(v int64) string {
	return string([]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
}

// messageHead returns the start of a request, up to its parameters.
func messageHead(id int64) string { return "\x94\x00\xce" + bigEndian32(id) + "\xacscreen-video" }

// readRequest returns a request for an object of its own.
func readRequest(id, ref int64) string {
	return messageHead(id) + fmt.Sprintf("\x92\x83\xa3ref\xb0%016x\xa5allow\xa46000\xa6lookup\xb0%016x\xc4\x00", ref, ref)
}

// bodyRequest returns a request with a body of size bytes.
func bodyRequest(id, ref int64, size int) string {
	head := messageHead(id) + fmt.Sprintf("\x92\x83\xa3ref\xb0%016x\xa5allow\xa46000\xa6lookup\xb0%016x\xc5", ref, ref)
	return head + string([]byte{byte(size >> 8), byte(size)}) + strings.Repeat("b", size)
}

// flood writes messages at full speed and reads all responses.
func flood(ctx context.Context, conn net.Conn, number int64, message func(id, ref int64) string) {
	go awaitClose(conn)
	for id := int64(1); ctx.Err() == nil; id++ {
		if _, err := conn.Write([]byte(message(id, number<<24|id))); err != nil {
			return
		}
	}
}

// writeSlowly writes a large request byte by byte.
func writeSlowly(ctx context.Context, conn net.Conn, number int64) {
	message := bodyRequest(1, number, 47_000)
	if _, err := conn.Write([]byte(message[:40_000])); err != nil {
		return
	}
	for i := 40_000; i < len(message) && ctx.Err() == nil; i++ {
		if _, err := conn.Write([]byte(message[i : i+1])); err != nil {
			return
		}
		time.Sleep(slowWriteInterval)
	}
}

// runClients runs clients of the given kinds in turn until ctx ends. Each opens a new connection when one has ended.
func runClients(
	ctx context.Context, addr string, kinds []clientKind, clients int, number *atomic.Int64,
) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range clients {
		kind := kinds[i%len(kinds)]
		running.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", addr, attackWriteTimeout)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				kind.run(ctx, conn, number.Add(1))
				stop()
				conn.Close()
			}
		})
	}
	return &running
}

// usualTally counts what usual clients got.
type usualTally struct{ served, rejected, failed, lost atomic.Int64 }

// String returns the counts for logs.
func (u *usualTally) String() string {
	return fmt.Sprintf("served %d, rejected %d, failed %d, lost %d",
		u.served.Load(), u.rejected.Load(), u.failed.Load(), u.lost.Load())
}

// runUsualClients runs clients that each keep `open` requests open until ctx ends.
func runUsualClients(
	ctx context.Context, addr string, clients, open int, number *atomic.Int64,
) (*usualTally, *sync.WaitGroup) {
	var running sync.WaitGroup
	tally := &usualTally{}
	for range clients {
		client := &loadClient{addr: addr, reconnects: true}
		var requests sync.WaitGroup
		for range open {
			requests.Go(func() { requestUntilEnd(ctx, client, number, tally) })
		}
		running.Go(func() {
			requests.Wait()
			client.close()
		})
	}
	return tally, &running
}

// usualTimeout bounds the wait of a usual client for its final response: its time limit and a margin.
const usualTimeout = 7 * time.Second

// requestUntilEnd sends one request after another until ctx ends. Each is for an object of its own. After a response
// other than served it waits for a while, as clients do.
func requestUntilEnd(ctx context.Context, client *loadClient, number *atomic.Int64, tally *usualTally) {
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", number.Add(1))
		request := router.Request{Class: classVideo, ID: id, Object: id, ClientTimeout: 6000, SizeKB: 250}
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), usualTimeout)
		response, _, err := client.send(call, request)
		cancel()
		switch {
		case err != nil:
			tally.lost.Add(1)
		case response.Outcome == router.Served:
			tally.served.Add(1)
			continue
		case response.Outcome == router.Rejected:
			tally.rejected.Add(1)
		default:
			tally.failed.Add(1)
		}
		time.Sleep(retryPause)
	}
}

// retryPause is the time that a usual client waits after a response other than served.
const retryPause = 50 * time.Millisecond

// startWithLimits starts a deployment of one router, which has the given limits.
func startWithLimits(t *testing.T, memoryMB, sockets int, options Options) *Deployment {
	t.Helper()
	options.Routers = 1
	d := startDeployment(t, options)
	useLimits := func(doc map[string]any) {
		doc["limits"] = map[string]any{"memory_mb": memoryMB, "sockets": sockets}
	}
	if err := d.Configure(0, useLimits); err != nil {
		t.Fatal(err)
	}
	if err := d.Routers[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(contextWithLimit(t, routerTimeout, "the restart"), 0); err != nil {
		t.Fatal(err)
	}
	return d
}

// memoryTime is how long the clients of a scenario run. It is longer than the 2 s that a router gives an unfinished
// message.
const memoryTime = 3 * time.Second

// memoryScenario is a memory limit, and clients of some kinds beside the usual ones.
type memoryScenario struct {
	name     string
	memoryMB int
	clients  int
	kinds    []clientKind
}

// memoryScenarios returns the scenarios of a run of all tests, or those of a sweep.
func memoryScenarios() (scenarios []memoryScenario) {
	all := clientKinds()
	if !*sweepMemory {
		return []memoryScenario{
			{"usual clients alone", 32, 0, nil},
			{"all kinds", 32, 300, all},
			{"all kinds", 32, 600, all},
			{"all kinds", 192, 600, all},
		}
	}
	for _, memoryMB := range []int{32, 64, 192} {
		scenarios = append(scenarios, memoryScenario{"usual clients alone", memoryMB, 0, nil})
		for _, clients := range []int{100, 300, 600} {
			scenarios = append(scenarios, memoryScenario{"all kinds", memoryMB, clients, all})
			for _, kind := range all {
				scenarios = append(scenarios, memoryScenario{kind.name, memoryMB, clients, []clientKind{kind}})
			}
		}
	}
	return scenarios
}

// Guards against a router that passes its memory limit and is killed: clients of all kinds that make it hold memory, as
// many as it takes and more, beside usual clients that keep 384 requests for the largest objects open (review case 6). It
// must not exit, must serve meanwhile, and must give each usual client that has no others beside it a final response.
func TestAllKindsOfClientsStayWithinTheMemoryLimit(t *testing.T) {
	const sockets, clients, openRequests = 1024, 12, 32
	for _, s := range memoryScenarios() {
		t.Run(fmt.Sprintf("%s/%d MB/%d", s.name, s.memoryMB, s.clients), func(t *testing.T) {
			d := startWithLimits(t, s.memoryMB, sockets, Options{EdgeCaches: 4, BodySize: largestBody})
			r := d.Routers[0]
			ctx, cancel := context.WithTimeout(t.Context(), memoryTime)
			defer cancel()
			var number atomic.Int64
			others := runClients(ctx, r.Addr, s.kinds, s.clients, &number)
			tally, usual := runUsualClients(ctx, r.Addr, clients, openRequests, &number)
			peak := memoryPeak(ctx, r.cmd.Process.Pid)
			others.Wait()
			usual.Wait()
			t.Logf("peak %.1f MB; usual clients: %v", peak, tally)
			if peak > float64(s.memoryMB) {
				t.Errorf("%.1f MB of memory, want at most %d", peak, s.memoryMB)
			}
			if s.clients == 0 && tally.lost.Load() > 0 {
				t.Errorf("usual clients alone: %v", tally)
			}
			select {
			case <-r.exited:
				t.Fatalf("the router exited: %v: %s", r.exitErr, readLog(t, r))
			default:
			}
			waitUntil(t, "a request to be served afterwards", func() bool { return serveOne(t, r) })
		})
	}
}
