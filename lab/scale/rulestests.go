package scale

import (
	"fmt"
	"math"

	"spantack/routing"
)

// siteZone is the place of a router and its caches, hubZone that of area caches and the head office.
const (
	siteZone = "z"
	hubZone  = "h"
)

// Of the module's settings, as the fleet would have them.
const (
	purgePropagationTime = 3_900_000 // us within which a purge is done everywhere
	requestDeadline      = 5 * second

	routersPerSite = (FleetRouters + fleetSites/2) / fleetSites // that share the caches of a site
)

// engineSettings are those of a router in this fleet.
func engineSettings(o Options) routing.Settings {
	return routing.Settings{
		Classes: []routing.Class{{Name: "small", ObjectiveSizeFactor: 2, Deadline: requestDeadline, LatencyObjective: 300_000, PriorityWeight: 1, DeduplicationScope: "all", Idempotency: "read_like"}},
		Hierarchy: routing.CacheHierarchy{
			FreshnessLifetime: []int64{10 * second}, StaleGracePeriod: []int64{20 * second}, PurgeGracePeriod: second, OriginKind: 2, CacheStatusReporting: "all", ResponseKBPerSecond: 1000,
			ParentInitialCapacity: 0.1, ParentWarmUpTime: 20 * second, PurgePropagationTime: purgePropagationTime, RoutersByZone: []int{0, routersPerSite},
			CollapsesFills: true, ParentKind: 1, AllowsDirectFetch: true, ParentOverloadMultiple: 2,
		},
		Guarantees: routing.Guarantees{MaxPollInterval: 10 * second, WarmUpTime: 16 * second, InitialCapacity: 0.2, OverloadWindow: 2 * second, AnswerGracePeriod: 8_000,
			DrainGracePeriod: 250_000, OverloadMultiple: 2},
		Kinds:         []string{"box", "parent", "origin"},
		Permissions:   routing.Permissions{MayCancel: true, MaxAttempts: 6, MaxRetryAfter: 2 * second, SendsRetryAfter: true},
		LoadReporting: routing.LoadReporting{Fields: []string{"x0"}, Delivery: "piggyback"},
		FleetSize:     o.Routers, Zone: siteZone, Zones: []string{hubZone, siteZone},
	}
}

func objectName(i int) string { return fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15) }

// Purges test, in seconds.
const (
	purgeSteadyStateSeconds = 30
	purgePartitionSeconds   = 120
	purgeCatchUpSeconds     = 10
	purgeRestartSeconds     = 20
	purgedObjects           = 1 << 16
	purgePhaseCount         = 3
	shortPhaseDivisor       = 6
)

