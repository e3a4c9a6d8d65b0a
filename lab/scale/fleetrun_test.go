package scale

import (
	"math"
	"testing"
)

// Where all routers want of one limit, its holder receives from them all: more than ten times what another does, and in
// proportion to the size.
func TestHolderOfALimitBearsAll(t *testing.T) {
	small := run(t, "limits", Options{Routers: 300, Seed: 3, MaxSimulated: fewest})
	large := run(t, "limits", Options{Routers: 1_000, Seed: 3, MaxSimulated: fewest})
	ofSmall, ofLarge := small.Worst().WorstBytesPerSecond, large.Worst().WorstBytesPerSecond
	growth := ofLarge / ofSmall
	if ofSmall < 10*small.MeanBytesPerSecond() || growth < 2.5 || growth > 4.5 {
		t.Errorf("the holder has %.0f bytes a second of 300 routers, %.0f of 1,000", ofSmall, ofLarge)
	}
	if small.WithinBudget() || large.WithinBudget() {
		t.Error("within the budget of a router")
	}
}

// A sample of processes that each play several routers costs each as much as all routers simulated do. Early after a
// cold start a sample is some way ahead, as what is new gets round fewer processes sooner.
func TestSampleAgreesWithAll(t *testing.T) {
	const tolerance = 0.2
	for _, name := range []string{"membership", "limits"} {
		all := run(t, name, Options{Routers: 160, Seed: 4, MaxSimulated: 160})
		sample := run(t, name, Options{Routers: 160, Seed: 4, MaxSimulated: 40})
		if all.SimulatedProcesses != 160 || sample.SimulatedProcesses != 40 {
			t.Fatalf("%s: %d and %d processes simulated", name, all.SimulatedProcesses, sample.SimulatedProcesses)
		}
		if a, b := meanBytes(all), meanBytes(sample); math.Abs(b/a-1) > tolerance {
			t.Errorf("%s: %.0f bytes a second over all phases, of a sample %.0f", name, a, b)
		}
		a, b := all.Worst().WorstBytesPerSecond, sample.Worst().WorstBytesPerSecond
		if math.Abs(b/a-1) > 2*tolerance {
			t.Errorf("%s: the worst process has %.0f bytes a second, of a sample %.0f", name, a, b)
		}
	}
}

// meanBytes is the mean of all processes over all phases: when a new holder is found, and in which phase, is chance.
func meanBytes(r *Result) float64 {
	bytes, seconds := 0.0, 0.0
	for _, phase := range r.Phases {
		bytes += phase.MeanBytesPerSecond * phase.Seconds
		seconds += phase.Seconds
	}
	return bytes / seconds
}
