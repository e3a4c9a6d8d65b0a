package process

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"spantack/internal/msgpackrpc"
	"spantack/internal/router"
	"spantack/standin/cache"
)

// Classes of the load, as in Settings.
var Classes = []string{"screen-video", "catalogue", "stock-report"}

// Load is what clients ask for: so many requests, one every Every, from a number of connections to each router.
type Load struct {
	Seed           uint64
	Requests       int
	Interval       time.Duration
	ConnsPerRouter int // to each router
	// MaxInFlight bounds the requests without a response; the next one waits for one. 0: there is no bound.
	MaxInFlight      int
	Families         int // tenants, told apart by the family of their objects
	ObjectsPerFamily int // of each family
	// FloodFamily lets one family ask Times as much as the others together.
	FloodFamily int
	FloodFactor float64
	OnResponse  func(done int)
	// OnSend is told of each request's place before it goes out.
	OnSend func(i int)
	// Reconnects opens a new connection where one was closed, and sends a request that crossed the close again on it, once: what clients of
	// the platform do.
	Reconnects bool
}

// Tally is what became of the requests of one class.
type Tally struct {
	Served, Rejected, Failed, WrongBody, Lost int
	Resent                                    int                     // of all: those that crossed a close and were sent again
	Latency                                   *hdrhistogram.Histogram // microseconds, of served ones
}

// LoadResult is what became of a load.
type LoadResult struct {
	ByClass  map[string]*Tally
	ByFamily []Tally
}

// Total sums up the classes.
func (r *LoadResult) Total() (sum Tally) {
	for _, c := range r.ByClass {
		sum.Served += c.Served
		sum.Rejected += c.Rejected
		sum.Failed += c.Failed
		sum.WrongBody += c.WrongBody
		sum.Lost += c.Lost
		sum.Resent += c.Resent
	}
	return sum
}

// ObjectName names an object of a family: its first two digits are the family's.
func ObjectName(family, n int) string {
	return fmt.Sprintf("%02x%014x", family, uint64(n)*0x9e3779b97f4a7c15>>8)
}

// RunLoad sends the load and waits for all answers. The requests and their order are the seed's; their times are the clock's.
func (d *Deployment) RunLoad(ctx context.Context, load Load) (*LoadResult, error) {
	rep := &LoadResult{ByClass: map[string]*Tally{}, ByFamily: make([]Tally, load.Families)}
	for _, c := range Classes {
		rep.ByClass[c] = &Tally{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	}
	var lines []*loadClient
	defer func() {
		for _, l := range lines {
			l.close()
		}
	}()
	for _, r := range d.Routers {
		for range load.ConnsPerRouter {
			l := &loadClient{addr: r.Addr, reconnects: load.Reconnects}
			if _, err := l.connect(); err != nil {
				return nil, err
			}
			lines = append(lines, l)
		}
	}
	rng := rand.New(rand.NewPCG(load.Seed, 0x10ad))
	var (
		mu   sync.Mutex
		open errgroup.Group // its functions return no error
		done int
	)
	open.SetLimit(cmp.Or(load.MaxInFlight, -1))
	tick := time.NewTicker(max(load.Interval, time.Microsecond))
	defer tick.Stop()
	for i := range load.Requests {
		select {
		case <-ctx.Done():
			return rep, errors.Join(open.Wait(), ctx.Err())
		case <-tick.C:
		}
		family := rng.IntN(load.Families)
		if load.FloodFactor > 0 && rng.Float64() < load.FloodFactor/(1+load.FloodFactor) {
			family = load.FloodFamily
		}
		class := Classes[0]
		if u := rng.Float64(); u > 0.95 {
			class = Classes[2]
		} else if u > 0.5 {
			class = Classes[1]
		}
		q := router.Request{ID: fmt.Sprintf("%08x%08x", load.Seed&math.MaxUint32, i), Class: class, Object: ObjectName(family, rng.IntN(load.ObjectsPerFamily)),
			PurgeGroup: int64(family), SizeKB: 20, ClientTimeout: 3000}
		if class == Classes[0] {
			q.Chunk = int64(rng.IntN(6))
		}
		if class == Classes[2] {
			q.IdempotencyKey, q.Body = "key-"+q.ID, []byte("stock")
		}
		to := lines[rng.IntN(len(lines))]
		if load.OnSend != nil {
			load.OnSend(i)
		}
		open.Go(func() error {
			begin := time.Now()
			a, again, err := to.send(ctx, q)
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			done++
			if load.OnResponse != nil {
				load.OnResponse(done)
			}
			for _, c := range []*Tally{rep.ByClass[class], &rep.ByFamily[family]} {
				c.record(&q, a, err, took)
				c.Resent += again
			}
			return nil
		})
	}
	return rep, open.Wait()
}

func (c *Tally) record(q *router.Request, a router.Response, err error, took time.Duration) {
	switch {
	case errors.Is(err, msgpackrpc.ErrClosed), err != nil:
		c.Lost++
	case a.Outcome == router.Rejected:
		c.Rejected++
	case a.Outcome != router.Served:
		c.Failed++
	case !bytes.Equal(a.Body, cache.Body(q.Object, fmt.Sprint(q.Chunk))):
		c.WrongBody++
	default:
		c.Served++
		if c.Latency != nil {
			_ = c.Latency.RecordValue(took.Microseconds())
		}
	}
}

// loadClient is one client: a connection at a time to one router.
type loadClient struct {
	addr       string
	reconnects bool

	mu   sync.Mutex
	conn *msgpackrpc.Client
}

func (l *loadClient) connect() (*msgpackrpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		c, err := msgpackrpc.Dial(l.addr, 1000)
		if err != nil {
			return nil, err
		}
		l.conn = c
	}
	return l.conn, nil
}

// send sends a request; again is 1 if it had to be sent once more.
func (l *loadClient) send(ctx context.Context, q router.Request) (a router.Response, again int, err error) {
	for {
		c, err := l.connect()
		if err != nil {
			return a, again, err
		}
		if a, err = c.Do(ctx, q); !l.reconnects || again > 0 || !errors.Is(err, msgpackrpc.ErrClosed) {
			return a, again, err
		}
		again++
		l.mu.Lock()
		if l.conn == c {
			c.Close()
			l.conn = nil
		}
		l.mu.Unlock()
	}
}

func (l *loadClient) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}
