package process

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// coldBudget is the load that the settings allow for a cold cache, one in slow start, in requests of mean size.
type coldBudget struct {
	initialShare      float64       // capacity at the start, as a fraction of the full capacity
	slowStart         time.Duration // duration of the slow start
	overloadMultiple  float64       // load that a cache tolerates, as a multiple of its current capacity
	overloadWindow    time.Duration // duration for which a cache tolerates that load
	requestsPerWindow float64       // requests that a warm cache serves in overloadWindow
}

// newColdBudget returns the budget that the settings define, for requests of a mean size.
func newColdBudget(settings map[string]any, meanKB float64) coldBudget {
	guarantees := settings["Guarantees"].(map[string]any)
	micros := func(name string) time.Duration { return time.Duration(guarantees[name].(int)) * time.Microsecond }
	work := meanKB / float64(settings["Extra"].(map[string]any)["PaceKbPerS"].(int)) // seconds
	return coldBudget{
		initialShare:      guarantees["ColdFrom"].(float64),
		slowStart:         micros("Cold"),
		overloadMultiple:  float64(guarantees["TipMultiple"].(int)),
		overloadWindow:    micros("Fall"),
		requestsPerWindow: cacheWeight * micros("Fall").Seconds() / work,
	}
}

// maxRequests returns the maximum of requests that a cache may get in an overload window that begins when the cache has
// the given age. The result is the budget at the beginning of the window, where the budget is lowest, plus a margin for
// chance: two standard deviations and two requests.
func (b coldBudget) maxRequests(age time.Duration) int {
	capacity := min(b.initialShare+(1-b.initialShare)*max(age.Seconds(), 0)/b.slowStart.Seconds(), 1)
	requests := b.overloadMultiple * capacity * b.requestsPerWindow
	return int(requests + 2*math.Sqrt(requests) + 2)
}

// windowCounts returns, for each of the sorted times, the number of times in the window that begins with it.
func windowCounts(times []time.Time, window time.Duration) []int {
	counts := make([]int, len(times))
	last := 0
	for first, begin := range times {
		for last < len(times) && times[last].Sub(begin) <= window {
			last++
		}
		counts[first] = last - first
	}
	return counts
}

// burst is a load of one class that exceeds the capacity of cold caches. The sizes of its objects are uniformly
// distributed.
type burst struct {
	requests, objects int
	interval          time.Duration
	minKB, maxKB      int
}

func (b burst) meanKB() float64 { return float64(b.minKB+b.maxKB) / 2 }

// burstClients returns two clients for each router, which reconnect when their connection is closed.
func burstClients(d *Deployment) (clients []*loadClient) {
	for _, r := range d.Routers {
		for range 2 {
			clients = append(clients, &loadClient{addr: r.Addr, reconnects: true})
		}
	}
	return clients
}

// send sends a burst, closes the clients and returns the outcomes of the requests.
func (b burst) send(t *testing.T, clients []*loadClient) (sum Tally) {
	t.Helper()
	defer func() {
		for _, client := range clients {
			client.close()
		}
	}()
	rng := rand.New(rand.NewPCG(17, 18))
	var (
		mu       sync.Mutex
		inFlight sync.WaitGroup
	)
	tick := time.NewTicker(b.interval)
	defer tick.Stop()
	for i := range b.requests {
		<-tick.C
		object := rng.IntN(b.objects)
		request := requestFor(fmt.Sprintf("c01d%012x", i), classCatalogue, object)
		request.SizeKB = float64(b.minKB + object*37%(b.maxKB-b.minKB+1))
		client := clients[rng.IntN(len(clients))]
		inFlight.Go(func() {
			response, _, err := client.send(t.Context(), request)
			mu.Lock()
			defer mu.Unlock()
			sum.record(&request, response, err, 0)
		})
	}
	inFlight.Wait()
	return sum
}

// arrivalsByServer returns the sorted arrival times of the requests at each server.
func arrivalsByServer(d *Deployment) map[string][]time.Time {
	arrivals := map[string][]time.Time{}
	for _, request := range d.RequestLog.Requests() {
		arrivals[request.Server] = append(arrivals[request.Server], request.ArrivedAt)
	}
	return arrivals
}