// runPurges has one router hear of all purges. What one router hears does not depend on how many there are; what the service sends does.
func runPurges(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	router, err := routing.NewEngine(engineSettings(o), int64(o.Seed%(1<<62)))
	if err != nil {
		return nil, err
	}
	divide := 1
	if o.ShortPhases {
		divide = shortPhaseDivisor
	}
	result := &Result{SimulatedProcesses: 1}
	now, told := second, 0
	hear := func(count int, gap, age int64) float64 {
		began := clock.now()
		for range count {
			now += gap
			told++
			router.Step(now, []routing.Event{{Kind: routing.EventPurge, Object: objectName(told % purgedObjects), PurgeAge: age}})
		}
		return (clock.now() - began).Seconds()
	}
	book := func(trouble Scenario, seconds int, count int, inOneSecond float64, used float64) {
		bytes := float64(count)*(frameHeaderSize+purgeSize) + updateBytesPerSecond()*float64(seconds)
		perSecond := bytes / float64(seconds)
		result.Phases = append(result.Phases, Phase{
			Scenario: trouble, Seconds: float64(seconds), MeanBytesPerSecond: perSecond, WorstBytesPerSecond: perSecond,
			PeakBytes:               inOneSecond*(frameHeaderSize+purgeSize) + updateBytesPerSecond(),
			WorstDatagramsPerSecond: float64(count)/float64(seconds) + heartbeatsPerSecond + endpointChangesPerSecond,
			CPUPercent:              used / float64(seconds) * 100, MemoryKB: memoryKB(router),
		})
		o.Progress(len(result.Phases), purgePhaseCount)
	}
	const gap = second / purgesPerSecond

	seconds := purgeSteadyStateSeconds / divide
	used := hear(seconds*purgesPerSecond, gap, 0)
	book(SteadyState, seconds, seconds*purgesPerSecond, purgesPerSecond, used)

	// Regions cut off from the service hear of what they missed in one piece, when they are back.
	cut := purgePartitionSeconds / divide
	now += int64(cut) * second
	used = hear(cut*purgesPerSecond, 0, int64(cut)*second/2)
	used += hear(purgeCatchUpSeconds*purgesPerSecond, gap, 0)
	book(RegionsPartitioned, cut+purgeCatchUpSeconds, (cut+purgeCatchUpSeconds)*purgesPerSecond, float64(cut+1)*purgesPerSecond, used)

	// A router that starts anew asks from the event that it was told to begin with.
	if router, err = routing.NewEngine(engineSettings(o), int64(o.Seed%(1<<62))); err != nil {
		return nil, err
	}
	seconds = max(purgeRestartSeconds/divide, 2)
	used = hear(seconds*purgesPerSecond, gap, 0)
	book(MassRestart, seconds, seconds*purgesPerSecond, purgesPerSecond, used)

	result.Metrics = []Metric{{"purges_per_s", purgesPerSecond}, {"service_bytes_per_s", float64(o.Routers) * purgesPerSecond * (frameHeaderSize + purgeSize)}}
	return result, nil
}

// decisionRun is one router that decides.
type decisionRun struct {
	options         Options
	seconds         float64 // of each phase
	clock           threadCPUClock
	engine          *routing.Engine
	endpoints       []routing.Endpoint
	refusingServers map[string]bool // servers that refuse
	now             int64
	requests        int
	servedByCaches  int // by caches
	result          *Result
}

// Decisions test, in seconds.
const (
	decisionPhaseSeconds      = 6
	endpointUpdateDelay       = 2 // s after which the list says what was lost, half of the phase at most
	decisionShortPhaseSeconds = 1 // s of a phase in a test's short form
	decisionPhaseCount        = 7
	responseTime              = 20_000 // us until an answer
)

func (d *decisionRun) publishEndpoints() {
	now := make([]routing.Endpoint, 0, len(d.endpoints))
	for _, row := range d.endpoints {
		if !d.refusingServers[row.Server] {
			now = append(now, row)
		}
	}
	d.engine.Step(d.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: now}})
}

// runRequests plays requests for some seconds and returns the processor time that the module took.
func (d *decisionRun) runRequests(seconds float64) float64 {
	count := int(seconds * requestsPerSecond)
	began := d.clock.now()
	for range count {
		d.now += requestInterval
		d.runRequest()
	}
	return (d.clock.now() - began).Seconds()
}

// requestInterval is the time from one request to the next, in microseconds.
var requestInterval = int64(math.Round(float64(second) / requestsPerSecond))

// runRequest plays a request to its end: each attempt is answered at once in virtual time, refused by servers that are lost.
func (d *decisionRun) runRequest() {
	d.requests++
	call := objectName(d.requests)
	actions := d.engine.Step(d.now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "small", Object: objectName(d.requests % purgedObjects), SizeKB: 50, Timeout: requestDeadline}})
	for len(actions) > 0 {
		var answers []routing.Event
		for _, a := range actions {
			switch a.Kind {
			case routing.ActionSend:
				answer := routing.Event{Kind: routing.EventOutcome, RequestID: a.RequestID, Attempt: a.Attempt, Server: a.Server, Outcome: routing.OutcomeServed, CacheStatus: 1, ResponseTime: responseTime, IsFinal: true}
				switch {
				case d.refusingServers[a.Server]:
					answer.Outcome = routing.OutcomeConnectionRefused
				case a.Server != d.endpoints[0].Server:
					d.servedByCaches++
				}
				answers = append(answers, answer)
			case routing.ActionSetTimer:
				answers = append(answers, routing.Event{Kind: routing.EventTimer, TimerToken: a.TimerToken})
			}
		}
		if len(answers) == 0 {
			return
		}
		actions = d.engine.Step(d.now, answers)
	}
}

