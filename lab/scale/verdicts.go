package scale

import (
	"math/rand/v2"

	"spantack/core/fleet"
)

// failingServer is the one that all routers observe failing in the verdicts test.
const failingServer = 0x2a

// serversOfSameKind are what may be ejected of the failing server's kind.
var serversOfSameKind = []uint32{failingServer, failingServer + 1, failingServer + 2}

// reportSize is the payload in bytes of a report's datagram without membership updates, which go out with pings and
// acks alone.
var reportSize = bodyOffset + bodySizes[opHealthReport]

// Phases of the verdicts test, in seconds.
const (
	reportSteadyStateSeconds = 5
	reportFaultSeconds       = 10
	reportPhaseCount         = 6
)

const (
	reportTickInterval = second / 20
	highLossRate       = 0.3 // of PacketLoss

	// reportWorldStream tells the random numbers of a reportWorld from others of the same seed.
	reportWorldStream = 11
)

// reportRouter is one router's part in health reports, without its membership.
type reportRouter struct {
	reports    *fleet.HealthReports
	site       int
	region     int
	tickOffset int64 // of its ticks, which are not in phase with those of others
	isUp       bool
	traffic    traffic
}

// reportDelivery is a report in flight to one router.
type reportDelivery struct {
	from, to int // ranks
	server   uint32
}

// reportWorld plays the health reports of all routers, each simulated in full.
type reportWorld struct {
	rng             *rand.Rand
	now             int64
	routers         []*reportRouter // by rank
	calendar        calendar[reportDelivery]
	serverIsFailing bool // all routers observe failingServer failing
	isPartitioned   bool // reports pass within regions alone
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

// start gives a router an empty state.
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

// broadcast sends one datagram to the address that reaches all.
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

// run lets virtual time pass.
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

// ejectingFraction returns the fraction of the running routers that eject the failing server.
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

// measure lets a phase pass and returns what it cost. The processor time is the mean of all routers, with what the
// simulation takes.
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

// ranksOfLastRegion returns the routers of the last router's region.
func (w *reportWorld) ranksOfLastRegion() (ranks []int) {
	region := w.routers[len(w.routers)-1].region
	for rank, router := range w.routers {
		if router.region == region {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// runVerdicts plays health reports alone: steady state without any, then all routers that observe one server failing
// from the same moment on, through loss of datagrams and of routers.
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
