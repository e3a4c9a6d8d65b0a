package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

// failureRate returns the fraction of a cell's requests that fail at present.
type failureRate func(p *Progress, cell string) float64

func constantRate(rate float64) failureRate {
	return func(*Progress, string) float64 { return rate }
}

// runRollout runs a rollout in steps of 1 s up to the time until, in ms, with requestsPerS requests to each cell. It
// also returns the states of all rings after each change.
func runRollout(t testing.TB, r Rollout, seed uint64, requestsPerS float64, rate failureRate, until float64) (
	*Progress, [][]RingState) {
	t.Helper()
	p, err := NewProgress(&r, 0)
	if err != nil {
		t.Fatal(err)
	}
	src := rand.NewPCG(seed, 0x57)
	draw := func(total, badFraction float64) float64 {
		return min(distuv.Poisson{Lambda: total * badFraction, Src: src}.Rand(), total)
	}
	var history [][]RingState
	for now := 0.0; now < until; now += 1000 {
		for _, cell := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			p.Count(cell, Failures, requestsPerS, draw(requestsPerS, rate(p, cell)))
			p.Count(cell, LateAnswers, requestsPerS, draw(requestsPerS, 0.02))
			p.Count(cell, FillErrors, requestsPerS/4, draw(requestsPerS/4, 0.01))
		}
		if changed := p.Step(now); len(changed) > 0 {
			history = append(history, ringStates(p))
		}
	}
	return p, history
}

func ringStates(p *Progress) []RingState {
	var states []RingState
	for i := range p.Rollout().Rings {
		state, _ := p.State(i)
		states = append(states, state)
	}
	return states
}

// Guards against a healthy release that does not pass all rings, and against rings that open before the previous one
// has passed.
func TestHealthyReleasePassesRingByRing(t *testing.T) {
	p, history := runRollout(t, sampleRollout(), 1, 300, constantRate(0.01), 600_000)
	for i := range 3 {
		if state, _ := p.State(i); state != RingPassed {
			t.Errorf("ring %d is %s, want passed", i, state)
		}
	}
	for _, states := range history {
		if states[1] != RingClosed && states[0] != RingPassed || states[2] != RingClosed && states[1] != RingPassed {
			t.Errorf("a ring opened before the previous one passed: %v", states)
		}
	}
}

// Guards against a degraded release that reaches cells outside the first ring.
func TestDegradedReleaseIsStoppedInFirstRing(t *testing.T) {
	p, history := runRollout(t, sampleRollout(), 2, 300, func(p *Progress, cell string) float64 {
		if p.HasRelease(cell) {
			return 0.05
		}
		return 0.01
	}, 600_000)
	for _, states := range history {
		if states[1] != RingClosed && states[1] != RingStopped {
			t.Errorf("release reaches the second ring: %v", states)
		}
	}
	if state, metric := p.State(0); state != RingStopped || metric != Failures || p.HasRelease("a") {
		t.Errorf("first ring is %s, metric %s", state, metric)
	}
}

// Guards against a release that stays in the first ring after a degradation that occurs only in the second ring.
func TestDegradationInLaterRingStopsAllRings(t *testing.T) {
	p, _ := runRollout(t, sampleRollout(), 3, 300, failuresAfterFirstRing, 600_000)
	for _, cell := range []string{"a", "b", "c", "d"} {
		if p.HasRelease(cell) {
			t.Errorf("cell %s still has the release after a degradation in the second ring", cell)
		}
	}
}

func failuresAfterFirstRing(p *Progress, cell string) float64 {
	if p.HasRelease(cell) && cell != "a" {
		return 0.08
	}
	return 0.01
}

// Guards against a verdict for a ring with hardly any traffic, and against a next ring that opens, or stays closed,
// contrary to OnUndecided.
func TestRingWithoutTrafficIsUndecided(t *testing.T) {
	for _, onUndecided := range []string{"", ProceedWhenUndecided} {
		r := sampleRollout()
		r.OnUndecided = onUndecided
		p, _ := runRollout(t, r, 4, 0.5, constantRate(0.01), 250_000)
		state, _ := p.State(0)
		next, _ := p.State(1)
		if state != RingUndecided || (next == RingClosed) != (onUndecided == "") {
			t.Errorf("onUndecided %q: ring is %s, next ring is %s", onUndecided, state, next)
		}
	}
}

// Guards against rings that stay open or open again after the document's RollbackAt.
func TestRollbackByDocumentStopsAllRings(t *testing.T) {
	r := sampleRollout()
	r.RollbackAt = 80_000
	p, _ := runRollout(t, r, 5, 300, constantRate(0.01), 250_000)
	for i := range r.Rings {
		if state, _ := p.State(i); state != RingStopped {
			t.Errorf("ring %d is %s, want stopped", i, state)
		}
	}
}

// Guards against a release in only some cells of a ring, or in a cell outside the rings.
func TestReleaseIsInWholeRings(t *testing.T) {
	r := sampleRollout()
	p, _ := runRollout(t, r, 6, 100, func(p *Progress, _ string) float64 {
		for _, ring := range r.Rings {
			released := 0
			for _, cell := range ring.Cells {
				if p.HasRelease(cell) {
					released++
				}
			}
			if released != 0 && released != len(ring.Cells) {
				t.Fatalf("%d of the cells %v have the release", released, ring.Cells)
			}
		}
		return 0.01
	}, 100_000)
	if p.HasRelease("h") || p.HasRelease("unknown") {
		t.Error("a cell outside the rings has the release")
	}
	if len(p.Evidence(0)) != int(metricCount) || len(p.counts) != 0 && slices.Max(p.Evidence(0)) == math.Inf(1) {
		t.Error("evidence is missing or infinite")
	}
}
