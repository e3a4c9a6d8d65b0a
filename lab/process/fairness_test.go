package process

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"spantack/internal/router"
	"spantack/internal/testwait"
)

// sweepFairness makes TestOneClientDoesNotCrowdOutOthers play longer.
var sweepFairness = flag.Bool("fairness-sweep", false, "flood for 10 s each, and sample the memory 30 s after")

// Messages of floods. id is the message id, ref a number that is different for each message.
func smallestRequest(id, _ int64) string { return readRequest(id, 7) }

func newObjectRequest(id, ref int64) string { return readRequest(id, ref) }

func unknownClass(id, ref int64) string {
	return "\x94\x00\xce" + bigEndian32(id) + fmt.Sprintf("\xb0%016x", ref) + "\x92\x80\xc4\x00"
}

func invalidField(id, ref int64) string {
	return messageHead(id) + fmt.Sprintf("\x92\x81\xb0%016x\xa1v\xc4\x00", ref)
}

func canceledRequest(id, ref int64) string {
	return readRequest(id, ref) + "\x93\x02\xa6cancel\x91\xce" + bigEndian32(id)
}

func outOfTimeRequest(id, ref int64) string {
	return messageHead(id) + fmt.Sprintf("\x92\x83\xa3ref\xb0%016x\xa5allow\xa11\xa6lookup\xb0%016x\xc4\x00", ref, ref)
}

func newGroupRequest(id, ref int64) string {
	const fields = "\x92\x84\xa3ref\xb0%016x\xa5allow\xa46000\xa6lookup\xb0%016x\xa6family\xa3%03d\xc4\x00"
	return messageHead(id) + fmt.Sprintf(fields, ref, ref, ref%256)
}

func keyedRequest(id, ref int64) string {
	return "\x94\x00\xce" + bigEndian32(id) + "\xacstock-report" +
		fmt.Sprintf("\x92\x84\xa3ref\xb0%016x\xa5allow\xa46000\xa6lookup\xb0%016x\xa6replay\xb0%016x\xc4\x00", ref, ref, ref)
}

func notification(_, ref int64) string { return fmt.Sprintf("\x93\x02\xb0%016x\x90", ref) }

func cancelOfUnknown(_, ref int64) string {
	return "\x93\x02\xa6cancel\x91\xce" + bigEndian32(ref)
}

func health(id, _ int64) string { return "\x94\x00\xce" + bigEndian32(id) + "\xa6health\x91\x80" }

// floodKinds returns the ways in which one client uses one connection at full speed.
func floodKinds() []clientKind {
	messages := []struct {
		name    string
		message func(id, ref int64) string
	}{
		{"smallest request", smallestRequest}, {"new object", newObjectRequest}, {"unknown class", unknownClass},
		{"invalid field", invalidField}, {"canceled", canceledRequest}, {"out of time", outOfTimeRequest},
		{"new group", newGroupRequest}, {"keyed", keyedRequest}, {"notification", notification},
		{"cancel of unknown", cancelOfUnknown}, {"health", health},
	}
	kinds := []clientKind{}
	for _, m := range messages {
		kinds = append(kinds, clientKind{m.name, func(ctx context.Context, conn net.Conn, number int64) {
			floodInBatches(ctx, conn, number, m.message)
		}})
	}
	return append(kinds, clientKind{"unreadable", func(_ context.Context, conn net.Conn, _ int64) {
		if _, err := conn.Write([]byte("\xc1")); err == nil {
			awaitClose(conn)
		}
	}}, clientKind{"leaves", func(_ context.Context, conn net.Conn, number int64) {
		_, _ = conn.Write([]byte(newObjectRequest(1, number)))
	}}, clientKind{"connects only", func(context.Context, net.Conn, int64) {}})
}

// floodInBatches writes messages at full speed, many in one write, and reads all responses.
func floodInBatches(ctx context.Context, conn net.Conn, number int64, message func(id, ref int64) string) {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	var batch []byte
	for id := int64(1); ctx.Err() == nil; id++ {
		batch = append(batch, message(id, number<<32|id)...)
		if len(batch) < 16<<10 {
			continue
		}
		if _, err := conn.Write(batch); err != nil {
			return
		}
		batch = batch[:0]
	}
}

// usualResults counts the requests of usual clients. The latencies are those of the served ones.
type usualResults struct {
	mu                     sync.Mutex
	served                 []time.Duration
	rejected, failed, lost int
}

