package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

// failureRate is the part of a cell's requests that fail at present.
type failureRate func(p *Progress, cell string) float64

func constantRate(rate float64) failureRate {
	return func(*Progress, string) float64 { return rate }
}

// play runs a rollout second by second until a time, with so many requests a second in each cell. It returns the
// states of all rings after each change.
func play(t testing.TB, r Rollout, seed uint64, requestsPerS float64, rate failureRate, until float64) (
	*Progress, [][]RingState) {
	t.Helper()
	p, err := NewProgress(&r, 0)
	if err != nil {
		t.Fatal(err)
	}
	src := rand.NewPCG(seed, 0x57)
	draw := func(total, badPart float64) float64 {
		return min(distuv.Poisson{Lambda: total * badPart, Src: src}.Rand(), total)
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

// A healthy release passes ring after ring, each after the one before.
func TestHealthyReleasePassesRingByRing(t *testing.T) {
	p, history := play(t, sampleRollout(), 1, 300, constantRate(0.01), 600_000)
	for i := range 3 {
		if state, _ := p.State(i); state != RingPassed {
			t.Errorf("ring %d: %s", i, state)
		}
	}
	for _, states := range history {
		if states[1] != RingClosed && states[0] != RingPassed || states[2] != RingClosed && states[1] != RingPassed {
			t.Errorf("states %v", states)
		}
	}
}

// A harmful release is stopped in the first ring and reaches no other cell.
func TestHarmfulReleaseIsStoppedInTheFirstRing(t *testing.T) {
	p, history := play(t, sampleRollout(), 2, 300, func(p *Progress, cell string) float64 {
		if p.HasRelease(cell) {
			return 0.05
		}
		return 0.01
	}, 600_000)
	for _, states := range history {
		if states[1] != RingClosed && states[1] != RingStopped {
			t.Errorf("gets to the second ring: %v", states)
		}
	}
	if state, metric := p.State(0); state != RingStopped || metric != Failures || p.HasRelease("a") {
		t.Errorf("%s by %s", state, metric)
	}
}

// A release that does harm in the second ring's cells alone is rolled back in the first as well.
func TestHarmInALaterRingStopsAll(t *testing.T) {
	p, _ := play(t, sampleRollout(), 3, 300, harmAfterTheFirstRing, 600_000)
	for _, cell := range []string{"a", "b", "c", "d"} {
		if p.HasRelease(cell) {
			t.Errorf("harm in the second ring, and %s still has the release", cell)
		}
	}
}

func harmAfterTheFirstRing(p *Progress, cell string) float64 {
	if p.HasRelease(cell) && cell != "a" {
		return 0.08
	}
	return 0.01
}

// With hardly any traffic a ring neither passes nor is stopped, and says so; whether the next one opens is as the
// document says.
func TestUndecidedRing(t *testing.T) {
	for _, onUndecided := range []string{"", ProceedWhenUndecided} {
		r := sampleRollout()
		r.OnUndecided = onUndecided
		p, _ := play(t, r, 4, 0.5, constantRate(0.01), 250_000)
		state, _ := p.State(0)
		next, _ := p.State(1)
		if state != RingUndecided || (next == RingClosed) != (onUndecided == "") {
			t.Errorf("onUndecided %q: %s, and the next %s", onUndecided, state, next)
		}
	}
}

// The document's RollbackAt stops all rings at its time, and for good.
func TestRollbackByDocument(t *testing.T) {
	r := sampleRollout()
	r.RollbackAt = 80_000
	p, _ := play(t, r, 5, 300, constantRate(0.01), 250_000)
	for i := range r.Rings {
		if state, _ := p.State(i); state != RingStopped {
			t.Errorf("ring %d: %s", i, state)
		}
	}
}

// Every cell of a ring has the release or none has, and no cell outside the rings ever.
func TestReleaseIsInWholeRings(t *testing.T) {
	r := sampleRollout()
	p, _ := play(t, r, 6, 100, func(p *Progress, _ string) float64 {
		for _, ring := range r.Rings {
			open := 0
			for _, cell := range ring.Cells {
				if p.HasRelease(cell) {
					open++
				}
			}
			if open != 0 && open != len(ring.Cells) {
				t.Fatalf("%d of %v have the release", open, ring.Cells)
			}
		}
		return 0.01
	}, 100_000)
	if p.HasRelease("h") || p.HasRelease("nowhere") {
		t.Error("a cell in no ring has the release")
	}
	if len(p.Evidence(0)) != int(metricCount) || len(p.counts) != 0 && slices.Max(p.Evidence(0)) == math.Inf(1) {
		t.Error("no evidence")
	}
}
