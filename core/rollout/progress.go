package rollout

import (
	"maps"
	"slices"
)

// RingState is where a ring stands.
type RingState int

// The states of a ring.
const (
	RingClosed    RingState = iota // not open yet
	RingJudging                    // open, and tested
	RingPassed                     // open, and healthy
	RingUndecided                  // open; its time is over without a verdict
	RingStopped                    // rolled back: harm was found, here or in another ring, or the document says so
)

var ringStateNames = []string{"shut", "judging", "passed", "can't tell", "stopped"}

// String returns the word for the state that log and status output use.
func (s RingState) String() string { return ringStateNames[s] }

// sampleInterval is how often what was counted is tested, in ms.
const sampleInterval = 1000.0

// Progress is how far one router is with a rollout. Every router tests by what it sees itself. Harm that one sees
// stops the release there at once, and elsewhere when the document says so or the others see it too.
//
// It is not safe for concurrent use.
type Progress struct {
	rollout    *Rollout
	rings      []ringProgress
	ringOf     map[string]int           // by cell
	counts     map[string]*metricCounts // of each cell, since sampledAt
	sampledAt  float64
	rolledBack bool // the document's RollbackAt has come
}

// ringProgress is one ring as this router has it.
type ringProgress struct {
	state        RingState
	openedAt     float64 // 0: never
	test         *SequentialTest
	harmed       bool // harm was found in this ring, by this router
	harmedMetric Metric
}

// NewProgress begins a rollout at a time, with every ring closed, or returns the error of r.Validate. A router that
// starts in the midst opens rings one after the other like others did: their verdicts it does not know.
func NewProgress(r *Rollout, now float64) (*Progress, error) {
	if err := r.Validate(); err != nil {
		return nil, err
	}
	p := &Progress{rollout: r, ringOf: map[string]int{}, counts: map[string]*metricCounts{}, sampledAt: now}
	for i, ring := range r.Rings {
		test, err := NewSequentialTest(r.TestParameters())
		if err != nil {
			return nil, err
		}
		p.rings = append(p.rings, ringProgress{test: test})
		for _, cell := range ring.Cells {
			p.ringOf[cell] = i
		}
	}
	return p, nil
}

// Continue goes on with another version of the document. It reports whether that is the same rollout, of the same
// name and kind and with the same cells in its rings, and has no effect if it is not.
func (p *Progress) Continue(next *Rollout) bool {
	sameCells := func(a, b Ring) bool { return slices.Equal(a.Cells, b.Cells) }
	if next.Name != p.rollout.Name || next.ReplacesObjects != p.rollout.ReplacesObjects ||
		!slices.EqualFunc(next.Rings, p.rollout.Rings, sameCells) {
		return false
	}
	p.rollout = next
	return true
}

// Rollout is the document in force.
func (p *Progress) Rollout() *Rollout { return p.rollout }

// Count records events of a cell, of which so many were bad. A release that harms what else its cell serves is found
// too if they are counted over all requests.
func (p *Progress) Count(cell string, m Metric, total, bad float64) {
	counts := p.counts[cell]
	if counts == nil {
		counts = &metricCounts{}
		p.counts[cell] = counts
	}
	counts[m].add(Counts{Total: total, Bad: bad})
}

// State returns where a ring stands, and for RingStopped the metric, if harm was found in it by this router.
func (p *Progress) State(ring int) (RingState, Metric) {
	return p.rings[ring].state, p.rings[ring].harmedMetric
}

// HarmObserved reports whether harm was found in a ring by this router.
func (p *Progress) HarmObserved(ring int) bool { return p.rings[ring].harmed }

// Evidence is the log likelihood ratio for harm in a ring, by metric.
func (p *Progress) Evidence(ring int) []float64 {
	var all []float64
	for m := range metricCount {
		all = append(all, p.rings[ring].test.Evidence(m))
	}
	return all
}

