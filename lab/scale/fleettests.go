package scale

import (
	"cmp"
	"slices"

	"spantack/core/fleet"
)

// The tests of membership and limits of core/fleet. A larger fleet than wholeUpTo is simulated by a sample of processes, each of which plays
// leastFold ranks or more.
const leastFold = 4

// sample is how many processes are simulated up to a size; it falls with the size, as each costs more.
type sample struct{ upTo, processes int }

var (
	membershipSamples = []sample{{300, 300}, {3_000, 250}, {mostRouters, 4 * fleetRegions}}
	limitSamples      = []sample{{300, 300}, {3_000, 250}, {mostRouters, 4 * fleetRegions}}
)

// processesFor is how many processes stand for all routers.
func processesFor(o Options, samples []sample) int {
	at := slices.IndexFunc(samples, func(s sample) bool { return o.Routers <= s.upTo })
	most := samples[at].processes
	if o.Simulated > 0 {
		most = o.Simulated
	}
	if o.Routers <= most {
		return o.Routers
	}
	return min(most, o.Routers/leastFold)
}

// Seconds of virtual time.
type durations struct{ cold, day, trouble, cut, settle int64 }

var (
	longPhases  = durations{cold: 10, day: 15, trouble: 15, cut: 60, settle: 8}
	leasePhases = durations{cold: 6, day: 3, trouble: 4, cut: 60, settle: 2}
)

// Phases in a test's short form last a sixth, and so many seconds.
const (
	leastBrief = 2
	mostBrief  = 4
)

// brief shortens phases for tests.
func (d durations) brief(o Options) durations {
	if !o.Brief {
		return d
	}
	sixth := func(seconds int64) int64 { return min(max(seconds/briefDivision, leastBrief), mostBrief) }
	return durations{sixth(d.cold), sixth(d.day), sixth(d.trouble), sixth(d.cut), sixth(d.settle)}
}

// fleetRun plays the phases of one test on one world.
type fleetRun struct {
	w       *world
	lasts   durations
	result  *Result
	options Options
	all     int // phases that are to be measured
}

func newFleetRun(o Options, samples []sample, lasts durations, clock cpuClock, limits ...fleet.Limit) (*fleetRun, error) {
	processes := processesFor(o, samples)
	w, err := newWorld(o, clock, processes, limits...)
	if err != nil {
		return nil, err
	}
	return &fleetRun{w: w, lasts: lasts.brief(o), result: &Result{Simulated: processes}, options: o}, nil
}

// measure lets a phase pass and books what it cost.
func (f *fleetRun) measure(trouble Trouble, seconds int64) error {
	for _, p := range f.w.processes {
		p.traffic, p.cpu = traffic{}, 0
	}
	if err := f.w.run(f.w.now + seconds*second); err != nil {
		return err
	}
	f.result.Phases = append(f.result.Phases, f.w.phase(trouble, float64(seconds)))
	f.options.Progress(len(f.result.Phases), f.all)
	return nil
}

// phase sums up what processes that run counted.
func (w *world) phase(trouble Trouble, seconds float64) Phase {
	result := Phase{Trouble: trouble, Seconds: seconds}
	var running []*process
	bytes, used := 0.0, 0.0
	for _, p := range w.processes {
		if w.lost[p.primary] {
			continue
		}
		running = append(running, p)
		bytes += float64(p.traffic.bytes)
		used += percent(p.cpu, seconds)
		result.PeakBytes = max(result.PeakBytes, float64(p.traffic.peak))
		result.WorstDatagramsPerSecond = max(result.WorstDatagramsPerSecond, float64(p.traffic.datagrams)/seconds)
	}
	busiest := slices.MaxFunc(running, func(a, b *process) int { return cmp.Compare(a.traffic.bytes, b.traffic.bytes) })
	// Of all routers one is the busiest; the others are as those that were simulated are on average. Where routers ask several for a lease, as when
	// most have just started, a sample gives these too much weight.
	most, routers := float64(busiest.traffic.bytes), float64(w.routers)
	others := (bytes - most) / float64(len(running)-1)
	result.MeanBytesPerSecond = (most/routers + others*(routers-1)/routers) / seconds
	result.WorstBytesPerSecond = float64(busiest.traffic.bytes) / seconds
	result.CPUPercent = max(percent(busiest.cpu, seconds), used/float64(len(running)))
	result.MemoryKB = memoryKB(busiest.node)
	return result
}

// ranksIn lists the routers that a trouble takes away; alone is the one that is lost by itself.
func (f *fleetRun) ranksIn(trouble Trouble, alone int) []int {
	w := f.w
	last := w.processes[len(w.processes)-1]
	switch trouble {
	case ProcessLost:
		return []int{alone}
	case RackLost: // as many as a site has, in no region of their own: the last ranks
		site := w.routers / w.depots
		return w.ranksOf(func(rank int, _ *process) bool { return rank >= w.routers-site })
	case ZoneLost:
		return w.ranksOf(func(_ int, p *process) bool { return p.zone == last.zone })
	case RegionLost:
		return w.ranksOf(func(_ int, p *process) bool { return p.region == last.region })
	case Restarted:
		return w.ranksOf(func(_ int, p *process) bool { return p.place%10 < 7 })
	}
	return nil
}