// percentile99 returns the 99th percentile of the latencies.
func (u *usualResults) percentile99() time.Duration {
	if len(u.served) == 0 {
		return 0
	}
	slices.Sort(u.served)
	return u.served[(len(u.served)-1)*99/100]
}

// String returns the results for logs.
func (u *usualResults) String() string {
	return fmt.Sprintf("served %d, rejected %d, failed %d, lost %d, 99th percentile %v",
		len(u.served), u.rejected, u.failed, u.lost, u.percentile99().Round(100*time.Microsecond))
}

// record records the outcome of a request.
func (u *usualResults) record(response router.Response, err error, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err != nil:
		u.lost++
	case response.Outcome == router.Served:
		u.served = append(u.served, took)
	case response.Outcome == router.Rejected:
		u.rejected++
	default:
		u.failed++
	}
}

// Usual clients of TestOneClientDoesNotCrowdOutOthers.
const (
	usualClients = 20
	usualPause   = 50 * time.Millisecond // between two requests of one client
	usualObjects = 8
	// wantedWithin is the time within which the platform wants small answers.
	wantedWithin = 400 * time.Millisecond
)

// runSmallRequests runs clients that send one small request after another until ctx ends.
func runSmallRequests(ctx context.Context, addr string, number *atomic.Int64) *usualResults {
	results := &usualResults{}
	var running sync.WaitGroup
	for range usualClients {
		running.Go(func() {
			client := &loadClient{addr: addr, reconnects: true}
			defer client.close()
			for ctx.Err() == nil {
				ref := number.Add(1)
				request := router.Request{Class: classCatalogue, ID: fmt.Sprintf("%016x", ref),
					Object: ObjectName(0, int(ref%usualObjects)), ClientTimeout: clientTimeoutMillis, SizeKB: objectKB}
				call, cancel := context.WithTimeout(context.WithoutCancel(ctx), usualTimeout)
				startedAt := time.Now()
				response, _, err := client.send(call, request)
				results.record(response, err, time.Since(startedAt))
				cancel()
				time.Sleep(usualPause)
			}
		})
	}
	running.Wait()
	return results
}

// Guards against one client that crowds out others: it uses one connection at full speed, with messages of one kind, or
// connects again at once. No request of 20 usual clients beside it may be lost or fail; at least half must be served, and
// these in the time that the platform wants. The memory must stay within its limit.
func TestOneClientDoesNotCrowdOutOthers(t *testing.T) {
	floodTime := time.Second
	if *sweepFairness {
		floodTime = 10 * time.Second
	}
	d := startWithLimits(t, 64, 512, Options{EdgeCaches: 4})
	var number atomic.Int64
	runSmallRequestsFor(t, d, &number, floodTime, nil) // the caches have the objects from then on
	for _, kind := range floodKinds() {
		t.Run(kind.name, func(t *testing.T) {
			testwait.RetryIfStarved(t, func() error {
				results, peak := runSmallRequestsFor(t, d, &number, floodTime, []clientKind{kind})
				t.Logf("%v; memory %.1f MB", results, peak)
				total := len(results.served) + results.rejected + results.failed + results.lost
				isLate := results.percentile99() > wantedWithin || 2*len(results.served) < total
				if results.lost+results.failed > 0 || isLate {
					return fmt.Errorf("usual clients: %v", results)
				}
				if peak > 64 {
					return fmt.Errorf("%.1f MB of memory, want at most 64", peak)
				}
				return nil
			})
		})
	}
	if *sweepFairness {
		time.Sleep(30 * time.Second)
		t.Logf("30 s later: %.1f MB", memoryFor(t, d, memoryPollInterval))
	}
}

// runSmallRequestsFor runs usual clients for a time, beside one client of the given kinds, and returns their results and
// the peak of the router's memory in MB.
func runSmallRequestsFor(
	t *testing.T, d *Deployment, number *atomic.Int64, duration time.Duration, kinds []clientKind,
) (results *usualResults, peak float64) {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	others := runClients(ctx, d.Routers[0].Addr, kinds, len(kinds), number)
	var sampling sync.WaitGroup
	sampling.Go(func() { peak = memoryPeak(ctx, d.Routers[0].cmd.Process.Pid) })
	results = runSmallRequests(ctx, d.Routers[0].Addr, number)
	others.Wait()
	sampling.Wait()
	return results, peak
}

// memoryFor returns the peak of the router's memory during a time, in MB.
func memoryFor(t *testing.T, d *Deployment, duration time.Duration) float64 {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	return memoryPeak(ctx, d.Routers[0].cmd.Process.Pid)
}