// Step advances to now: it tests what was counted, closes what harms and opens the rings whose turn it is. It returns
// the rings whose state changed; one that changed twice twice.
func (p *Progress) Step(now float64) (changed []int) {
	if p.rollout.RollbackAt > 0 && now >= p.rollout.RollbackAt {
		p.rolledBack = true
		return p.stopAll(nil)
	}
	if now-p.sampledAt >= sampleInterval {
		p.sampledAt = now
		p.takeSample()
	}
	for i := range p.rings {
		switch p.rings[i].state {
		case RingClosed:
			if p.mayOpen(i, now) {
				p.rings[i].openedAt = now
				changed = p.setState(i, RingJudging, changed)
			}
		case RingJudging, RingUndecided:
			verdict, metric := p.rings[i].test.Verdict()
			if verdict == Harmful {
				p.rings[i].harmed = true
				p.rings[i].harmedMetric = metric
				return p.stopAll(changed) // what is harmful in one ring neither stays in others nor goes on
			}
			changed = p.setState(i, p.judgedState(i, verdict, now), changed)
		}
	}
	return changed
}

// mayOpen reports whether a closed ring opens now: its time has come, and the ring before it lets the release go on.
func (p *Progress) mayOpen(ring int, now float64) bool {
	return now >= p.rollout.Rings[ring].OpensAt && (ring == 0 || p.allowsNext(ring-1))
}

// allowsNext reports whether the ring after one may open.
func (p *Progress) allowsNext(ring int) bool {
	switch p.rings[ring].state {
	case RingPassed:
		return true
	case RingUndecided:
		return p.rollout.OnUndecided == ProceedWhenUndecided
	}
	return false
}

// judgedState is the state of an open ring by a verdict that is not Harmful.
func (p *Progress) judgedState(ring int, verdict Verdict, now float64) RingState {
	switch {
	case verdict == Healthy:
		return RingPassed
	case now >= p.rings[ring].openedAt+p.rollout.Rings[ring].JudgeWithin:
		return RingUndecided
	}
	return p.rings[ring].state
}

// stopAll stops every ring and appends those whose state changed.
func (p *Progress) stopAll(changed []int) []int {
	for i := range p.rings {
		changed = p.setState(i, RingStopped, changed)
	}
	return changed
}

// setState sets a ring's state and appends the ring if it changed.
func (p *Progress) setState(ring int, state RingState, changed []int) []int {
	if p.rings[ring].state == state {
		return changed
	}
	p.rings[ring].state = state
	return append(changed, ring)
}

// takeSample hands what was counted to the tests: each ring against all cells without the release.
func (p *Progress) takeSample() {
	control := p.controlCounts()
	for i := range p.rings {
		ring := &p.rings[i]
		sample := p.sampleOf(i, control)
		switch ring.state {
		case RingClosed:
			ring.test.AddBaseline(sample)
		case RingJudging, RingUndecided, RingPassed:
			ring.test.Add(sample)
		}
	}
	clear(p.counts)
}

// controlCounts sums the counts of all cells without the release, in the order of their names, so that the sum comes
// out the same each time.
func (p *Progress) controlCounts() metricCounts {
	var control metricCounts
	for _, cell := range slices.Sorted(maps.Keys(p.counts)) {
		if !p.HasRelease(cell) {
			control.add(p.counts[cell])
		}
	}
	return control
}

// sampleOf is a ring's counts against the control's. The cells of a ring that is closed are not their own control.
func (p *Progress) sampleOf(ring int, control metricCounts) Sample {
	var counts metricCounts
	for _, cell := range p.rollout.Rings[ring].Cells {
		cellCounts := p.counts[cell]
		if cellCounts == nil {
			continue
		}
		counts.add(cellCounts)
		if !p.HasRelease(cell) {
			control.subtract(cellCounts)
		}
	}
	return Sample{Ring: counts, Control: control}
}
