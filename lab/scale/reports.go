package scale

import (
	"math/rand/v2"

	"spantack/core/fleet"
)

// failingServer is the one that all routers observe failing in the verdicts test; the others are of its kind.
const failingServer = 0x2a

var serversOfItsKind = []uint32{failingServer, failingServer + 1, failingServer + 2}

// reportSize is the payload of a report's datagram without membership updates, which go out with probes alone.
var reportSize = bodyAt + bodySizes[opReport]

// Of the verdicts test, in seconds.
const (
	reportDay     = 5
	reportTrouble = 10
	reportPhases  = 6
)

const (
	reportTick = second / 20
	// lossyPart of the datagrams are lost in the phase that has the network lose them.
	lossyPart = 0.3
)

// reportingRouter is one router's part in reports of servers, without its membership.
type reportingRouter struct {
	reports *fleet.HealthReports
	depot   int
	region  int
	tickAt  int64 // offset of its ticks, which are not in phase with those of others
	up      bool
	traffic traffic
}

// reportDelivery is a report on its way to one router.
type reportDelivery struct {
	from, to int
	server   uint32
}

// reportWorld plays the reports of all routers, each simulated in full.
type reportWorld struct {
	rng      *rand.Rand
	now      int64
	routers  []*reportingRouter
	calendar [slots][]reportDelivery
	failing  bool // all observe failingServer failing
	cut      bool // regions do not hear one another
	loss     float64
}

func newReportWorld(o Options) *reportWorld {
	w := &reportWorld{rng: rand.New(rand.NewPCG(o.Seed, 11)), now: second, loss: lossPart}
	depots := o.scaled(fleetSites)
	for rank := range o.Routers {
		w.routers = append(w.routers, &reportingRouter{depot: rank * depots / o.Routers, region: rank * fleetRegions / o.Routers})
		w.start(rank)
	}
	return w
}

// start gives a router an empty state.
func (w *reportWorld) start(rank int) {
	r := w.routers[rank]
	r.up = true
	r.tickAt = w.rng.Int64N(reportTick/slotTime) * slotTime
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), uint64(rank)))
	r.reports = fleet.NewHealthReports(r.depot, len(w.routers), rng, func(server uint32, _ fleet.Condition) { w.broadcast(rank, server) })
}

// broadcast sends one datagram to the address that reaches all.
func (w *reportWorld) broadcast(from int, server uint32) {
	sender := w.routers[from]
	sender.traffic.add(w.now, reportSize)
	for to, r := range w.routers {
		if to == from || w.cut && r.region != sender.region || w.rng.Float64() < w.loss {
			continue
		}
		at := w.now + leastDelay + w.rng.Int64N(delaySpan)
		slot := at / slotTime % slots
		w.calendar[slot] = append(w.calendar[slot], reportDelivery{from, to, server})
	}
}

// run lets virtual time pass.
func (w *reportWorld) run(seconds int64) {
	for until := w.now + seconds*second; w.now < until; w.now += slotTime {
		slot := w.now / slotTime % slots
		due := w.calendar[slot]
		w.calendar[slot] = nil
		for _, d := range due {
			w.receive(d)
		}
		for _, r := range w.routers {
			if r.up && w.now%reportTick == r.tickAt {
				w.tick(r)
			}
		}
	}
}

func (w *reportWorld) receive(d reportDelivery) {
	r := w.routers[d.to]
	if !r.up {
		return
	}
	r.traffic.add(w.now, reportSize)
	r.reports.Receive(w.now, d.server, fleet.Failing, w.routers[d.from].depot)
}

func (w *reportWorld) tick(r *reportingRouter) {
	if w.failing {
		r.reports.ReportFailure(w.now, failingServer, fleet.Failing)
	}
	r.reports.Tick(w.now)
}

// knowing is the part of the routers that run on which the verdict is in force.
func (w *reportWorld) knowing() float64 {
	know, running := 0, 0
	for _, r := range w.routers {
		if !r.up {
			continue
		}
		running++
		know += len(r.reports.Ejected(w.now, fleet.Failing, serversOfItsKind))
	}
	return float64(know) / float64(running)
}

// measure lets a phase pass and books what it cost. The processor time is the mean of all routers, with what the simulation takes.
func (w *reportWorld) measure(clock cpuClock, trouble Trouble, seconds int64) Phase {
	for _, r := range w.routers {
		r.traffic = traffic{}
	}
	began := clock.now()
	w.run(seconds)
	used := clock.now() - began
	phase := Phase{Trouble: trouble, Seconds: float64(seconds), CPUPercent: percent(used, float64(seconds)) / float64(len(w.routers))}
	bytes, running := 0.0, 0.0
	for _, r := range w.routers {
		if !r.up {
			continue
		}
		running++
		bytes += float64(r.traffic.bytes)
		phase.WorstBytesPerSecond = max(phase.WorstBytesPerSecond, float64(r.traffic.bytes)/float64(seconds))
		phase.WorstDatagramsPerSecond = max(phase.WorstDatagramsPerSecond, float64(r.traffic.datagrams)/float64(seconds))
		phase.PeakBytes = max(phase.PeakBytes, float64(r.traffic.peak))
	}
	phase.MeanBytesPerSecond = bytes / running / float64(seconds)
	phase.MemoryKB = memoryKB(w.routers[0].reports)
	return phase
}

// runVerdicts plays reports alone, from an ordinary day with none on to all routers that observe one server failing at the same moment, through losses.
func runVerdicts(o Options) (*Result, error) {
	clock, release := lockClock()
	defer release()
	w := newReportWorld(o)
	result := &Result{Simulated: o.Routers}
	day, trouble := int64(reportDay), int64(reportTrouble)
	if o.Brief {
		day, trouble = leastBrief, leastBrief
	}
	book := func(t Trouble, seconds int64) {
		result.Phases = append(result.Phases, w.measure(clock, t, seconds))
		o.Progress(len(result.Phases), reportPhases)
	}
	book(OrdinaryDay, day)
	w.failing = true
	book(ServerFailing, trouble)
	result.Figures = append(result.Figures, Figure{"knowing", w.knowing()})
	w.loss = lossyPart
	book(ThreeInTenLost, trouble)
	result.Figures = append(result.Figures, Figure{"knowing_at_loss", w.knowing()})
	w.loss = lossPart
	lost := w.regionOfLast()
	w.setUp(lost, false)
	book(RegionLost, trouble)
	w.setUp(lost, true)
	w.cut = true
	book(RegionsCut, trouble)
	w.cut = false
	var restarted []int
	for rank := range w.routers {
		if rank%10 < 7 {
			restarted = append(restarted, rank)
		}
	}
	w.setUp(restarted, true)
	book(Restarted, trouble)
	return result, nil
}

// regionOfLast lists the routers of the last router's region.
func (w *reportWorld) regionOfLast() (ranks []int) {
	last := w.routers[len(w.routers)-1].region
	for rank, r := range w.routers {
		if r.region == last {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// setUp ends routers, or starts them anew with nothing.
func (w *reportWorld) setUp(ranks []int, up bool) {
	for _, rank := range ranks {
		if up {
			w.start(rank)
		} else {
			w.routers[rank].up = false
		}
	}
}
