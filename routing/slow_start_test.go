package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Cold servers get some work, but not more than their budget.
func TestColdServersStayWithinTheirBudget(t *testing.T) {
	settings := testSettings()
	settings.WeightSource = WeightsNominal
	engine := newTestEngine(t, settings, 1, 1)
	list := endpoints(2, 1)
	list[1].StartedAt, list[3].StartedAt = engine.now, engine.now
	engine.step(Event{Kind: EventEndpoints, UpdateMode: UpdateReplace, Endpoints: list})
	for i := range 400 {
		action := engine.request("big", fmt.Sprint(i))
		if action.Kind == ActionSend {
			engine.step(outcomeEvent(action, 0, OutcomeServed, CacheHit))
		}
		engine.now += 5 * ms
	}
	sent := map[string]float64{}
	for _, srv := range engine.servers {
		for _, send := range srv.coldSends {
			sent[srv.name] += send.work
		}
	}
	if sent["c0"] == 0 || sent["c0"] > 2*0.2/2*float64(2*sec) {
		t.Errorf("work sent to the cold cache is none or over its budget: %v", sent["c0"])
	}
	if sent["p0"] > 2*0.1/3*float64(2*sec) {
		t.Errorf("work sent to the cold parent is over its budget: %v", sent["p0"])
	}
}

// With hundreds of routers, each router's share of a cold parent's budget is less than one request. Together they must
// use the budget, and stay within it in every window. Without the random draw, no router would use the parent until it
// is warm.
func TestManyRoutersShareAColdParentsBudget(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 200
	settings.WeightSource = WeightsNominal
	const (
		weight = 20.0
		window = 2 * sec // OverloadWindow
	)
	start := 1000 * sec
	used := 0.0
	perWindow := map[int64]float64{} // work by window number
	for seed := range settings.FleetSize {
		engine, _ := NewEngine(settings, int64(seed))
		list := endpoints(1, 1)
		list[2].Weight, list[2].StartedAt = weight, start
		engine.Step(start, []Event{{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: list}})
		rng := rand.New(rand.NewPCG(uint64(seed), 9))
		for now, i := start+rng.Int64N(sec), 0; now < start+8*sec; now, i = now+100*ms+rng.Int64N(300*ms), i+1 {
			id := fmt.Sprint(i)
			for _, action := range engine.Step(now, []Event{requestEvent(id, "big", id)}) {
				if action.Source == "p0" {
					used += engine.meanSendTime[0]
					perWindow[(now-start)/window] += engine.meanSendTime[0]
				}
			}
			served := outcomeEvent(Action{RequestID: id}, 0, OutcomeServed, FilledFromSource)
			served.ResponseTime = ms
			engine.Step(now+1, []Event{served})
		}
	}
	if used == 0 {
		t.Error("cold parent got no work")
	}
	hierarchy := &settings.Hierarchy
	for number, work := range perWindow {
		warmedUp := float64(number*window) / float64(hierarchy.ParentWarmUpTime)
		capacity := hierarchy.ParentInitialCapacity + (1-hierarchy.ParentInitialCapacity)*warmedUp
		if budget := hierarchy.ParentOverloadMultiple * capacity * weight * float64(window); work > budget {
			t.Errorf("window %d: work %v sent, budget %v", number, work, budget)
		}
	}
}

// coldFleet is a fleet of routers while one of four caches is cold. All requests are answered immediately.
type coldFleet struct {
	routers   int
	weight    float64                    // weight of each cache
	interval  int64                      // time between two requests to one router
	meanKB    float64                    // mean size of objects
	size      func(u, z float64) float64 // size of an object in KB, from a uniform and a normal random number
	restarted float64                    // fraction of the routers that restart
}

// restartAt is the time from the cold cache's start to the restart of routers. It is within the first OverloadWindow.
// Most of the budget has then been used.
const restartAt = 1500 * ms

// settings returns the settings of the fleet's routers.
func (f coldFleet) settings() Settings {
	settings := testSettings()
	settings.FleetSize = f.routers
	settings.Hierarchy.RoutersByZone = []int{0, f.routers}
	settings.WeightSource = WeightsNominal
	settings.Guarantees.InitialCapacity = 0.3
	settings.Guarantees.WarmUpTime = 11 * sec
	settings.Guarantees.OverloadWindow = 3 * sec
	settings.Guarantees.OverloadMultiple = 3
	return settings
}

