package scale

import (
	"runtime"
	"time"

	"github.com/DmitriyVTitov/size"
	"golang.org/x/sys/unix"
)

// second is one second of virtual time, in microseconds.
const second = int64(1_000_000)

// traffic counts what one process sends and hears.
type traffic struct {
	bytes, datagrams       int64
	windowEnd              int64 // of the second that is being counted
	windowBytes, peakBytes int64
}

// add counts one datagram or frame.
func (t *traffic) add(now int64, size int) {
	t.bytes += int64(size)
	t.datagrams++
	if now >= t.windowEnd {
		t.windowEnd, t.windowBytes = now+second, 0
	}
	t.windowBytes += int64(size)
	t.peakBytes = max(t.peakBytes, t.windowBytes)
}

// threadCPUClock reads the processor time of the calling thread, which must not change meanwhile.
type threadCPUClock struct{}

// lockThreadCPUClock keeps the calling goroutine on its thread until release is called.
func lockThreadCPUClock() (clock threadCPUClock, release func()) {
	runtime.LockOSThread()
	return threadCPUClock{}, runtime.UnlockOSThread
}

func (threadCPUClock) now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0 // not had on this system: the figure then says 0
	}
	return time.Duration(t.Nano())
}

// cpuPercent is processor time as a part of virtual seconds.
func cpuPercent(used time.Duration, seconds float64) float64 { return used.Seconds() / seconds * 100 }

// memoryKB is the size of all that a pointer leads to.
func memoryKB(pointer any) float64 { return float64(size.Of(&pointer)) / 1024 }
