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
	// catalogueShare and reportShare are the shares of the requests that ask for catalogue objects and for reports;
	// the rest ask for video.
	catalogueShare = 0.45
	reportShare    = 0.05
	// chunksPerVideo is the number of chunks of a video, of which a request asks for one.
	chunksPerVideo = 6
	// objectKB is the size of a response, as clients tell it.
	objectKB = 20
	// clientTimeoutMillis is for how long a client waits for a response.
	clientTimeoutMillis = 3000
	// loadStream sets the random numbers of loads apart from others of the same seed.
	loadStream = 0x10ad
)

// Load is what clients ask of the routers of a deployment.
type Load struct {
	Seed     uint64
	Requests int           // in all
	Interval time.Duration // from one request to the next, over all routers
	// ConnsPerRouter is the number of connections to each router. A request goes out on any of them.
	ConnsPerRouter int
	// MaxInFlight bounds the requests without a response: the next one waits for one. 0 stands for no bound.
	MaxInFlight int
	// Families is the number of object families, each of which is a tenant's.
	Families         int
	ObjectsPerFamily int
	// FloodFamily is asked for FloodFactor times as often as the others together. 0 stands for no flood.
	FloodFamily int
	FloodFactor float64
	// OnSend, if not nil, is called with the number of each request, from 0, before it goes out.
	OnSend func(number int)
	// OnResponse, if not nil, is called with the number of ended requests so far, from several goroutines in turn.
	OnResponse func(done int)
	// Reconnects has a client open a new connection where one was closed, and send a request that crossed the close
	// once more, as clients of the platform do.
	Reconnects bool
}

// ObjectName names an object of a family. Its first two digits are those of the family.
func ObjectName(family, number int) string {
	return fmt.Sprintf("%02x%014x", family, uint64(number)*0x9e3779b97f4a7c15>>8)
}

// loadRun is a load that is under way.
type loadRun struct {
	load    Load
	rng     *rand.Rand
	clients []*loadClient

	mu     sync.Mutex // guards the fields below
	result *LoadResult
	done   int // requests that have ended
}

// RunLoad sends the load and waits for all responses. The requests and their order depend on the seed alone; when they
// go out is up to the clock. It ends early with ctx, with what there is by then.
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

// close closes all connections.
func (run *loadRun) close() {
	for _, client := range run.clients {
		client.close()
	}
}

// sendAll sends the requests and waits until all that went out have ended.
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

// nextRequest draws a request, and the family of its object.
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

// drawClass draws the class of a request.
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

// sendOne sends a request and records what became of it.
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
