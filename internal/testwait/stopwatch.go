package testwait

import (
	"os"
	"regexp"
	"strconv"
	"time"
)

// Stopwatch measures how long something takes, less the time for which the machine had more to run than CPUs: a
// bound on it holds on a machine that is busy too, and is as tight as it says on one that is not.
type Stopwatch struct {
	startedAt      time.Time
	starvedAtStart time.Duration // cpuStarvation then
}

// StartStopwatch begins a measurement.
func StartStopwatch() *Stopwatch {
	return &Stopwatch{startedAt: time.Now(), starvedAtStart: cpuStarvation()}
}

// Elapsed returns the result so far.
func (s *Stopwatch) Elapsed() time.Duration {
	return time.Since(s.startedAt) - (cpuStarvation() - s.starvedAtStart)
}

// starvedShare returns how much of the time some process of the machine waited for a CPU.
func (s *Stopwatch) starvedShare() float64 {
	return float64(cpuStarvation()-s.starvedAtStart) / float64(time.Since(s.startedAt))
}

// cpuPressureTotal finds the total of /proc/pressure/cpu, in microseconds.
var cpuPressureTotal = regexp.MustCompile(`some .* total=(\d+)`)

// cpuStarvation returns for how long, since the machine's start, some process was ready to run and had no CPU. It
// stays 0 where the system does not tell.
func cpuStarvation() time.Duration {
	text, _ := os.ReadFile("/proc/pressure/cpu")
	found := cpuPressureTotal.FindSubmatch(text)
	if found == nil {
		return 0
	}
	us, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return time.Duration(us) * time.Microsecond
}
