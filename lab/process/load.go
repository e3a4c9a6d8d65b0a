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
	Seed     uint64
	Requests int
	Every    time.Duration
	Conns    int // to each router
	// MaxInFlight bounds the requests without a response; the next one waits for one. 0: there is no bound.
	MaxInFlight int
	Families    int // tenants, told apart by the family of their objects
	Objects     int // of each family
	// Flood lets one family ask Times as much as the others together.
	Flood int
	Times float64
	Tick  func(done int)
	// Sent is told of each request's place before it goes out.
	Sent func(i int)
	// Redial opens a new connection where one was closed, and sends a request that crossed the close again on it, once: what clients of
	// the platform do.
	Redial bool
}

// Count is what became of the requests of one class.
type Count struct {
	Served, Refused, Failed, Wrong, Lost int
	Again                                int                     // of all: those that crossed a close and were sent again
	Took                                 *hdrhistogram.Histogram // microseconds, of served ones
}

// Report is what became of a load.
type Report struct {
	Class  map[string]*Count
	Family []Count
}

// All sums up the classes.
func (r *Report) All() (sum Count) {
	for _, c := range r.Class {
		sum.Served += c.Served
		sum.Refused += c.Refused
		sum.Failed += c.Failed
		sum.Wrong += c.Wrong
		sum.Lost += c.Lost
		sum.Again += c.Again
	}
	return sum
}

// Object names an object of a family: its first two digits are the family's.
func Object(family, n int) string {
	return fmt.Sprintf("%02x%014x", family, uint64(n)*0x9e3779b97f4a7c15>>8)
}

// Run sends the load and waits for all answers. The requests and their order are the seed's; their times are the clock's.
func (d *Deployment) Run(ctx context.Context, load Load) (*Report, error) {
	rep := &Report{Class: map[string]*Count{}, Family: make([]Count, load.Families)}
	for _, c := range Classes {
		rep.Class[c] = &Count{Took: hdrhistogram.New(1, 60_000_000, 3)}
	}
	var lines []*line
	defer func() {
		for _, l := range lines {
			l.close()
		}
	}()
	for _, r := range d.Routers {
		for range load.Conns {
			l := &line{addr: r.Addr, redial: load.Redial}
			if _, err := l.client(); err != nil {
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
	tick := time.NewTicker(max(load.Every, time.Microsecond))
	defer tick.Stop()
	for i := range load.Requests {
		select {
		case <-ctx.Done():
			return rep, errors.Join(open.Wait(), ctx.Err())
		case <-tick.C:
		}
		family := rng.IntN(load.Families)
		if load.Times > 0 && rng.Float64() < load.Times/(1+load.Times) {
			family = load.Flood
		}
		class := Classes[0]
		if u := rng.Float64(); u > 0.95 {
			class = Classes[2]
		} else if u > 0.5 {
			class = Classes[1]
		}
		q := router.Request{ID: fmt.Sprintf("%08x%08x", load.Seed&math.MaxUint32, i), Class: class, Object: Object(family, rng.IntN(load.Objects)),
			PurgeGroup: int64(family), SizeKB: 20, ClientTimeout: 3000}
		if class == Classes[0] {
			q.Chunk = int64(rng.IntN(6))
		}
		if class == Classes[2] {
			q.IdempotencyKey, q.Body = "key-"+q.ID, []byte("stock")
		}
		to := lines[rng.IntN(len(lines))]
		if load.Sent != nil {
			load.Sent(i)
		}
		open.Go(func() error {
			begin := time.Now()
			a, again, err := to.do(ctx, q)
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			done++
			if load.Tick != nil {
				load.Tick(done)
			}
			for _, c := range []*Count{rep.Class[class], &rep.Family[family]} {
				c.book(&q, a, err, took)
				c.Again += again
			}
			return nil
		})
	}
	return rep, open.Wait()
}

func (c *Count) book(q *router.Request, a router.Response, err error, took time.Duration) {
	switch {
	case errors.Is(err, msgpackrpc.ErrClosed), err != nil:
		c.Lost++
	case a.Outcome == router.Rejected:
		c.Refused++
	case a.Outcome != router.Served:
		c.Failed++
	case !bytes.Equal(a.Body, cache.Body(q.Object, fmt.Sprint(q.Chunk))):
		c.Wrong++
	default:
		c.Served++
		if c.Took != nil {
			_ = c.Took.RecordValue(took.Microseconds())
		}
	}
}

// line is one client: a connection at a time to one router.
type line struct {
	addr   string
	redial bool

	mu   sync.Mutex
	conn *msgpackrpc.Client
}

func (l *line) client() (*msgpackrpc.Client, error) {
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

// do sends a request; again is 1 if it had to be sent once more.
func (l *line) do(ctx context.Context, q router.Request) (a router.Response, again int, err error) {
	for {
		c, err := l.client()
		if err != nil {
			return a, again, err
		}
		if a, err = c.Do(ctx, q); !l.redial || again > 0 || !errors.Is(err, msgpackrpc.ErrClosed) {
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

func (l *line) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}
