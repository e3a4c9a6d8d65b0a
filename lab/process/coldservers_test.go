package process

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"spantack/internal/router"
)

// coldBudget is what the settings allow a cache that started a while ago, in requests of mean work.
type coldBudget struct {
	initialShare, overloadMultiple float64       // capacity at the start, as a part of the whole; and how many times its capacity it bears
	slowStart, overloadWindow      time.Duration // until it is warm; and for how long it bears that multiple
	requestsPerWindow              float64       // requests that a warm cache works off in a span
}

// cacheWeight is the weight under which add lists a server: transfers at once.
const cacheWeight = 4

// newColdBudget reads the budget from the settings, for requests of a mean size.
func newColdBudget(settings map[string]any, meanKb float64) coldBudget {
	guarantees, extra := settings["Guarantees"].(map[string]any), settings["Extra"].(map[string]any)
	micros := func(name string) time.Duration { return time.Duration(guarantees[name].(int)) * time.Microsecond }
	work := meanKb / float64(extra["PaceKbPerS"].(int)) // seconds
	return coldBudget{initialShare: guarantees["ColdFrom"].(float64), overloadMultiple: float64(guarantees["TipMultiple"].(int)), slowStart: micros("Cold"), overloadWindow: micros("Fall"),
		requestsPerWindow: cacheWeight * micros("Fall").Seconds() / work}
}

// maxRequests is the most that a cache may get within a span that begins at an age: the budget of the span's beginning, which is the least in it, and
// what chance may add.
func (b coldBudget) maxRequests(age time.Duration) int {
	part := min(b.initialShare+(1-b.initialShare)*max(age.Seconds(), 0)/b.slowStart.Seconds(), 1)
	calls := b.overloadMultiple * part * b.requestsPerWindow
	return int(calls + 2*math.Sqrt(calls) + 2)
}

// windowCounts is, for each of some times in order, how many there are within the span that begins with it.
func windowCounts(times []time.Time, span time.Duration) []int {
	counts, last := make([]int, len(times)), 0
	for first, begin := range times {
		for last < len(times) && times[last].Sub(begin) <= span {
			last++
		}
		counts[first] = last - first
	}
	return counts
}

// burst is a load of one class, more than cold caches bear. The sizes of its objects are spread evenly.
type burst struct {
	requests, objects int
	interval          time.Duration
	minKB, maxKB      int
}

func (b burst) meanKB() float64 { return float64(b.minKB+b.maxKB) / 2 }

// burstClients are the clients of a burst: two connections to each router, opened anew where one was closed.
func burstClients(d *Deployment) (clients []*loadClient) {
	for _, r := range d.Routers {
		clients = append(clients, &loadClient{addr: r.Addr, reconnects: true}, &loadClient{addr: r.Addr, reconnects: true})
	}
	return clients
}

// send plays a burst and returns what became of its requests.
func (b burst) send(t *testing.T, lines []*loadClient) (sum Tally) {
	t.Helper()
	defer func() {
		for _, l := range lines {
			l.close()
		}
	}()
	rng := rand.New(rand.NewPCG(17, 18))
	var (
		mu   sync.Mutex
		open sync.WaitGroup
	)
	tick := time.NewTicker(b.interval)
	defer tick.Stop()
	for i := range b.requests {
		<-tick.C
		object := rng.IntN(b.objects)
		q := router.Request{ID: fmt.Sprintf("c01d%012x", i), Class: Classes[1], Object: ObjectName(0, object), ClientTimeout: 3000,
			SizeKB: float64(b.minKB + object*37%(b.maxKB-b.minKB+1))}
		to := lines[rng.IntN(len(lines))]
		open.Go(func() {
			a, _, err := to.send(t.Context(), q)
			mu.Lock()
			defer mu.Unlock()
			sum.record(&q, a, err, 0)
		})
	}
	open.Wait()
	return sum
}

