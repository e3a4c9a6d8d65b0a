package testwait

import "testing"

const (
	// maxRuns is how often a check is run that a machine without CPUs to spare may spoil.
	maxRuns = 5
	// starvedThreshold is the share of a run's time without CPUs from which on the machine may have spoilt it.
	starvedThreshold = 0.2
)

// RetryIfStarved runs a check of what must happen within a short time. Where it finds a fault on a machine that was
// starved of CPU meanwhile, it is run again; a fault that comes in each run is one.
func RetryIfStarved(t testing.TB, check func() error) {
	t.Helper()
	for run := 1; ; run++ {
		stopwatch := StartStopwatch()
		fault := check()
		if fault == nil {
			return
		}
		share := stopwatch.starvedShare()
		if share < starvedThreshold || run == maxRuns {
			t.Fatalf("run %d, CPUs short for %.2f of the time: %v", run, share, fault)
		}
		t.Logf("run %d again, CPUs short for %.2f of the time: %v", run, share, fault)
	}
}