// away plays a trouble that takes routers away, and lets them come back.
func (f *fleetRun) away(trouble Trouble, alone int) error {
	ranks := f.ranksIn(trouble, alone)
	f.w.lose(ranks)
	if err := f.measure(trouble, f.lasts.trouble); err != nil {
		return err
	}
	if trouble == ProcessLost && len(f.w.limits) == 0 { // seldom all: updates about a cold start are passed on for minutes, and this one waits among them
		f.result.Figures = append(f.result.Figures, Figure{"known_dead", f.w.knownDead(alone)})
	}
	if trouble == ProcessLost && len(f.w.limits) > 0 {
		if err := f.leaseBack(); err != nil {
			return err
		}
	}
	if err := f.w.restart(ranks); err != nil {
		return err
	}
	return f.settle()
}

// leaseBackWithin bounds the wait for a new holder, in seconds.
const leaseBackWithin = 30

// leaseBack waits until more than half have a holder again after the last one was lost, and books how long that took in all.
func (f *fleetRun) leaseBack() error {
	const look = second / 2
	took := f.lasts.trouble * second
	for f.w.led() <= 0.5 && took < leaseBackWithin*second {
		if err := f.w.run(f.w.now + look); err != nil {
			return err
		}
		took += look
	}
	f.result.Figures = append(f.result.Figures, Figure{"lease_back_s", float64(took) / float64(second)})
	return nil
}

// led is the part of the processes that a holder has lent to of late.
func (w *world) led() float64 {
	led, running := 0, 0
	for _, p := range w.processes {
		if w.lost[p.primary] {
			continue
		}
		running++
		if p.node.LimitStatuses(w.now)[0].Holder >= 0 {
			led++
		}
	}
	return float64(led) / float64(running)
}

// knownDead is the part of the processes that hold a router for dead.
func (w *world) knownDead(rank int) float64 {
	know, running := 0, 0
	for _, p := range w.processes {
		if w.lost[p.primary] {
			continue
		}
		running++
		if !p.node.IsUp(rank) {
			know++
		}
	}
	return float64(know) / float64(running)
}

func (f *fleetRun) settle() error { return f.w.run(f.w.now + f.lasts.settle*second) }

// cutOff keeps regions from hearing one another, and heals that; what follows the heal counts too.
func (f *fleetRun) cutOff() error {
	f.w.cut = true
	heal := f.lasts.settle
	for _, p := range f.w.processes {
		p.traffic, p.cpu = traffic{}, 0
	}
	if err := f.w.run(f.w.now + f.lasts.cut*second); err != nil {
		return err
	}
	f.w.cut = false
	if err := f.w.run(f.w.now + heal*second); err != nil {
		return err
	}
	f.result.Phases = append(f.result.Phases, f.w.phase(RegionsCut, float64(f.lasts.cut+heal)))
	f.options.Progress(len(f.result.Phases), f.all)
	return nil
}

// restartMost starts seven in ten anew at one moment, after they were away for a second.
func (f *fleetRun) restartMost() error {
	ranks := f.ranksIn(Restarted, 0)
	f.w.lose(ranks)
	if err := f.w.run(f.w.now + second); err != nil {
		return err
	}
	if err := f.w.restart(ranks); err != nil {
		return err
	}
	return f.measure(Restarted, f.lasts.trouble)
}

// play plays a cold start, an ordinary day, losses, regions cut off, and a restart of most. alone names the router to lose by itself.
func (f *fleetRun) play(alone func() int, losses ...Trouble) error {
	f.all = len(losses) + 4
	if err := f.measure(ColdStart, f.lasts.cold); err != nil {
		return err
	}
	if err := f.measure(OrdinaryDay, f.lasts.day); err != nil {
		return err
	}
	for _, trouble := range losses {
		if err := f.away(trouble, alone()); err != nil {
			return err
		}
	}
	if err := f.cutOff(); err != nil {
		return err
	}
	return f.restartMost()
}

func runMembership(o Options) (*Result, error) {
	clock, release := lockClock()
	defer release()
	f, err := newFleetRun(o, membershipSamples, longPhases, clock)
	if err != nil {
		return nil, err
	}
	lastRank := func() int { return o.Routers - 1 }
	if err := f.play(lastRank, ProcessLost, RackLost, ZoneLost, RegionLost); err != nil {
		return nil, err
	}
	return f.result, nil
}

// fleetLimit is the one that all routers want more of than there is, a quarter of it in floors.
func fleetLimit(routers int) fleet.Limit {
	return fleet.Limit{Name: "fills", Max: float64(4 * routers), FloorFraction: 0.25}
}

func runLimits(o Options) (*Result, error) {
	clock, release := lockClock()
	defer release()
	limit := fleetLimit(o.Routers)
	f, err := newFleetRun(o, limitSamples, leasePhases, clock, limit)
	if err != nil {
		return nil, err
	}
	holder := func() int { return f.w.holder(o.Routers - 1) }
	if err := f.play(holder, RackLost, ZoneLost, RegionLost, ProcessLost); err != nil {
		return nil, err
	}
	if !f.w.folded() {
		f.result.Figures = append(f.result.Figures, Figure{"used_at_end", f.w.shares() / limit.Max})
	}
	return f.result, nil
}

// holder is the rank that most have for the holder of the first limit; otherwise, where nobody has one, that of last.
func (w *world) holder(otherwise int) int {
	votes := make([]int, w.routers)
	best := otherwise
	for _, p := range w.processes {
		if rank := p.node.LimitStatuses(w.now)[0].Holder; rank >= 0 {
			if votes[rank]++; votes[rank] > votes[best] {
				best = rank
			}
		}
	}
	return best
}

// shares is what all routers may use of the first limit.
func (w *world) shares() (sum float64) {
	for _, p := range w.processes {
		if !w.lost[p.primary] {
			sum += p.node.Quota(w.now, 0)
		}
	}
	return sum
}