// checkColdBudget judges the calls at a cold cache, in order: those within any span, against the budget of the span's beginning.
func checkColdBudget(t *testing.T, name string, calls []time.Time, started time.Time, budget coldBudget) {
	t.Helper()
	worst := 0.0
	for first, got := range windowCounts(calls, budget.overloadWindow) {
		age := calls[first].Sub(started)
		bound := budget.maxRequests(age)
		worst = max(worst, float64(got)/float64(bound))
		if got > bound {
			t.Errorf("%s: %d calls within %v from %v after its start, %d may be", name, got, budget.overloadWindow, age, bound)
			break
		}
	}
	t.Logf("%s: %d calls, at most %.2f of the bound, which begins at %d", name, len(calls), worst, budget.maxRequests(0))
}

// Two of eight caches come back cold under a burst that gives each cache more than a cold one bears. All that reaches them from all processes
// within any span of the settings' length, by the caches' request logs, is within the budget of the settings, and beyond it what chance adds;
// also where objects take two and six times as long to send as the settings of their class suggest, so that routers must learn it.
func TestColdCachesKeepTheirBudgetUnderAllProcesses(t *testing.T) {
	const caches, cold = 8, 2
	fleet := `{"fleet": {"enabled": true, "asks": 1500, "floor": 0.5, "verdicts": true}}`
	twofold := burst{requests: 1400, objects: 600, interval: 3 * time.Millisecond, minKB: 100, maxKB: 700}
	sixfold := burst{requests: 1400, objects: 600, interval: 3 * time.Millisecond, minKB: 60, maxKB: 2340}
	for _, tc := range []struct {
		name string
		opt  Options
		load burst
		// restarted is the part of the routers that are killed and start anew while most of the first budget has been sent.
		restarted float64
	}{
		{"twenty processes", Options{Routers: 20}, twofold, 0},
		{"thirty processes", Options{Routers: 30}, sixfold, 0},
		{"thirty processes, seven in ten start anew", Options{Routers: 30}, sixfold, 0.7},
		{"thirty processes with datagrams", Options{Routers: 30, HasGossip: true, Features: fleet, ExtraFlags: []string{"--peers"}}, sixfold, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.opt.EdgeCaches, tc.opt.ResponseDelay = caches, time.Millisecond
			d := startDeployment(t, tc.opt)
			sent := make(chan Tally, 1)
			clients := burstClients(d)
			go func() { sent <- tc.load.send(t, clients) }()
			time.Sleep(300 * time.Millisecond) // the burst is there before
			started := map[string]time.Time{}
			for i := range cold {
				before := time.Now()
				if err := d.ReplaceCache(i, 10*time.Millisecond, i == 0); err != nil {
					t.Fatal(err)
				}
				started[d.EdgeCaches[i].Name()] = before
			}
			if tc.restarted > 0 {
				time.Sleep(time.Second)
				restartRouters(t, d, int(tc.restarted*float64(tc.opt.Routers)))
			}
			sum := <-sent
			calls := map[string][]time.Time{}
			for _, g := range d.RequestLog.Requests() {
				calls[g.Server] = append(calls[g.Server], g.ArrivedAt)
			}
			budget := newColdBudget(Settings(tc.opt.Routers), tc.load.meanKB())
			used := 0
			for name, begun := range started {
				used += len(calls[name])
				checkColdBudget(t, name, calls[name], begun, budget)
			}
			if used == 0 {
				t.Error("cold caches got nothing: their budget is not used")
			}
			warm := 0
			for _, c := range d.EdgeCaches[cold:] {
				warm = max(warm, slices.Max(append(windowCounts(calls[c.Name()], budget.overloadWindow), 0)))
			}
			if warm <= budget.maxRequests(0) {
				t.Errorf("warm caches got %d calls within %v at most: the burst would not push over a cold one, which bears %d", warm, budget.overloadWindow, budget.maxRequests(0))
			}
			if d.Mesh != nil && d.Mesh.Counts().Forwarded == 0 {
				t.Error("no datagram passed between routers")
			}
			if sum.WrongBody > 0 {
				t.Errorf("%d wrong answers", sum.WrongBody)
			}
			t.Logf("warm caches: %d within %v at most; answers %+v", warm, budget.overloadWindow, sum)
		})
	}
}