// checkColdBudget checks that the number of arrivals at a cold cache in any window is within the budget at the
// beginning of the window. arrivals must be sorted.
func checkColdBudget(t *testing.T, name string, arrivals []time.Time, startedAt time.Time, budget coldBudget) {
	t.Helper()
	worst := 0.0
	for first, got := range windowCounts(arrivals, budget.overloadWindow) {
		age := arrivals[first].Sub(startedAt)
		bound := budget.maxRequests(age)
		worst = max(worst, float64(got)/float64(bound))
		if got > bound {
			t.Errorf("%s: %d requests within %v from %v after its start, bound %d",
				name, got, budget.overloadWindow, age, bound)
			break
		}
	}
	t.Logf("%s: %d requests; maximum in a window %.2f of its bound; bound at the start %d",
		name, len(arrivals), worst, budget.maxRequests(0))
}

// coldCaches is the number of edge caches that a test replaces by cold ones.
const coldCaches = 2

// coldCacheTest is a case of TestColdCachesStayWithinBudget.
type coldCacheTest struct {
	name    string
	options Options
	load    burst
	// restarted is the fraction of the routers that are killed and restarted one second after the caches are replaced.
	restarted float64
}

// Two of eight caches are replaced by cold ones during a burst that would overload a cold cache. The requests that
// reach them from all processes in any overload window, by the caches' request logs, stay within the budget of the
// settings, with a margin for chance. The same holds if objects take two or six times as long to send as the settings
// of their class suggest. Routers can learn this only from responses.
func TestColdCachesStayWithinBudget(t *testing.T) {
	twiceAsSlow := burst{requests: 1400, objects: 600, interval: 3 * time.Millisecond, minKB: 100, maxKB: 700}
	sixTimesAsSlow := burst{requests: 1400, objects: 600, interval: 3 * time.Millisecond, minKB: 60, maxKB: 2340}
	withGossip := Options{
		Routers:    30,
		HasGossip:  true,
		Features:   fleetFeatures(1500),
		ExtraFlags: []string{"--peers"},
	}
	for _, test := range []coldCacheTest{
		{"20 routers, objects twice as slow", Options{Routers: 20}, twiceAsSlow, 0},
		{"30 routers, objects six times as slow", Options{Routers: 30}, sixTimesAsSlow, 0},
		{"30 routers, 70% of them restarted", Options{Routers: 30}, sixTimesAsSlow, 0.7},
		{"30 routers with gossip", withGossip, sixTimesAsSlow, 0},
	} {
		t.Run(test.name, test.run)
	}
}

func (test coldCacheTest) run(t *testing.T) {
	test.options.EdgeCaches = 8
	test.options.ResponseDelay = time.Millisecond
	d := startDeployment(t, test.options)
	sent := make(chan Tally, 1)
	clients := burstClients(d)
	go func() { sent <- test.load.send(t, clients) }()
	time.Sleep(300 * time.Millisecond) // wait until the burst has begun
	startedAt := map[string]time.Time{}
	for i := range coldCaches {
		before := time.Now()
		fresh := replaceCache(t, d, i, 10*time.Millisecond, i == 0)
		startedAt[fresh.Name()] = before
	}
	if test.restarted > 0 {
		time.Sleep(time.Second)
		restartRouters(t, d, int(test.restarted*float64(test.options.Routers)))
	}
	sum := <-sent
	budget := newColdBudget(Settings(test.options.Routers), test.load.meanKB())
	arrivals := arrivalsByServer(d)
	used := 0
	for name, start := range startedAt {
		used += len(arrivals[name])
		checkColdBudget(t, name, arrivals[name], start, budget)
	}
	if used == 0 {
		t.Error("cold caches got no requests, so their budget was not tested")
	}
	checkBurstOverloads(t, d, arrivals, budget)
	if d.Mesh != nil && d.Mesh.Counts().Forwarded == 0 {
		t.Error("no datagrams were forwarded between routers")
	}
	if sum.WrongBody > 0 {
		t.Errorf("%d responses with a wrong body", sum.WrongBody)
	}
	t.Logf("outcomes %+v", sum)
}

// checkBurstOverloads checks that a warm cache got more requests in a window than the budget of a cold one.
func checkBurstOverloads(t *testing.T, d *Deployment, arrivals map[string][]time.Time, budget coldBudget) {
	t.Helper()
	warm := 0
	for _, edgeCache := range d.EdgeCaches[coldCaches:] {
		counts := windowCounts(arrivals[edgeCache.Name()], budget.overloadWindow)
		warm = max(warm, slices.Max(append(counts, 0)))
	}
	if warm <= budget.maxRequests(0) {
		t.Errorf("warm caches got at most %d requests within %v, want more than %d, the budget of a cold cache",
			warm, budget.overloadWindow, budget.maxRequests(0))
	}
	t.Logf("warm caches: at most %d requests within %v", warm, budget.overloadWindow)
}
