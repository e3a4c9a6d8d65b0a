package scale

import (
	"math/rand/v2"

	"spantack/core/fleet"
)

// failingServer is the id of the server that all routers observe failing in the verdicts test.
const failingServer = 0x2a

// serversOfSameKind are the ids of all servers of the failing server's kind.
var serversOfSameKind = []uint32{failingServer, failingServer + 1, failingServer + 2}

// reportSize is the payload size in bytes of a health report's datagram. It contains no membership updates, which are
// sent only with pings and acks.
var reportSize = bodyOffset + bodySizes[opHealthReport]

// Durations of the phases of the verdicts test, in seconds, and their number.
const (
	reportSteadyStateSeconds = 5
	reportFaultSeconds       = 10
	reportPhaseCount         = 6
)

const (
	reportTickInterval = second / 20
	highLossRate       = 0.3 // loss rate in the scenario PacketLoss

	// reportWorldStream separates the random numbers of a reportWorld from others with the same seed.
	reportWorldStream = 11
)

// reportRouter is the health-report state of one router, without its membership node.
type reportRouter struct {
	reports    *fleet.HealthReports
	site       int
	region     int
	tickOffset int64 // in microseconds; random, so that routers do not all tick at the same time
	isUp       bool
	traffic    traffic
}

// reportDelivery is a health report in flight to one router.
type reportDelivery struct {
	from, to int // ranks
	server   uint32
}

// reportWorld simulates the health reports of a fleet, with every router in full.
type reportWorld struct {
	rng             *rand.Rand
	now             int64
	routers         []*reportRouter // by rank
	calendar        calendar[reportDelivery]
	serverIsFailing bool // all routers observe failingServer failing
	isPartitioned   bool // reports pass only within regions
	lossRate        float64
}

func newReportWorld(o Options) *reportWorld {
	w := &reportWorld{
		rng:      rand.New(rand.NewPCG(o.Seed, reportWorldStream)),
		now:      second,
		lossRate: baseLossRate,
	}
	sites := o.scaled(fleetSites)
	for rank := range o.Routers {
		w.routers = append(w.routers, &reportRouter{site: rank * sites / o.Routers, region: regionOf(rank, o.Routers)})
		w.start(rank)
	}
	return w
}

// start starts a router with an empty state.
func (w *reportWorld) start(rank int) {
	router := w.routers[rank]
	router.isUp = true
	router.tickOffset = w.rng.Int64N(reportTickInterval/slotDuration) * slotDuration
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), uint64(rank)))
	send := func(server uint32, _ fleet.Condition) { w.broadcast(rank, server) }
	router.reports = fleet.NewHealthReports(router.site, len(w.routers), rng, send)
}

func (w *reportWorld) startAll(ranks []int) {
	for _, rank := range ranks {
		w.start(rank)
	}
}

func (w *reportWorld) stopAll(ranks []int) {
	for _, rank := range ranks {
		w.routers[rank].isUp = false
	}
}

// broadcast sends a report of a server to all other routers. The sender counts it as one datagram.
func (w *reportWorld) broadcast(from int, server uint32) {
	sender := w.routers[from]
	sender.traffic.add(w.now, reportSize)
	for to, receiver := range w.routers {
		if to == from || w.isPartitioned && receiver.region != sender.region || w.rng.Float64() < w.lossRate {
			continue
		}
		w.calendar.add(arrivalTime(w.rng, w.now), reportDelivery{from, to, server})
	}
}

// run simulates a number of seconds of virtual time.
func (w *reportWorld) run(seconds int64) {
	for until := w.now + seconds*second; w.now < until; w.now += slotDuration {
		for _, delivery := range w.calendar.take(w.now) {
			w.receive(delivery)
		}
		for _, router := range w.routers {
			if router.isUp && w.now%reportTickInterval == router.tickOffset {
				w.tick(router)
			}
		}
	}
}

func (w *reportWorld) receive(delivery reportDelivery) {
	router := w.routers[delivery.to]
	if !router.isUp {
		return
	}
	router.traffic.add(w.now, reportSize)
	router.reports.Receive(w.now, delivery.server, fleet.Failing, w.routers[delivery.from].site)
}

func (w *reportWorld) tick(router *reportRouter) {
	if w.serverIsFailing {
		router.reports.ReportCondition(w.now, failingServer, fleet.Failing)
	}
	router.reports.Tick(w.now)
}

// ejectingFraction returns the fraction of the running routers that have ejected the failing server.
func (w *reportWorld) ejectingFraction() float64 {
	ejecting := 0
	running := 0
	for _, router := range w.routers {
		if router.isUp {
			running++
			ejecting += len(router.reports.Ejected(w.now, fleet.Failing, serversOfSameKind))
		}
	}
	return float64(ejecting) / float64(running)
}

// measure simulates a phase and returns its cost. The CPU time is the mean over all routers and includes the overhead
// of the simulation.
func (w *reportWorld) measure(clock threadCPUClock, scenario Scenario, seconds int64) Phase {
	for _, router := range w.routers {
		router.traffic = traffic{}
	}
	startedAt := clock.now()
	w.run(seconds)
	used := clock.now() - startedAt
	var running []*traffic
	for _, router := range w.routers {
		if router.isUp {
			running = append(running, &router.traffic)
		}
	}
	phase, _ := newPhase(scenario, seconds, running)
	phase.CPUPercent = cpuPercent(used, float64(seconds)) / float64(len(w.routers))
	phase.MemoryKB = memoryKB(w.routers[0].reports)
	return phase
}

// ranksOfLastRegion returns the ranks of all routers in the region of the last router.
func (w *reportWorld) ranksOfLastRegion() (ranks []int) {
	region := w.routers[len(w.routers)-1].region
	for rank, router := range w.routers {
		if router.region == region {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// runVerdicts measures health reports without membership. The test begins with a steady state without reports. Then all
// routers observe the same server failing, from the same moment until the end of the test. The first phase with the
// failing server has no other fault. Each of the following phases has one further fault: packet loss, the loss of
// a region, a partition of regions, or a mass restart.
func runVerdicts(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	w := newReportWorld(o)
	result := &Result{SimulatedProcesses: o.Routers}
	steadyStateSeconds, faultSeconds := int64(reportSteadyStateSeconds), int64(reportFaultSeconds)
	if o.ShortPhases {
		steadyStateSeconds, faultSeconds = minShortSeconds, minShortSeconds
	}
	runPhase := func(scenario Scenario, seconds int64) {
		result.Phases = append(result.Phases, w.measure(clock, scenario, seconds))
		o.Progress(len(result.Phases), reportPhaseCount)
	}
	runPhase(SteadyState, steadyStateSeconds)

	w.serverIsFailing = true
	runPhase(ServerFailing, faultSeconds)
	result.addMetric("knowing", w.ejectingFraction())

	w.lossRate = highLossRate
	runPhase(PacketLoss, faultSeconds)
	result.addMetric("knowing_at_loss", w.ejectingFraction())
	w.lossRate = baseLossRate

	region := w.ranksOfLastRegion()
	w.stopAll(region)
	runPhase(RegionLost, faultSeconds)
	w.startAll(region)

	w.isPartitioned = true
	runPhase(RegionsPartitioned, faultSeconds)
	w.isPartitioned = false

	for rank := range w.routers {
		if restartsInMassRestart(rank) {
			w.start(rank)
		}
	}
	runPhase(MassRestart, faultSeconds)
	return result, nil
}
