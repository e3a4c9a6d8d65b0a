package testwait

import (
	"os"
	"regexp"
	"strconv"
	"time"
)

// Stopwatch measures elapsed time without the time in which some process waited for a CPU. A test can therefore use
// the same time limit on a busy machine as on an idle one. On an idle machine the limit is as strict as without a
// Stopwatch.
type Stopwatch struct {
	startedAt      time.Time
	starvedAtStart time.Duration
}

// StartStopwatch returns a Stopwatch that starts now.
func StartStopwatch() *Stopwatch {
	return &Stopwatch{startedAt: time.Now(), starvedAtStart: cpuStarvation()}
}

// Elapsed returns the time since the start, without the time in which some process waited for a CPU.
func (s *Stopwatch) Elapsed() time.Duration {
	return time.Since(s.startedAt) - (cpuStarvation() - s.starvedAtStart)
}

// starvedShare returns the fraction of the time since the start in which some process of the machine waited for a CPU.
func (s *Stopwatch) starvedShare() float64 {
	return float64(cpuStarvation()-s.starvedAtStart) / float64(time.Since(s.startedAt))
}

// cpuPressureTotal matches the total of the line "some" in /proc/pressure/cpu, in microseconds.
var cpuPressureTotal = regexp.MustCompile(`some .* total=(\d+)`)

// cpuStarvation returns the total time since boot in which some process was ready to run but had no CPU. It is 0 if the
// system does not report this.
func cpuStarvation() time.Duration {
	text, _ := os.ReadFile("/proc/pressure/cpu")
	found := cpuPressureTotal.FindSubmatch(text)
	if found == nil {
		return 0
	}
	us, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return time.Duration(us) * time.Microsecond
}
