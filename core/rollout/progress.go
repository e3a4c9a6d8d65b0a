package rollout

import (
	"maps"
	"slices"
)

// RingState is the state of a ring at one router.
type RingState int

// A ring goes from RingClosed to RingJudging, and then to RingPassed or RingUndecided. A ring that is RingUndecided can
// still become RingPassed, and any ring can become RingStopped.
const (
	RingClosed    RingState = iota // not yet open
	RingJudging                    // open, without a verdict so far
	RingPassed                     // open, found healthy
	RingUndecided                  // open, without a verdict within JudgeWithin
	RingStopped                    // closed by a degradation in any ring, or by a rollback in the document
)

var ringStateNames = []string{"shut", "judging", "passed", "can't tell", "stopped"}

// String returns the name of the state as it appears in logs and status output.
func (s RingState) String() string { return ringStateNames[s] }

// sampleInterval is the minimum time between two samples, in ms.
const sampleInterval = 1000.0

// Progress is the state of a rollout at one router. Each router tests rings on its own observations. A router that
// finds a degradation stops the release immediately. Other routers stop it when they find a degradation themselves, or
// when the document rolls the release back.
//
// It is not safe for concurrent use.
type Progress struct {
	rollout    *Rollout
	rings      []ringProgress
	ringOf     map[string]int           // by cell
	counts     map[string]*metricCounts // by cell, since sampledAt
	sampledAt  float64                  // Unix ms
	rolledBack bool                     // the document's RollbackAt has passed
}

// ringProgress is the state of a ring at this router.
type ringProgress struct {
	state          RingState
	openedAt       float64 // Unix ms; 0: never
	test           *SequentialTest
	degraded       bool   // this router found a degradation in this ring
	degradedMetric Metric // metric of the degradation; valid only if degraded is true
}

// NewProgress starts a rollout at now with all rings closed. It returns the error of r.Validate, if any. A router that
// starts during a rollout also opens one ring after the other, because it does not know the verdicts of other routers.
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

// Continue replaces the document by another version of the same rollout and keeps the state of the rings. It changes
// nothing and returns false if the name, ReplacesObjects, the number of rings or the cells of a ring differ. The tests
// of the rings keep the Alpha, Beta, MinDegradation and Margin of the document that NewProgress got.
func (p *Progress) Continue(next *Rollout) bool {
	sameCells := func(a, b Ring) bool { return slices.Equal(a.Cells, b.Cells) }
	if next.Name != p.rollout.Name || next.ReplacesObjects != p.rollout.ReplacesObjects ||
		!slices.EqualFunc(next.Rings, p.rollout.Rings, sameCells) {
		return false
	}
	p.rollout = next
	return true
}

// Rollout returns the current document.
func (p *Progress) Rollout() *Rollout { return p.rollout }

// Count adds events of a cell to a metric: total is the number of events, bad the number of bad ones among them. If a
// caller counts events of all requests, the test also finds a release that degrades requests for other objects.
func (p *Progress) Count(cell string, m Metric, total, bad float64) {
	counts := p.counts[cell]
	if counts == nil {
		counts = &metricCounts{}
		p.counts[cell] = counts
	}
	counts[m].add(Counts{Total: total, Bad: bad})
}

// State returns the state of a ring and the metric in which this router found a degradation in the ring. The metric is
// valid only if DegradationFound returns true for the ring; otherwise it is LateAnswers, the zero value.
func (p *Progress) State(ring int) (RingState, Metric) {
	return p.rings[ring].state, p.rings[ring].degradedMetric
}

// DegradationFound reports whether this router found a degradation in a ring.
func (p *Progress) DegradationFound(ring int) bool { return p.rings[ring].degraded }

// Evidence returns the test statistics of a ring, by metric; see SequentialTest.Evidence.
func (p *Progress) Evidence(ring int) []float64 {
	var all []float64
	for m := range metricCount {
		all = append(all, p.rings[ring].test.Evidence(m))
	}
	return all
}

// Step advances to now, in Unix ms. It tests the counts, stops all rings if one of them is degraded, and opens rings
// that may open. It returns the rings whose state changed. A ring is listed once for each change.
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
			if verdict == Degraded {
				p.rings[i].degraded = true
				p.rings[i].degradedMetric = metric
				return p.stopAll(changed)
			}
			changed = p.setState(i, p.stateAfterVerdict(i, verdict, now), changed)
		}
	}
	return changed
}

// mayOpen reports whether a closed ring may open: OpensAt has passed, and the previous ring allows it.
func (p *Progress) mayOpen(ring int, now float64) bool {
	return now >= p.rollout.Rings[ring].OpensAt && (ring == 0 || p.allowsNext(ring-1))
}

// allowsNext reports whether the state of a ring allows the next ring to open.
func (p *Progress) allowsNext(ring int) bool {
	switch p.rings[ring].state {
	case RingPassed:
		return true
	case RingUndecided:
		return p.rollout.OnUndecided == ProceedWhenUndecided
	}
	return false
}

// stateAfterVerdict returns the state of an open ring after a verdict other than Degraded.
func (p *Progress) stateAfterVerdict(ring int, verdict Verdict, now float64) RingState {
	switch {
	case verdict == Healthy:
		return RingPassed
	case now >= p.rings[ring].openedAt+p.rollout.Rings[ring].JudgeWithin:
		return RingUndecided
	}
	return p.rings[ring].state
}

// stopAll stops all rings. It appends the rings whose state changed to changed and returns it.
func (p *Progress) stopAll(changed []int) []int {
	for i := range p.rings {
		changed = p.setState(i, RingStopped, changed)
	}
	return changed
}

// setState sets the state of a ring. If the state changed, it appends the ring to changed. It returns changed.
func (p *Progress) setState(ring int, state RingState, changed []int) []int {
	if p.rings[ring].state == state {
		return changed
	}
	p.rings[ring].state = state
	return append(changed, ring)
}

// takeSample adds a sample to the test of each ring and resets the counts. The control of a ring is all cells without
// the release.
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

// controlCounts returns the sums of the counts of all cells without the release. It sorts the cells by name, so that
// floating-point sums are reproducible.
func (p *Progress) controlCounts() metricCounts {
	var control metricCounts
	for _, cell := range slices.Sorted(maps.Keys(p.counts)) {
		if !p.HasRelease(cell) {
			control.add(p.counts[cell])
		}
	}
	return control
}

// sampleOf returns the sample of a ring. If the ring is closed, control includes its cells. sampleOf subtracts them, so
// that the ring is not compared with itself.
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
