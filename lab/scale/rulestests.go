package scale

import (
	"fmt"
	"math"

	"spantack/routing"
)

// cacheZone is the place of a router and its caches, upperZone that of area caches and the head office.
const (
	cacheZone = "z"
	upperZone = "h"
)

// Of the module's settings, as the fleet would have them.
const (
	purgeTakes = 3_900_000 // us within which a purge is done everywhere
	deadline   = 5 * second

	routersAtSite = (FleetRouters + fleetSites/2) / fleetSites // that share the caches of a site
)

// settingsOf are those of a router in this fleet.
func settingsOf(o Options) routing.Settings {
	return routing.Settings{
		Classes: []routing.Class{{Name: "small", ObjectiveSizeFactor: 2, Deadline: deadline, LatencyObjective: 300_000, PriorityWeight: 1, DeduplicationScope: "all", Idempotency: "read_like"}},
		Hierarchy: routing.CacheHierarchy{
			FreshnessLifetime: []int64{10 * second}, StaleGracePeriod: []int64{20 * second}, PurgeGracePeriod: second, OriginKind: 2, CacheStatusReporting: "all", ResponseKBPerSecond: 1000,
			ParentInitialCapacity: 0.1, ParentWarmUpTime: 20 * second, PurgePropagationTime: purgeTakes, RoutersByZone: []int{0, routersAtSite},
			CollapsesFills: true, ParentKind: 1, AllowsDirectFetch: true, ParentOverloadMultiple: 2,
		},
		Guarantees: routing.Guarantees{MaxPollInterval: 10 * second, WarmUpTime: 16 * second, InitialCapacity: 0.2, OverloadWindow: 2 * second, AnswerGracePeriod: 8_000,
			DrainGracePeriod: 250_000, OverloadMultiple: 2},
		Kinds:         []string{"box", "parent", "origin"},
		Permissions:   routing.Permissions{MayCancel: true, MaxAttempts: 6, MaxRetryAfter: 2 * second, SendsRetryAfter: true},
		LoadReporting: routing.LoadReporting{Fields: []string{"x0"}, Delivery: "piggyback"},
		FleetSize:     o.Routers, Zone: cacheZone, Zones: []string{upperZone, cacheZone},
	}
}

func objectName(i int) string { return fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15) }

// Purges test, in seconds.
const (
	purgeDay      = 30
	purgeCut      = 120
	purgeCatchUp  = 10
	purgeRestart  = 20
	purgeObjects  = 1 << 16
	purgePhases   = 3
	briefDivision = 6
)

// runPurges has one router hear of all purges. What one router hears does not depend on how many there are; what the service sends does.
func runPurges(o Options) (*Result, error) {
	clock, release := lockClock()
	defer release()
	router, err := routing.NewEngine(settingsOf(o), int64(o.Seed%(1<<62)))
	if err != nil {
		return nil, err
	}
	divide := 1
	if o.Brief {
		divide = briefDivision
	}
	result := &Result{Simulated: 1}
	now, told := second, 0
	hear := func(count int, gap, age int64) float64 {
		began := clock.now()
		for range count {
			now += gap
			told++
			router.Step(now, []routing.Event{{Kind: routing.EventPurge, Object: objectName(told % purgeObjects), PurgeAge: age}})
		}
		return (clock.now() - began).Seconds()
	}
	book := func(trouble Trouble, seconds int, count int, inOneSecond float64, used float64) {
		bytes := float64(count)*(frameSize+purgeSize) + updatesPerSecond()*float64(seconds)
		perSecond := bytes / float64(seconds)
		result.Phases = append(result.Phases, Phase{
			Trouble: trouble, Seconds: float64(seconds), MeanBytesPerSecond: perSecond, WorstBytesPerSecond: perSecond,
			PeakBytes:               inOneSecond*(frameSize+purgeSize) + updatesPerSecond(),
			WorstDatagramsPerSecond: float64(count)/float64(seconds) + idlePerSecond + changesPerSecond,
			CPUPercent:              used / float64(seconds) * 100, MemoryKB: memoryKB(router),
		})
		o.Progress(len(result.Phases), purgePhases)
	}
	const gap = second / purgesPerSecond

	seconds := purgeDay / divide
	used := hear(seconds*purgesPerSecond, gap, 0)
	book(OrdinaryDay, seconds, seconds*purgesPerSecond, purgesPerSecond, used)

	// Regions cut off from the service hear of what they missed in one piece, when they are back.
	cut := purgeCut / divide
	now += int64(cut) * second
	used = hear(cut*purgesPerSecond, 0, int64(cut)*second/2)
	used += hear(purgeCatchUp*purgesPerSecond, gap, 0)
	book(RegionsCut, cut+purgeCatchUp, (cut+purgeCatchUp)*purgesPerSecond, float64(cut+1)*purgesPerSecond, used)

	// A router that starts anew asks from the event that it was told to begin with.
	if router, err = routing.NewEngine(settingsOf(o), int64(o.Seed%(1<<62))); err != nil {
		return nil, err
	}
	seconds = max(purgeRestart/divide, 2)
	used = hear(seconds*purgesPerSecond, gap, 0)
	book(Restarted, seconds, seconds*purgesPerSecond, purgesPerSecond, used)

	result.Figures = []Figure{{"purges_per_s", purgesPerSecond}, {"service_bytes_per_s", float64(o.Routers) * purgesPerSecond * (frameSize + purgeSize)}}
	return result, nil
}

