package testwait

import (
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"
)

// Stopwatch measures how long something takes, less the time for which the machine had more to run than CPUs: a bound on it holds on a
// machine that is busy too, and is as tight as it says on one that is not.
type Stopwatch struct {
	startedAt      time.Time
	starvedAtStart time.Duration // of the machine, when it began
}

// StartStopwatch begins a measurement.
func StartStopwatch() *Stopwatch { return &Stopwatch{time.Now(), cpuStarvation()} }

// Elapsed is the result so far.
func (w *Stopwatch) Elapsed() time.Duration {
	return time.Since(w.startedAt) - (cpuStarvation() - w.starvedAtStart)
}

// starvedShare is how much of the time some process of the machine waited for a CPU.
func (w *Stopwatch) starvedShare() float64 {
	return float64(cpuStarvation()-w.starvedAtStart) / float64(time.Since(w.startedAt))
}

var cpuPressureTotal = regexp.MustCompile(`some .* total=(\d+)`)

// cpuStarvation is for how long, since the machine's start, some process was ready to run and had no CPU. It stays 0 where the system does
// not tell.
func cpuStarvation() time.Duration {
	text, _ := os.ReadFile("/proc/pressure/cpu")
	found := cpuPressureTotal.FindSubmatch(text)
	if found == nil {
		return 0
	}
	us, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return time.Duration(us) * time.Microsecond
}

const (
	// maxRuns is how often a play is tried that a machine without CPUs to spare may spoil.
	maxRuns = 5
	// starvedThreshold is the share of its time from which on that may be.
	starvedThreshold = 0.2
)

// RetryIfStarved runs a play of what must happen within a short time. Where it finds a fault on a machine that was starved meanwhile, it is played
// again; a fault that comes in each play is one.
func RetryIfStarved(t testing.TB, play func() error) {
	t.Helper()
	for n := 1; ; n++ {
		w := StartStopwatch()
		fault := play()
		if fault == nil {
			return
		}
		share := w.starvedShare()
		if share < starvedThreshold || n == maxRuns {
			t.Fatalf("play %d, CPUs short for %.2f of the time: %v", n, share, fault)
		}
		t.Logf("play %d again, CPUs short for %.2f of the time: %v", n, share, fault)
	}
}
