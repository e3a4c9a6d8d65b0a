package testwait

import "testing"

const (
	// maxRuns is the maximum number of runs of a check.
	maxRuns = 5
	// starvedThreshold is a fraction of a run's time. If some process waited for a CPU in this fraction or more, the
	// wait may have caused the failure, and the run is repeated.
	starvedThreshold = 0.2
)

// RetryIfStarved runs a check of something that must happen within a short time. It repeats a check that fails while
// the machine is starved of CPU. The test fails if a run fails on a machine that is not starved, or if all maxRuns runs
// fail.
func RetryIfStarved(t testing.TB, check func() error) {
	t.Helper()
	for run := 1; ; run++ {
		stopwatch := StartStopwatch()
		err := check()
		if err == nil {
			return
		}
		share := stopwatch.starvedShare()
		if share < starvedThreshold || run == maxRuns {
			t.Fatalf("run %d, starved of CPU for %.2f of the time: %v", run, share, err)
		}
		t.Logf("repeating run %d, starved of CPU for %.2f of the time: %v", run, share, err)
	}
}
