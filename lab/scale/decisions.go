package scale

import (
	"math"
	"time"

	"spantack/routing"
)

// Phases of the decisions test.
const (
	decisionPhaseSeconds      = 6
	decisionShortPhaseSeconds = 1
	decisionPhaseCount        = 7
)

const (
	// endpointUpdateDelay is the time in seconds until the endpoint list says that servers were lost, half of the phase
	// at most.
	endpointUpdateDelay = 2

	responseTime   = 20_000 // of each server, in microseconds
	responseSizeKB = 50
)

// requestInterval is the time from one request to the next, in microseconds.
var requestInterval = int64(math.Round(float64(second) / requestsPerSecond))

// decisionRun is one router that decides.
type decisionRun struct {
	options        Options
	phaseSeconds   float64
	clock          threadCPUClock
	engine         *routing.Engine
	endpoints      []routing.Endpoint // the origin first, then the edge caches
	refusing       map[string]bool    // servers that refuse connections
	now            int64
	requests       int // so far
	servedByCaches int // of these
	result         *Result
}

// start gives the router an empty state and the endpoint list.
func (d *decisionRun) start() error {
	engine, err := newEngine(d.options)
	if err != nil {
		return err
	}
	d.engine = engine
	d.publishEndpoints()
	return nil
}

// publishEndpoints tells the engine of all servers but those that refuse.
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

// runRequests plays requests at the peak's rate and returns the processor time that the engine took.
func (d *decisionRun) runRequests(seconds float64) time.Duration {
	count := int(seconds * requestsPerSecond)
	startedAt := d.clock.now()
	for range count {
		d.now += requestInterval
		d.runRequest()
	}
	return d.clock.now() - startedAt
}

// runRequest plays a request to its end: each attempt is answered at once in virtual time.
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

// respond returns the outcome of an attempt.
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

// addPhase adds to the result what a phase cost.
func (d *decisionRun) addPhase(scenario Scenario, used time.Duration) {
	d.result.Phases = append(d.result.Phases, Phase{
		Scenario:   scenario,
		Seconds:    d.phaseSeconds,
		CPUPercent: cpuPercent(used, d.phaseSeconds),
		MemoryKB:   memoryKB(d.engine),
	})
	d.options.Progress(len(d.result.Phases), decisionPhaseCount)
}

// runPhase plays a phase in which nothing is lost.
func (d *decisionRun) runPhase(scenario Scenario) {
	used := d.runRequests(d.phaseSeconds)
	d.addPhase(scenario, used)
}

// loseServers plays a phase in which the first edge caches refuse; the endpoint list says so later.
func (d *decisionRun) loseServers(scenario Scenario, servers int) {
	for _, endpoint := range d.endpoints[1 : 1+servers] {
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

// runDecisions has one router decide at the peak's rate with all caches listed in its zone. Decisions cost no datagram.
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
	d.result.addMetric("requests_per_s", requestsPerSecond)
	d.result.addMetric("caches", float64(caches))
	d.result.addMetric("served_on_ordinary_day", servedInSteadyState)
	d.result.addMetric("served_in_all", d.servedFraction())
	return d.result, nil
}
