package scale

import (
	"runtime"
	"time"

	"github.com/DmitriyVTitov/size"
	"golang.org/x/sys/unix"
)

// traffic counts what one process sends and receives.
type traffic struct {
	bytes       int64
	datagrams   int64
	windowEnd   int64 // of the second that is being counted
	windowBytes int64 // so far in it
	peakBytes   int64 // greatest windowBytes
}

// add counts one datagram or frame.
func (t *traffic) add(now int64, size int) {
	t.bytes += int64(size)
	t.datagrams++
	if now >= t.windowEnd {
		t.windowEnd = now + second
		t.windowBytes = 0
	}
	t.windowBytes += int64(size)
	t.peakBytes = max(t.peakBytes, t.windowBytes)
}

// newPhase returns a phase with the traffic of all processes that run, and the index of the one with the most bytes.
// There must be one at least.
func newPhase(scenario Scenario, seconds int64, running []*traffic) (phase Phase, busiest int) {
	duration := float64(seconds)
	phase = Phase{Scenario: scenario, Seconds: duration}
	total := int64(0)
	for i, t := range running {
		total += t.bytes
		if t.bytes > running[busiest].bytes {
			busiest = i
		}
		phase.WorstDatagramsPerSecond = max(phase.WorstDatagramsPerSecond, float64(t.datagrams)/duration)
		phase.PeakBytes = max(phase.PeakBytes, float64(t.peakBytes))
	}
	phase.MeanBytesPerSecond = float64(total) / float64(len(running)) / duration
	phase.WorstBytesPerSecond = float64(running[busiest].bytes) / duration
	return phase, busiest
}

// threadCPUClock reads the processor time of the calling thread, which must not change meanwhile.
type threadCPUClock struct{}

// lockThreadCPUClock keeps the calling goroutine on its thread until release is called.
func lockThreadCPUClock() (clock threadCPUClock, release func()) {
	runtime.LockOSThread()
	return threadCPUClock{}, runtime.UnlockOSThread
}

// now returns 0 on a system that does not tell; figures are 0 then.
func (threadCPUClock) now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// cpuPercent returns processor time in percent of a time in virtual seconds.
func cpuPercent(used time.Duration, seconds float64) float64 { return used.Seconds() / seconds * 100 }

// memoryKB returns the size of all that a pointer leads to.
func memoryKB(pointer any) float64 { return float64(size.Of(&pointer)) / 1024 }