// decisionRun is one router that decides.
type decisionRun struct {
	options Options
	seconds float64 // of each phase
	clock   cpuClock
	router  *routing.Engine
	rows    []routing.Endpoint
	lost    map[string]bool // servers that refuse
	now     int64
	made    int
	served  int // by caches
	result  *Result
}

// Decisions test, in seconds.
const (
	decisionSeconds = 6
	listLate        = 2 // s after which the list says what was lost, half of the phase at most
	decisionBrief   = 1 // s of a phase in a test's short form
	decisionPhases  = 7
	takes           = 20_000 // us until an answer
)

func (d *decisionRun) list() {
	now := make([]routing.Endpoint, 0, len(d.rows))
	for _, row := range d.rows {
		if !d.lost[row.Server] {
			now = append(now, row)
		}
	}
	d.router.Step(d.now, []routing.Event{{Kind: routing.EventEndpoints, UpdateMode: "replace", Endpoints: now}})
}

// decide plays requests for some seconds and returns the processor time that the module took.
func (d *decisionRun) decide(seconds float64) float64 {
	count := int(seconds * requestsPerSecond)
	began := d.clock.now()
	for range count {
		d.now += requestGap
		d.one()
	}
	return (d.clock.now() - began).Seconds()
}

// requestGap is the time from one request to the next, in microseconds.
var requestGap = int64(math.Round(float64(second) / requestsPerSecond))

// one plays a request to its end: each attempt is answered at once in virtual time, refused by servers that are lost.
func (d *decisionRun) one() {
	d.made++
	call := objectName(d.made)
	actions := d.router.Step(d.now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "small", Object: objectName(d.made % purgeObjects), SizeKB: 50, Timeout: deadline}})
	for len(actions) > 0 {
		var answers []routing.Event
		for _, a := range actions {
			switch a.Kind {
			case routing.ActionSend:
				answer := routing.Event{Kind: routing.EventOutcome, RequestID: a.RequestID, Attempt: a.Attempt, Server: a.Server, Outcome: routing.OutcomeServed, CacheStatus: 1, ResponseTime: takes, IsFinal: true}
				switch {
				case d.lost[a.Server]:
					answer.Outcome = routing.OutcomeConnectionRefused
				case a.Server != d.rows[0].Server:
					d.served++
				}
				answers = append(answers, answer)
			case routing.ActionSetTimer:
				answers = append(answers, routing.Event{Kind: routing.EventTimer, TimerToken: a.TimerToken})
			}
		}
		if len(answers) == 0 {
			return
		}
		actions = d.router.Step(d.now, answers)
	}
}

func (d *decisionRun) book(trouble Trouble, used float64) {
	percentUsed := used / d.seconds * 100
	d.result.Phases = append(d.result.Phases, Phase{Trouble: trouble, Seconds: d.seconds, CPUPercent: percentUsed, MemoryKB: memoryKB(d.router)})
	d.options.Progress(len(d.result.Phases), decisionPhases)
}

// away has the first servers refuse; the list says so later.
func (d *decisionRun) away(trouble Trouble, servers int) {
	for _, row := range d.rows[1 : 1+servers] {
		d.lost[row.Server] = true
	}
	late := min(listLate, d.seconds/2)
	used := d.decide(late)
	began := d.clock.now()
	d.list()
	used += (d.clock.now() - began).Seconds()
	used += d.decide(d.seconds - late)
	d.book(trouble, used)
	clear(d.lost)
	d.list()
}

func (d *decisionRun) start() error {
	router, err := routing.NewEngine(settingsOf(d.options), int64(d.options.Seed%(1<<62)))
	d.router = router
	if err == nil {
		d.list()
	}
	return err
}

// serverRows lists the head office first, then all caches, then the area caches.
func serverRows(o Options) []routing.Endpoint {
	rows := []routing.Endpoint{{Server: "s-00000000", Zone: upperZone, Kind: "origin", Status: "healthy", Weight: 1}}
	caches := o.scaled(fleetCaches)
	for i := range caches + o.scaled(fleetZones) {
		row := routing.Endpoint{Server: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Zone: cacheZone, Kind: "box", Status: "healthy", Weight: 1}
		if i >= caches {
			row.Zone, row.Kind = upperZone, "parent"
		}
		rows = append(rows, row)
	}
	return rows
}

// runDecisions has one router decide at the peak's rate with all caches listed in its zone. Decisions cost no datagram.
func runDecisions(o Options) (*Result, error) {
	clock, release := lockClock()
	defer release()
	d := &decisionRun{options: o, seconds: decisionSeconds, clock: clock, rows: serverRows(o), lost: map[string]bool{}, now: second, result: &Result{Simulated: 1}}
	if o.Brief {
		d.seconds = decisionBrief
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	used := d.decide(d.seconds)
	d.book(OrdinaryDay, used)
	servedOnDay := float64(d.served) / float64(d.made)
	caches := o.scaled(fleetCaches)
	d.away(ProcessLost, 1)
	d.away(RackLost, max(caches/o.scaled(fleetSites), 1))
	d.away(ZoneLost, max(caches/fleetZones, 1))
	d.away(RegionLost, max(caches/fleetRegions, 1))
	d.away(RegionsCut, caches-max(caches/fleetRegions, 1)) // all but the own region's
	if err := d.start(); err != nil {
		return nil, err
	}
	used = d.decide(d.seconds)
	d.book(Restarted, used)
	d.result.Figures = []Figure{{"requests_per_s", requestsPerSecond}, {"caches", float64(caches)}, {"served_on_ordinary_day", servedOnDay}, {"served_in_all", float64(d.served) / float64(d.made)}}
	return d.result, nil
}