// run returns the sorted times at which requests were sent to the cold cache, relative to its start.
func (f coldFleet) run(t *testing.T, seed uint64) (sent []int64) {
	t.Helper()
	settings, start := f.settings(), 1000*sec
	list := endpoints(4, 1)
	for i := range list {
		list[i].Weight = f.weight
	}
	cold := &list[1]
	cold.StartedAt = start
	startRouter := func(now int64, seed uint64) *Engine {
		engine, err := NewEngine(settings, int64(seed))
		if err != nil {
			t.Fatal(err)
		}
		engine.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: UpdateRestored, Endpoints: list}})
		return engine
	}
	for rank := range f.routers {
		engine := startRouter(start, seed*1_000_000+7919*uint64(rank+1))
		rng := rand.New(rand.NewPCG(uint64(rank), seed))
		restarts := rng.Float64() < f.restarted
		for now := start + int64(rank)*f.interval/int64(f.routers); now < start+8*sec; now += f.interval {
			if restarts && now >= start+restartAt {
				engine, restarts = startRouter(now, seed*1_000_000+104_729*uint64(rank+1)), false
			}
			request := requestEvent(fmt.Sprint(now), "small", fmt.Sprint(now))
			request.SizeKB = f.size(rng.Float64(), rng.NormFloat64())
			for _, action := range engine.Step(now, []Event{request}) {
				if action.Kind != ActionSend {
					continue
				}
				if action.Server == cold.Server {
					sent = append(sent, now-start)
				}
				served := outcomeEvent(action, 0, OutcomeServed, CacheHit)
				served.ResponseTime = ms
				engine.Step(now, []Event{served})
			}
		}
	}
	slices.Sort(sent)
	return sent
}

// checkBudget reports an error if there are no requests, or for the first window with more requests than its budget.
// The budget is computed from the cache's capacity at the start of the window, plus a tolerance for random variation.
func (f coldFleet) checkBudget(t *testing.T, name string, sent []int64) {
	t.Helper()
	if len(sent) == 0 {
		t.Errorf("%s: cold cache got no requests", name)
	}
	settings := f.settings()
	guarantees := &settings.Guarantees
	for first := range sent {
		last := first
		for last < len(sent) && sent[last]-sent[first] <= guarantees.OverloadWindow {
			last++
		}
		warmedUp := float64(sent[first]) / float64(guarantees.WarmUpTime)
		capacity := guarantees.InitialCapacity + (1-guarantees.InitialCapacity)*warmedUp
		sendTime := f.meanKB / settings.Hierarchy.ResponseKBPerSecond * 1e6
		budget := guarantees.OverloadMultiple * capacity * f.weight * float64(guarantees.OverloadWindow) / sendTime
		if got, limit := last-first, int(budget+2*math.Sqrt(budget)+2); got > limit {
			t.Errorf("%s: %d requests in the window from %d ms after the start, want at most %d",
				name, got, sent[first]/ms, limit)
			return
		}
	}
}

// Thirty routers start together with a cold cache, and objects take six times as long to send as the class settings
// suggest. The routers must use the sizes given in requests to stay within the cache's budget from the first window on.
// If only responses adapted the mean size, the first windows would exceed the budget.
func TestColdBudgetFollowsRequestSizes(t *testing.T) {
	const meanKB = 1200
	for name, spread := range map[string]float64{"equal sizes": 0, "from 60 KB to 2,340 KB": 0.95} {
		f := coldFleet{
			routers:  30,
			weight:   4,
			interval: 90 * ms,
			meanKB:   meanKB,
			size:     func(u, _ float64) float64 { return meanKB * (1 + spread*(2*u-1)) },
		}
		f.checkBudget(t, name, f.run(t, 1))
	}
}

// Most routers of a fleet restart without learned state while a cache is cold. The work that they sent before the
// restart must count. If a restarted router had a whole new budget, the fleet would exceed the cache's budget.
func TestRestartedRoutersStayWithinColdBudget(t *testing.T) {
	const median, sigma = 300, 1.2
	f := coldFleet{
		routers:   30,
		weight:    4,
		interval:  90 * ms,
		meanKB:    median * math.Exp(sigma*sigma/2),
		restarted: 0.7,
		size:      func(_, z float64) float64 { return median * math.Exp(sigma*z) },
	}
	for seed := range uint64(12) {
		f.checkBudget(t, fmt.Sprint("seed ", seed), f.run(t, seed))
	}
}
