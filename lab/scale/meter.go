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
	bytes, datagrams int64
	secondEnds       int64 // of the second that is being counted
	inSecond, peak   int64
}

// add counts one datagram or frame.
func (t *traffic) add(now int64, size int) {
	t.bytes += int64(size)
	t.datagrams++
	if now >= t.secondEnds {
		t.secondEnds, t.inSecond = now+second, 0
	}
	t.inSecond += int64(size)
	t.peak = max(t.peak, t.inSecond)
}

// cpuClock reads the processor time of the calling thread, which must not change meanwhile.
type cpuClock struct{}

// lockClock keeps the calling goroutine on its thread until release is called.
func lockClock() (clock cpuClock, release func()) {
	runtime.LockOSThread()
	return cpuClock{}, runtime.UnlockOSThread
}

func (cpuClock) now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0 // not had on this system: the figure then says 0
	}
	return time.Duration(t.Nano())
}

// percent is processor time as a part of virtual seconds.
func percent(used time.Duration, seconds float64) float64 { return used.Seconds() / seconds * 100 }

// memoryKB is the size of all that a pointer leads to.
func memoryKB(pointer any) float64 { return float64(size.Of(&pointer)) / 1024 }
