package scale

import (
	"math"
	"testing"
)

// Guards against a simulation that drops lease requests on their way to the holder. All routers request leases of one
// limit from its holder. The holder's traffic must be at least ten times the mean, and must grow in proportion to the
// size of the fleet.
func TestLeaseHolderTrafficGrowsWithFleet(t *testing.T) {
	small := run(t, "limits", Options{Routers: 300, Seed: 3, MaxSimulated: fewestProcesses})
	large := run(t, "limits", Options{Routers: 1_000, Seed: 3, MaxSimulated: fewestProcesses})
	ofSmall, ofLarge := small.Worst().WorstBytesPerSecond, large.Worst().WorstBytesPerSecond
	growth := ofLarge / ofSmall
	if ofSmall < 10*small.MeanBytesPerSecond() || growth < 2.5 || growth > 4.5 {
		t.Errorf("holder: %.0f bytes/s with 300 routers, %.0f with 1,000; want 10 times the mean and growth by 2.5 to 4.5",
			ofSmall, ofLarge)
	}
	if small.WithinBudget() || large.WithinBudget() {
		t.Error("holder is within the budget of a router, which it must exceed")
	}
}

// Guards against sampled results that differ from results with all routers simulated. The cost of a process must be the
// same in both. Some difference is tolerated: updates reach all processes sooner if fewer processes are simulated.
// Therefore the processes of a sample have forwarded more updates shortly after a cold start.
func TestSampleMatchesFullSimulation(t *testing.T) {
	const tolerance = 0.2
	for _, name := range []string{"membership", "limits"} {
		all := run(t, name, Options{Routers: 160, Seed: 4, MaxSimulated: 160})
		sample := run(t, name, Options{Routers: 160, Seed: 4, MaxSimulated: 40})
		if all.SimulatedProcesses != 160 || sample.SimulatedProcesses != 40 {
			t.Fatalf("%s: %d and %d processes simulated", name, all.SimulatedProcesses, sample.SimulatedProcesses)
		}
		if a, b := meanBytes(all), meanBytes(sample); math.Abs(b/a-1) > tolerance {
			t.Errorf("%s: mean of %.0f bytes per second over all phases, %.0f in a sample", name, a, b)
		}
		a, b := all.Worst().WorstBytesPerSecond, sample.Worst().WorstBytesPerSecond
		if math.Abs(b/a-1) > 2*tolerance {
			t.Errorf("%s: worst process has %.0f bytes per second, %.0f in a sample", name, a, b)
		}
	}
}

// meanBytes returns the mean bytes per second of all processes over all phases. It averages over phases because the
// phase in which a new holder is found is random.
func meanBytes(r *Result) float64 {
	bytes, seconds := 0.0, 0.0
	for _, phase := range r.Phases {
		bytes += phase.MeanBytesPerSecond * phase.Seconds
		seconds += phase.Seconds
	}
	return bytes / seconds
}
