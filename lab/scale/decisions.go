package scale

import (
	"math"
	"time"

	"spantack/routing"
)

// Durations of the phases of the decisions test, in seconds, and their number.
const (
	decisionPhaseSeconds      = 6
	decisionShortPhaseSeconds = 1
	decisionPhaseCount        = 7
)

const (
	// endpointUpdateDelay is the time in seconds from a loss of servers to their removal from the endpoint list. In
	// short phases the delay is shorter: at most half of the phase.
	endpointUpdateDelay = 2

	responseTime   = 20_000 // response time of every server, in microseconds
	responseSizeKB = 50
)

// requestInterval is the time between two requests, in microseconds.
var requestInterval = int64(math.Round(float64(second) / peakRequestsPerSecond))

// decisionRun simulates the decision engine of one router.
type decisionRun struct {
	options        Options
	phaseSeconds   float64
	clock          threadCPUClock
	engine         *routing.Engine
	endpoints      []routing.Endpoint // the origin first, then the edge caches, then the parents
	refusing       map[string]bool    // servers that refuse connections
	now            int64
	requests       int // number of requests so far
	servedByCaches int // number of requests served by edge caches or parents so far
	result         *Result
}

// start replaces the engine with a new one, whose only state is the endpoint list.
func (d *decisionRun) start() error {
	engine, err := newEngine(d.options)
	if err != nil {
		return err
	}
	d.engine = engine
	d.publishEndpoints()
	return nil
}

// publishEndpoints sends the engine an endpoint list without the refusing servers.
func (d *decisionRun) publishEndpoints() {
	available := make([]routing.Endpoint, 0, len(d.endpoints))
	for _, endpoint := range d.endpoints {
		if !d.refusing[endpoint.Server] {
			available = append(available, endpoint)
		}
	}
	d.engine.Step(d.now, []routing.Event{{
		Kind:       routing.EventEndpoints,
		UpdateMode: "replace",
		Endpoints:  available,
	}})
}

// runRequests simulates requests at the peak rate for a number of seconds and returns the CPU time that this used.
func (d *decisionRun) runRequests(seconds float64) time.Duration {
	count := int(seconds * peakRequestsPerSecond)
	startedAt := d.clock.now()
	for range count {
		d.now += requestInterval
		d.runRequest()
	}
	return d.clock.now() - startedAt
}

// runRequest simulates one request to its end. Responses arrive and timers fire without delay in virtual time.
func (d *decisionRun) runRequest() {
	d.requests++
	events := []routing.Event{{
		Kind:      routing.EventRequest,
		RequestID: objectName(d.requests),
		Class:     requestClass,
		Object:    objectName(d.requests % objectCount),
		SizeKB:    responseSizeKB,
		Timeout:   requestDeadline,
	}}
	for len(events) > 0 {
		actions := d.engine.Step(d.now, events)
		events = nil
		for _, action := range actions {
			switch action.Kind {
			case routing.ActionSend:
				events = append(events, d.respond(action))
			case routing.ActionSetTimer:
				events = append(events, routing.Event{Kind: routing.EventTimer, TimerToken: action.TimerToken})
			}
		}
	}
}

// respond returns the outcome event of an attempt, and counts it if a cache serves it.
func (d *decisionRun) respond(attempt routing.Action) routing.Event {
	outcome := routing.OutcomeServed
	origin := d.endpoints[0].Server
	switch {
	case d.refusing[attempt.Server]:
		outcome = routing.OutcomeConnectionRefused
	case attempt.Server != origin:
		d.servedByCaches++
	}
	return routing.Event{
		Kind:         routing.EventOutcome,
		RequestID:    attempt.RequestID,
		Attempt:      attempt.Attempt,
		Server:       attempt.Server,
		Outcome:      outcome,
		CacheStatus:  1,
		ResponseTime: responseTime,
		IsFinal:      true,
	}
}

// servedFraction returns the fraction of the requests so far that caches served.
func (d *decisionRun) servedFraction() float64 {
	return float64(d.servedByCaches) / float64(d.requests)
}

// addPhase adds a phase to the result, with the CPU time that it used.
func (d *decisionRun) addPhase(scenario Scenario, used time.Duration) {
	d.result.Phases = append(d.result.Phases, Phase{
		Scenario:   scenario,
		Seconds:    d.phaseSeconds,
		CPUPercent: cpuPercent(used, d.phaseSeconds),
		MemoryKB:   memoryKB(d.engine),
	})
	d.options.Progress(len(d.result.Phases), decisionPhaseCount)
}

// runPhase simulates a phase without a fault.
func (d *decisionRun) runPhase(scenario Scenario) {
	used := d.runRequests(d.phaseSeconds)
	d.addPhase(scenario, used)
}

// loseServers simulates a phase in which the first count edge caches refuse connections. After endpointUpdateDelay they
// are removed from the endpoint list, and after the phase they are added again.
func (d *decisionRun) loseServers(scenario Scenario, count int) {
	for _, endpoint := range d.endpoints[1 : 1+count] {
		d.refusing[endpoint.Server] = true
	}
	delay := min(endpointUpdateDelay, d.phaseSeconds/2)
	used := d.runRequests(delay)
	startedAt := d.clock.now()
	d.publishEndpoints()
	used += d.clock.now() - startedAt
	used += d.runRequests(d.phaseSeconds - delay)
	d.addPhase(scenario, used)
	clear(d.refusing)
	d.publishEndpoints()
}

// runDecisions measures the decisions of one router at the peak rate, with all caches listed in its zone. Decisions
// send no datagrams.
func runDecisions(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	d := &decisionRun{
		options:      o,
		phaseSeconds: decisionPhaseSeconds,
		clock:        clock,
		endpoints:    fleetEndpoints(o),
		refusing:     map[string]bool{},
		now:          second,
		result:       &Result{SimulatedProcesses: 1},
	}
	if o.ShortPhases {
		d.phaseSeconds = decisionShortPhaseSeconds
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	d.runPhase(SteadyState)
	servedInSteadyState := d.servedFraction()
	caches := o.scaled(fleetCaches)
	cachesPerSite := max(caches/o.scaled(fleetSites), 1)
	cachesPerZone := max(caches/fleetZones, 1)
	cachesPerRegion := max(caches/fleetRegions, 1)
	d.loseServers(ProcessLost, 1)
	d.loseServers(RackLost, cachesPerSite)
	d.loseServers(ZoneLost, cachesPerZone)
	d.loseServers(RegionLost, cachesPerRegion)
	d.loseServers(RegionsPartitioned, caches-cachesPerRegion)
	if err := d.start(); err != nil {
		return nil, err
	}
	d.runPhase(MassRestart)
	d.result.addMetric("requests_per_s", peakRequestsPerSecond)
	d.result.addMetric("caches", float64(caches))
	d.result.addMetric("served_on_ordinary_day", servedInSteadyState)
	d.result.addMetric("served_in_all", d.servedFraction())
	return d.result, nil
}