func (d *decisionRun) addPhase(trouble Scenario, used float64) {
	percentUsed := used / d.seconds * 100
	d.result.Phases = append(d.result.Phases, Phase{Scenario: trouble, Seconds: d.seconds, CPUPercent: percentUsed, MemoryKB: memoryKB(d.engine)})
	d.options.Progress(len(d.result.Phases), decisionPhaseCount)
}

// loseServers has the first servers refuse; the list says so later.
func (d *decisionRun) loseServers(trouble Scenario, servers int) {
	for _, row := range d.endpoints[1 : 1+servers] {
		d.refusingServers[row.Server] = true
	}
	late := min(endpointUpdateDelay, d.seconds/2)
	used := d.runRequests(late)
	began := d.clock.now()
	d.publishEndpoints()
	used += (d.clock.now() - began).Seconds()
	used += d.runRequests(d.seconds - late)
	d.addPhase(trouble, used)
	clear(d.refusingServers)
	d.publishEndpoints()
}

func (d *decisionRun) start() error {
	router, err := routing.NewEngine(engineSettings(d.options), int64(d.options.Seed%(1<<62)))
	d.engine = router
	if err == nil {
		d.publishEndpoints()
	}
	return err
}

// fleetEndpoints lists the head office first, then all caches, then the area caches.
func fleetEndpoints(o Options) []routing.Endpoint {
	rows := []routing.Endpoint{{Server: "s-00000000", Zone: hubZone, Kind: "origin", Status: "healthy", Weight: 1}}
	caches := o.scaled(fleetCaches)
	for i := range caches + o.scaled(fleetZones) {
		row := routing.Endpoint{Server: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Zone: siteZone, Kind: "box", Status: "healthy", Weight: 1}
		if i >= caches {
			row.Zone, row.Kind = hubZone, "parent"
		}
		rows = append(rows, row)
	}
	return rows
}

// runDecisions has one router decide at the peak's rate with all caches listed in its zone. Decisions cost no datagram.
func runDecisions(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	d := &decisionRun{options: o, seconds: decisionPhaseSeconds, clock: clock, endpoints: fleetEndpoints(o), refusingServers: map[string]bool{}, now: second, result: &Result{SimulatedProcesses: 1}}
	if o.ShortPhases {
		d.seconds = decisionShortPhaseSeconds
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	used := d.runRequests(d.seconds)
	d.addPhase(SteadyState, used)
	servedOnDay := float64(d.servedByCaches) / float64(d.requests)
	caches := o.scaled(fleetCaches)
	d.loseServers(ProcessLost, 1)
	d.loseServers(RackLost, max(caches/o.scaled(fleetSites), 1))
	d.loseServers(ZoneLost, max(caches/fleetZones, 1))
	d.loseServers(RegionLost, max(caches/fleetRegions, 1))
	d.loseServers(RegionsPartitioned, caches-max(caches/fleetRegions, 1)) // all but the own region's
	if err := d.start(); err != nil {
		return nil, err
	}
	used = d.runRequests(d.seconds)
	d.addPhase(MassRestart, used)
	d.result.Metrics = []Metric{{"requests_per_s", requestsPerSecond}, {"caches", float64(caches)}, {"served_on_ordinary_day", servedOnDay}, {"served_in_all", float64(d.servedByCaches) / float64(d.requests)}}
	return d.result, nil
}
