package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"unsafe"

	"pgregory.net/rapid"
)

// timerHeap is a heap of timers. It is the reference for tests of the wheel and the baseline of its benchmark.
type timerHeap struct {
	entries []*heapEntry
	lastSeq uint64
}

type heapEntry struct {
	due     int64
	seq     uint64
	payload uint64
	index   int // -1: fired or cancelled
}

func (h *timerHeap) Len() int { return len(h.entries) }

func (h *timerHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	return a.due < b.due || a.due == b.due && a.seq < b.seq
}

func (h *timerHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index = i
	h.entries[j].index = j
}

func (h *timerHeap) Push(x any) {
	e := x.(*heapEntry)
	e.index = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *timerHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries = h.entries[:last]
	e.index = -1
	return e
}

func (h *timerHeap) add(due int64, payload uint64) *heapEntry {
	h.lastSeq++
	e := &heapEntry{due: due, seq: h.lastSeq, payload: payload}
	heap.Push(h, e)
	return e
}

func (h *timerHeap) cancel(e *heapEntry) bool {
	if e.index < 0 {
		return false
	}
	heap.Remove(h, e.index)
	e.index = -1
	return true
}

// advance calls fire for each timer that is due by now.
func (h *timerHeap) advance(now int64, fire func(payload uint64, due int64)) {
	for h.Len() > 0 && h.entries[0].due <= now {
		e := heap.Pop(h).(*heapEntry)
		fire(e.payload, e.due)
	}
}

// Guards against timers that fire in the wrong order or not at all, and against a wrong result of Cancel, for due times
// from now to years ahead. The reference is a heap.
func TestWheelAgreesWithHeap(t *testing.T) {
	type pair struct {
		handle Handle
		entry  *heapEntry
	}
	distances := []int64{1, 63, 64, 65, 4095, 4096, 1 << 20, 1 << 31, 1 << 43, 1 << 50}
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Int64Range(0, 1<<45).Draw(t, "start")
		w, h := NewWheel(now, 1), &timerHeap{}
		var pairs []pair
		var fired, want []string
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				due := now + rapid.Int64Range(-5, rapid.SampledFrom(distances).Draw(t, "maxDelay")).Draw(t, "delay")
				pairs = append(pairs, pair{w.Add(due, uint64(i)), h.add(due, uint64(i))})
			case 2:
				if len(pairs) > 0 {
					x := pairs[rapid.IntRange(0, len(pairs)-1).Draw(t, "index")]
					if got, want := w.Cancel(x.handle), h.cancel(x.entry); got != want {
						t.Fatalf("Cancel of the wheel returns %v, of the heap %v", got, want)
					}
				}
			default:
				now += rapid.Int64Range(1, rapid.SampledFrom(distances).Draw(t, "maxAdvance")).Draw(t, "advance")
				if next := w.Next(); h.Len() > 0 && next > max(h.entries[0].due, w.currentTick+1) {
					t.Fatalf("Next is %d, but a timer is due at %d", next, h.entries[0].due)
				}
				w.Advance(now, func(payload uint64, due int64) { fired = append(fired, fmt.Sprint(payload, "@", due)) })
				h.advance(now, func(payload uint64, due int64) { want = append(want, fmt.Sprint(payload, "@", due)) })
			}
			if w.count != h.Len() {
				t.Fatalf("%d timers in the wheel, %d in the heap", w.count, h.Len())
			}
		}
		if fmt.Sprint(fired) != fmt.Sprint(want) {
			t.Fatalf("fired %v\nwant  %v", fired, want)
		}
	})
}

// Guards against timers that fire early, or later than 1.7 ms after their due time: a slot of 1 ms plus up to 0.7 ms
// between calls of Advance.
func TestWheelFiresWithinSlotAfterDueTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	w := NewWheel(0, 1000)
	now := int64(0)
	for range 20_000 {
		w.Add(now+int64(rng.IntN(5_000_000)), 0)
		now += int64(rng.IntN(700))
		w.Advance(now, func(_ uint64, due int64) {
			if due > now || now-due > 1000+700 {
				t.Fatalf("timer due at %d fires at %d", due, now)
			}
		})
	}
	w.Advance(now+5_000_000+1000, func(uint64, int64) {})
	if w.count != 0 || w.Next() != math.MaxInt64 {
		t.Errorf("%d timers left", w.count)
	}
}

// Guards against fire callbacks that cannot add a timer that is due immediately, or cannot cancel another timer that is
// due by now but in a later slot.
func TestFireCallbackAddsAndCancelsTimers(t *testing.T) {
	w := NewWheel(0, 1)
	var order []uint64
	w.Add(10, 1)
	second := w.Add(20, 2)
	w.Advance(100, func(payload uint64, _ int64) {
		order = append(order, payload)
		if payload == 1 {
			w.Add(15, 3)
			if !w.Cancel(second) {
				t.Error("Cancel fails for a timer that has not fired")
			}
		}
	})
	if fmt.Sprint(order) != "[1 3]" || w.count != 0 {
		t.Errorf("fired %v, %d timers left", order, w.count)
	}
}

// BenchmarkTimers measures iterations with n pending timers. Each iteration adds and cancels one timer, as most
// requests do, adds another one and advances the time.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1000, 1_000_000, 10_000_000} {
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			w, now := NewWheel(0, 1000), int64(0)
			for range n {
				w.Add(int64(rng.IntN(60_000_000)), 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				handle := w.Add(now+int64(rng.IntN(3_000_000)), 0)
				w.Add(now+int64(rng.IntN(60_000_000)), 0)
				w.Cancel(handle)
				now += int64(60_000_000 / n)
				w.Advance(now, func(uint64, int64) {})
			}
			bytes := float64(cap(w.timers)) * float64(unsafe.Sizeof(timer{}))
			b.ReportMetric(bytes/float64(n), "B/timer")
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			h, now := &timerHeap{}, int64(0)
			for range n {
				h.add(int64(rng.IntN(60_000_000)), 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				entry := h.add(now+int64(rng.IntN(3_000_000)), 0)
				h.add(now+int64(rng.IntN(60_000_000)), 0)
				h.cancel(entry)
				now += int64(60_000_000 / n)
				h.advance(now, func(uint64, int64) {})
			}
		})
	}
}
