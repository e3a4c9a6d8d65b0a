package process

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"spantack/internal/router"
)

const (
	// catalogueShare and reportShare are the fractions of the requests that are for catalogue objects and for reports.
	// The others are for video.
	catalogueShare = 0.45
	reportShare    = 0.05
	// chunksPerVideo is the number of chunks of a video. A request is for one of them.
	chunksPerVideo = 6
	// objectKB is the response size that clients state in their requests.
	objectKB = 20
	// clientTimeoutMillis is how long a client waits for a response.
	clientTimeoutMillis = 3000
	// loadStream is the second half of the seed of a load's random numbers. It makes them independent of other random
	// numbers that use the same Load.Seed.
	loadStream = 0x10ad
)

// Load describes the requests that clients send to the routers of a deployment.
type Load struct {
	Seed     uint64
	Requests int           // in total
	Interval time.Duration // between two requests, over all routers
	// ConnsPerRouter is the number of connections to each router. Each request is sent on a random connection.
	ConnsPerRouter int
	// MaxInFlight bounds the requests in flight. At the bound, the next request is sent when one in flight ends. 0
	// means no bound.
	MaxInFlight int
	// Families is the number of object families. A family is a group of objects with the same name prefix, and belongs
	// to one tenant.
	Families         int
	ObjectsPerFamily int
	// FloodFamily gets the fraction FloodFactor/(1+FloodFactor) of the requests. The other requests are spread evenly
	// over all families, including FloodFamily. A FloodFactor of 0 means no flood.
	FloodFamily int
	FloodFactor float64
	// OnSend, if not nil, is called with the number of each request, from 0, before it is sent.
	OnSend func(number int)
	// OnResponse, if not nil, is called with the number of requests that have ended. Calls come from several
	// goroutines, one at a time.
	OnResponse func(done int)
	// Reconnects makes a client open a new connection when its connection was closed. A request that was in flight on
	// the closed connection is resent once. Clients of the platform do the same.
	Reconnects bool
}

// ObjectName returns the name of an object of a family. The first two hex digits are the family.
func ObjectName(family, number int) string {
	return fmt.Sprintf("%02x%014x", family, uint64(number)*0x9e3779b97f4a7c15>>8)
}

// loadRun is a running load.
type loadRun struct {
	load    Load
	rng     *rand.Rand
	clients []*loadClient

	mu     sync.Mutex // guards the fields below
	result *LoadResult
	done   int // requests that have ended
}

// RunLoad sends the load and waits for all responses. The requests and their order depend on the seed only, but their
// timing is not reproducible. When ctx ends, RunLoad stops early and returns the result so far with the error of ctx.
func (d *Deployment) RunLoad(ctx context.Context, load Load) (*LoadResult, error) {
	run := &loadRun{load: load, rng: rand.New(rand.NewPCG(load.Seed, loadStream)), result: newLoadResult(load.Families)}
	defer run.close()
	for _, r := range d.Routers {
		for range load.ConnsPerRouter {
			client := &loadClient{addr: r.Addr, reconnects: load.Reconnects}
			if _, err := client.connect(); err != nil {
				return nil, err
			}
			run.clients = append(run.clients, client)
		}
	}
	err := run.sendAll(ctx)
	return run.result, err
}

// close closes the connections of all clients.
func (run *loadRun) close() {
	for _, client := range run.clients {
		client.close()
	}
}

// sendAll sends the requests and waits until all sent requests have ended.
func (run *loadRun) sendAll(ctx context.Context) error {
	var inFlight errgroup.Group
	inFlight.SetLimit(cmp.Or(run.load.MaxInFlight, -1))
	defer inFlight.Wait() // its functions return no error
	tick := time.NewTicker(max(run.load.Interval, time.Microsecond))
	defer tick.Stop()
	for number := range run.load.Requests {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		family, request := run.nextRequest(number)
		client := run.clients[run.rng.IntN(len(run.clients))]
		if run.load.OnSend != nil {
			run.load.OnSend(number)
		}
		inFlight.Go(func() error {
			run.sendOne(ctx, client, family, request)
			return nil
		})
	}
	return nil
}

// nextRequest draws a random request and returns it with the family of its object.
func (run *loadRun) nextRequest(number int) (family int, request *router.Request) {
	family = run.rng.IntN(run.load.Families)
	factor := run.load.FloodFactor
	if factor > 0 && run.rng.Float64() < factor/(1+factor) {
		family = run.load.FloodFamily
	}
	class := run.drawClass()
	request = &router.Request{
		ID:            fmt.Sprintf("%08x%08x", run.load.Seed&math.MaxUint32, number),
		Class:         class,
		Object:        ObjectName(family, run.rng.IntN(run.load.ObjectsPerFamily)),
		PurgeGroup:    int64(family),
		SizeKB:        objectKB,
		ClientTimeout: clientTimeoutMillis,
	}
	switch class {
	case classVideo:
		request.Chunk = int64(run.rng.IntN(chunksPerVideo))
	case classReport:
		request.IdempotencyKey = "key-" + request.ID
		request.Body = []byte("stock")
	}
	return family, request
}

// drawClass draws a random request class.
func (run *loadRun) drawClass() string {
	switch draw := run.rng.Float64(); {
	case draw > 1-reportShare:
		return classReport
	case draw > 1-reportShare-catalogueShare:
		return classCatalogue
	default:
		return classVideo
	}
}

// sendOne sends a request and records its outcome.
func (run *loadRun) sendOne(ctx context.Context, client *loadClient, family int, request *router.Request) {
	startedAt := time.Now()
	response, resent, err := client.send(ctx, *request)
	latency := time.Since(startedAt)
	run.mu.Lock()
	defer run.mu.Unlock()
	run.done++
	if run.load.OnResponse != nil {
		run.load.OnResponse(run.done)
	}
	for _, tally := range []*Tally{run.result.ByClass[request.Class], &run.result.ByFamily[family]} {
		tally.record(request, response, err, latency)
		tally.Resent += resent
	}
}
