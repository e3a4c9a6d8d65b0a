package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"unsafe"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// plain is a heap of timers: what the wheel must agree with, and is measured against.
type plain struct {
	list []*entry
	seq  uint64
}

type entry struct {
	due     int64
	seq     uint64
	payload uint64
	at      int
}

func (p *plain) Len() int { return len(p.list) }
func (p *plain) Less(i, j int) bool {
	return p.list[i].due < p.list[j].due || p.list[i].due == p.list[j].due && p.list[i].seq < p.list[j].seq
}
func (p *plain) Swap(i, j int) {
	p.list[i], p.list[j] = p.list[j], p.list[i]
	p.list[i].at, p.list[j].at = i, j
}
func (p *plain) Push(x any) {
	e := x.(*entry)
	e.at = len(p.list)
	p.list = append(p.list, e)
}
func (p *plain) Pop() any {
	n := len(p.list) - 1
	e := p.list[n]
	p.list = p.list[:n]
	e.at = -1
	return e
}

func (p *plain) add(due int64, payload uint64) *entry {
	p.seq++
	e := &entry{due: due, seq: p.seq, payload: payload}
	heap.Push(p, e)
	return e
}

func (p *plain) cancel(e *entry) bool {
	if e.at < 0 {
		return false
	}
	heap.Remove(p, e.at)
	e.at = -1
	return true
}

// A wheel does what a heap does, for timers near and years away, cancelled and set while others fire.
func TestWheelAgreesWithAHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Int64Range(0, 1<<45).Draw(t, "start")
		w, p := NewWheel(start, 1), &plain{}
		now := start
		type pair struct {
			h Handle
			e *entry
		}
		var all []pair
		far := []int64{1, 63, 64, 65, 4095, 4096, 1 << 20, 1 << 31, 1 << 43, 1 << 50}
		var fired, want []string
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				due := now + rapid.Int64Range(-5, rapid.SampledFrom(far).Draw(t, "far")).Draw(t, "in")
				all = append(all, pair{w.Add(due, uint64(i)), p.add(due, uint64(i))})
			case 2:
				if len(all) > 0 {
					x := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
					if got, want := w.Cancel(x.h), p.cancel(x.e); got != want {
						t.Fatalf("cancel says %v, the heap %v", got, want)
					}
				}
			default:
				now += rapid.Int64Range(1, rapid.SampledFrom(far).Draw(t, "by")).Draw(t, "on")
				if next := w.Next(); p.Len() > 0 && next > max(p.list[0].due, w.currentTick+1) {
					t.Fatalf("Next %d, a timer is due at %d", next, p.list[0].due)
				}
				w.Advance(now, func(payload uint64, due int64) { fired = append(fired, fmt.Sprint(payload, "@", due)) })
				for p.Len() > 0 && p.list[0].due <= now {
					e := heap.Pop(p).(*entry)
					want = append(want, fmt.Sprint(e.payload, "@", e.due))
				}
			}
			if w.Len() != p.Len() {
				t.Fatalf("%d wait, %d in the heap", w.Len(), p.Len())
			}
		}
		if fmt.Sprint(fired) != fmt.Sprint(want) {
			t.Fatalf("fired %v\nwant  %v", fired, want)
		}
	})
}

// With slots of a millisecond nothing fires early, and nothing later than a slot.
func TestWheelIsNeverEarly(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	w := NewWheel(0, 1000)
	now := int64(0)
	for range 20_000 {
		w.Add(now+int64(rng.IntN(5_000_000)), 0)
		now += int64(rng.IntN(700))
		w.Advance(now, func(_ uint64, due int64) {
			if due > now || now-due > 1000+700 {
				t.Fatalf("due %d fires at %d", due, now)
			}
		})
	}
	w.Advance(now+5_000_000+1000, func(uint64, int64) {})
	if w.Len() != 0 || w.Next() != math.MaxInt64 {
		t.Errorf("%d left", w.Len())
	}
}

// What fires may set timers that are due at once, and cancel others that are due too.
func TestTimersSetWhileFiring(t *testing.T) {
	w := NewWheel(0, 1)
	var order []uint64
	w.Add(10, 1)
	second := w.Add(20, 2)
	w.Advance(100, func(payload uint64, _ int64) {
		order = append(order, payload)
		if payload == 1 {
			w.Add(15, 3)
			if !w.Cancel(second) {
				t.Error("a timer that has not fired can't be cancelled")
			}
		}
	})
	if fmt.Sprint(order) != "[1 3]" || w.Len() != 0 {
		t.Errorf("fired %v, %d left", order, w.Len())
	}
}

// BenchmarkTimers keeps a number of timers waiting, sets and cancels one as most timers of requests are, and moves on.
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
				h := w.Add(now+int64(rng.IntN(3_000_000)), 0)
				w.Add(now+int64(rng.IntN(60_000_000)), 0)
				w.Cancel(h)
				now += int64(60_000_000 / n)
				w.Advance(now, func(uint64, int64) {})
			}
			b.ReportMetric(float64(cap(w.timers))*float64(unsafe.Sizeof(timer{}))/float64(n), "B/timer")
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			p, now := &plain{}, int64(0)
			for range n {
				p.add(int64(rng.IntN(60_000_000)), 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				e := p.add(now+int64(rng.IntN(3_000_000)), 0)
				p.add(now+int64(rng.IntN(60_000_000)), 0)
				p.cancel(e)
				now += int64(60_000_000 / n)
				for p.Len() > 0 && p.list[0].due <= now {
					heap.Pop(p)
				}
			}
		})
	}
}
