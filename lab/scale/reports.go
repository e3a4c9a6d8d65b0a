package scale

import (
	"math/rand/v2"

	"spantack/core/fleet"
)

// failingServer is the one that all routers observe failing in the verdicts test; the others are of its kind.
const failingServer = 0x2a

var serversOfSameKind = []uint32{failingServer, failingServer + 1, failingServer + 2}

// reportSize is the payload of a report's datagram without membership updates, which go out with probes alone.
var reportSize = bodyOffset + bodySizes[opHealthReport]

// Of the verdicts test, in seconds.
const (
	reportSteadyStateSeconds = 5
	reportFaultSeconds       = 10
	reportPhaseCount         = 6
)

const (
	reportTickInterval = second / 20
	// highLossRate of the datagrams are lost in the phase that has the network lose them.
	highLossRate = 0.3
)

// reportRouter is one router's part in reports of servers, without its membership.
type reportRouter struct {
	reports    *fleet.HealthReports
	site       int
	region     int
	tickOffset int64 // offset of its ticks, which are not in phase with those of others
	isUp       bool
	traffic    traffic
}

// reportDelivery is a report on its way to one router.
type reportDelivery struct {
	from, to int
	server   uint32
}

// reportWorld plays the reports of all routers, each simulated in full.
type reportWorld struct {
	rng             *rand.Rand
	now             int64
	routers         []*reportRouter
	calendar        [slotCount][]reportDelivery
	serverIsFailing bool // all observe failingServer failing
	isPartitioned   bool // regions do not hear one another
	lossRate        float64
}

func newReportWorld(o Options) *reportWorld {
	w := &reportWorld{rng: rand.New(rand.NewPCG(o.Seed, 11)), now: second, lossRate: baseLossRate}
	depots := o.scaled(fleetSites)
	for rank := range o.Routers {
		w.routers = append(w.routers, &reportRouter{site: rank * depots / o.Routers, region: rank * fleetRegions / o.Routers})
		w.start(rank)
	}
	return w
}

// start gives a router an empty state.
func (w *reportWorld) start(rank int) {
	r := w.routers[rank]
	r.isUp = true
	r.tickOffset = w.rng.Int64N(reportTickInterval/slotDuration) * slotDuration
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), uint64(rank)))
	r.reports = fleet.NewHealthReports(r.site, len(w.routers), rng, func(server uint32, _ fleet.Condition) { w.broadcast(rank, server) })
}

// broadcast sends one datagram to the address that reaches all.
func (w *reportWorld) broadcast(from int, server uint32) {
	sender := w.routers[from]
	sender.traffic.add(w.now, reportSize)
	for to, r := range w.routers {
		if to == from || w.isPartitioned && r.region != sender.region || w.rng.Float64() < w.lossRate {
			continue
		}
		at := w.now + minDelay + w.rng.Int64N(delaySpan)
		slot := at / slotDuration % slotCount
		w.calendar[slot] = append(w.calendar[slot], reportDelivery{from, to, server})
	}
}

// run lets virtual time pass.
func (w *reportWorld) run(seconds int64) {
	for until := w.now + seconds*second; w.now < until; w.now += slotDuration {
		slot := w.now / slotDuration % slotCount
		due := w.calendar[slot]
		w.calendar[slot] = nil
		for _, d := range due {
			w.receive(d)
		}
		for _, r := range w.routers {
			if r.isUp && w.now%reportTickInterval == r.tickOffset {
				w.tick(r)
			}
		}
	}
}

func (w *reportWorld) receive(d reportDelivery) {
	r := w.routers[d.to]
	if !r.isUp {
		return
	}
	r.traffic.add(w.now, reportSize)
	r.reports.Receive(w.now, d.server, fleet.Failing, w.routers[d.from].site)
}

func (w *reportWorld) tick(r *reportRouter) {
	if w.serverIsFailing {
		r.reports.ReportFailure(w.now, failingServer, fleet.Failing)
	}
	r.reports.Tick(w.now)
}

// ejectingFraction is the part of the routers that run on which the verdict is in force.
func (w *reportWorld) ejectingFraction() float64 {
	know, running := 0, 0
	for _, r := range w.routers {
		if !r.isUp {
			continue
		}
		running++
		know += len(r.reports.Ejected(w.now, fleet.Failing, serversOfSameKind))
	}
	return float64(know) / float64(running)
}

// measure lets a phase pass and books what it cost. The processor time is the mean of all routers, with what the simulation takes.
func (w *reportWorld) measure(clock threadCPUClock, trouble Scenario, seconds int64) Phase {
	for _, r := range w.routers {
		r.traffic = traffic{}
	}
	began := clock.now()
	w.run(seconds)
	used := clock.now() - began
	phase := Phase{Scenario: trouble, Seconds: float64(seconds), CPUPercent: cpuPercent(used, float64(seconds)) / float64(len(w.routers))}
	bytes, running := 0.0, 0.0
	for _, r := range w.routers {
		if !r.isUp {
			continue
		}
		running++
		bytes += float64(r.traffic.bytes)
		phase.WorstBytesPerSecond = max(phase.WorstBytesPerSecond, float64(r.traffic.bytes)/float64(seconds))
		phase.WorstDatagramsPerSecond = max(phase.WorstDatagramsPerSecond, float64(r.traffic.datagrams)/float64(seconds))
		phase.PeakBytes = max(phase.PeakBytes, float64(r.traffic.peakBytes))
	}
	phase.MeanBytesPerSecond = bytes / running / float64(seconds)
	phase.MemoryKB = memoryKB(w.routers[0].reports)
	return phase
}

// runVerdicts plays reports alone, from an ordinary day with none on to all routers that observe one server failing at the same moment, through losses.
func runVerdicts(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	w := newReportWorld(o)
	result := &Result{SimulatedProcesses: o.Routers}
	day, trouble := int64(reportSteadyStateSeconds), int64(reportFaultSeconds)
	if o.ShortPhases {
		day, trouble = minShortSeconds, minShortSeconds
	}
	book := func(t Scenario, seconds int64) {
		result.Phases = append(result.Phases, w.measure(clock, t, seconds))
		o.Progress(len(result.Phases), reportPhaseCount)
	}
	book(SteadyState, day)
	w.serverIsFailing = true
	book(ServerFailing, trouble)
	result.Metrics = append(result.Metrics, Metric{"knowing", w.ejectingFraction()})
	w.lossRate = highLossRate
	book(PacketLoss, trouble)
	result.Metrics = append(result.Metrics, Metric{"knowing_at_loss", w.ejectingFraction()})
	w.lossRate = baseLossRate
	lost := w.ranksOfLastRegion()
	w.setRunning(lost, false)
	book(RegionLost, trouble)
	w.setRunning(lost, true)
	w.isPartitioned = true
	book(RegionsPartitioned, trouble)
	w.isPartitioned = false
	var restarted []int
	for rank := range w.routers {
		if rank%10 < 7 {
			restarted = append(restarted, rank)
		}
	}
	w.setRunning(restarted, true)
	book(MassRestart, trouble)
	return result, nil
}

// ranksOfLastRegion lists the routers of the last router's region.
func (w *reportWorld) ranksOfLastRegion() (ranks []int) {
	last := w.routers[len(w.routers)-1].region
	for rank, r := range w.routers {
		if r.region == last {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// setRunning ends routers, or starts them anew with nothing.
func (w *reportWorld) setRunning(ranks []int, up bool) {
	for _, rank := range ranks {
		if up {
			w.start(rank)
		} else {
			w.routers[rank].isUp = false
		}
	}
}
