package scale

import (
	"runtime"
	"time"

	"github.com/DmitriyVTitov/size"
	"golang.org/x/sys/unix"
)

// traffic counts the datagrams and frames that one process sends and receives.
type traffic struct {
	bytes       int64
	datagrams   int64
	windowEnd   int64 // end of the current window of one second
	windowBytes int64 // bytes in the current window
	peakBytes   int64 // maximum of windowBytes
}

// add counts one datagram or frame of size bytes.
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

// newPhase returns a phase with the traffic of the running processes, and the index of the process with the most bytes.
// There must be at least one process.
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

// threadCPUClock reads the CPU time of the calling thread. The goroutine must stay on its thread between two readings.
type threadCPUClock struct{}

// lockThreadCPUClock locks the calling goroutine to its thread until release is called.
func lockThreadCPUClock() (clock threadCPUClock, release func()) {
	runtime.LockOSThread()
	return threadCPUClock{}, runtime.UnlockOSThread
}

// now returns the CPU time so far. On a system without this clock it returns 0, and all CPU figures are 0.
func (threadCPUClock) now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// cpuPercent returns CPU time as a percentage of a duration in virtual seconds.
func cpuPercent(used time.Duration, seconds float64) float64 { return used.Seconds() / seconds * 100 }

// memoryKB returns the size, in KB of 1,024 bytes, of everything that is reachable from a pointer.
func memoryKB(pointer any) float64 { return float64(size.Of(&pointer)) / 1024 }
