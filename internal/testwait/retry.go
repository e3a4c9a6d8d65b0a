package testwait

import "testing"

const (
	// maxRuns is the maximum number of runs of a check.
	maxRuns = 5
	// starvedThreshold is a fraction of a run's time. A failed run is repeated if some process waited for a CPU for at
	// least this fraction of its time, because the wait may have caused the failure.
	starvedThreshold = 0.2
)

// RetryIfStarved runs a check with a short time limit. It repeats a check that fails while the machine is starved of
// CPU. The test fails if a run fails on a machine that is not starved, or if all maxRuns runs fail.
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
			t.Fatalf("run %d failed; some process waited for a CPU in %.2f of its time: %v", run, share, err)
		}
		t.Logf("repeating run %d; some process waited for a CPU in %.2f of its time: %v", run, share, err)
	}
}
