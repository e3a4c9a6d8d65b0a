// Package scheduler is for work that can wait: a timing wheel for very many timers, and a scheduler of background work with
// priorities, deadlines and budgets.
//
// It does no I/O and reads no clock: times come in as microseconds of the caller's choosing, random numbers from a seed.
// Nothing in it is safe for concurrent use.
package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// A Wheel holds timers in slots by their distance (Varghese and Lauck 1987, scheme 7): adding and cancelling one cost the same
// however many there are, and a span without timers is passed over by looking at a few words.
//
// Timers fire in the order of their due times, those of one time in the order in which they were added, and never early: a due
// time in the past fires at the next Advance.
type Wheel struct {
	tick        int64 // microseconds of a slot of the lowest level
	currentTick int64 // ticks that have been passed
	seq         uint64
	timers      []timer
	freeList    int32
	count       int
	slots       [levelCount][slotCount]int32 // first timer of each slot's list; 0: none
	occupied    [levelCount]uint64           // a bit for each slot that has one
	batch       []int32
}

const (
	levelCount = 7
	slotBits   = 6
	slotCount  = 1 << slotBits
)

type timer struct {
	due        int64
	seq        uint64
	payload    uint64
	generation uint32
	next, prev int32 // in the slot's list; 0: none
	level      int8  // -1: not in a slot
	slot       uint8
}

// Handle names a timer; the zero value names none.
type Handle struct {
	index      int32
	generation uint32
}

// NewWheel returns a wheel that stands at now, with slots of tick microseconds.
func NewWheel(now, tick int64) *Wheel {
	tick = max(tick, 1)
	return &Wheel{tick: tick, currentTick: now / tick, timers: make([]timer, 1)}
}

// Len is how many timers wait.
func (w *Wheel) Len() int { return w.count }

// Add sets a timer.
func (w *Wheel) Add(due int64, payload uint64) Handle {
	i := w.freeList
	if i != 0 {
		w.freeList = w.timers[i].next
	} else {
		i = int32(len(w.timers))
		w.timers = append(w.timers, timer{})
	}
	w.seq++
	n := &w.timers[i]
	n.due, n.seq, n.payload = due, w.seq, payload
	w.count++
	w.place(i, w.currentTick+1)
	return Handle{i, n.generation}
}

// Cancel takes a timer back; false if it has fired or was cancelled before.
func (w *Wheel) Cancel(h Handle) bool {
	if h.index <= 0 || int(h.index) >= len(w.timers) || w.timers[h.index].generation != h.generation || w.timers[h.index].level < 0 {
		return false
	}
	w.unlink(h.index)
	w.release(h.index)
	return true
}

// release gives a timer's place back; its handles name it no more.
func (w *Wheel) release(i int32) {
	n := &w.timers[i]
	n.generation++
	n.level = -1
	n.next, w.freeList = w.freeList, i
	w.count--
}

// place puts a timer into the slot of the lowest level that reaches its due time; it fires at the tick first at the earliest.
func (w *Wheel) place(i int32, first int64) {
	n := &w.timers[i]
	// The slot that holds the due time fires once that time has passed: a tick later for what is not on a tick's edge.
	at := max((n.due+w.tick-1)/w.tick, first)
	level := 0
	if apart := uint64(at ^ w.currentTick); apart >= slotCount {
		level = min((bits.Len64(apart)-1)/slotBits, levelCount-1)
	}
	slot := uint8(at >> (level * slotBits) & (slotCount - 1))
	if level == levelCount-1 && at>>(levelCount*slotBits) != w.currentTick>>(levelCount*slotBits) {
		slot = uint8((w.currentTick>>(level*slotBits) + slotCount - 1) & (slotCount - 1)) // past the last level's reach: looked at again on the way
	}
	n.level, n.slot = int8(level), slot
	head := w.slots[level][slot]
	n.next, n.prev = head, 0
	if head != 0 {
		w.timers[head].prev = i
	}
	w.slots[level][slot] = i
	w.occupied[level] |= 1 << slot
}

func (w *Wheel) unlink(i int32) {
	n := &w.timers[i]
	if n.next != 0 {
		w.timers[n.next].prev = n.prev
	}
	if n.prev != 0 {
		w.timers[n.prev].next = n.next
		return
	}
	w.slots[n.level][n.slot] = n.next
	if n.next == 0 {
		w.occupied[n.level] &^= 1 << n.slot
	}
}

// nextTick is the next tick at which something happens: a slot of the lowest level fires, or one of a higher level has come near;
// math.MaxInt64 if nothing waits.
func (w *Wheel) nextTick() int64 {
	best := int64(math.MaxInt64)
	for level := range levelCount {
		if w.occupied[level] == 0 {
			continue
		}
		at := w.currentTick >> (level * slotBits)
		here := at & (slotCount - 1)
		ahead := bits.RotateLeft64(w.occupied[level], -int(here+1))
		to := (at + 1 + int64(bits.TrailingZeros64(ahead))) << (level * slotBits)
		best = min(best, to)
	}
	return best
}

// Next is a time before which no timer fires; math.MaxInt64 if none waits. Something may have to be moved then, so a caller that sleeps
// until Next may find that nothing fires yet.
func (w *Wheel) Next() int64 {
	if at := w.nextTick(); at != math.MaxInt64 {
		return at * w.tick
	}
	return math.MaxInt64
}

// Advance moves the wheel to now and fires what has fallen due. Timers that fire adds may fire in the same call, if they are due.
func (w *Wheel) Advance(now int64, fire func(payload uint64, due int64)) {
	to := now / w.tick
	for {
		at := w.nextTick()
		if at > to {
			break
		}
		w.currentTick = at
		// Higher levels first: what they hold for this time may belong into the lowest level's slot.
		for level := levelCount - 1; level > 0; level-- {
			if at&(1<<(level*slotBits)-1) == 0 {
				w.cascade(level, uint8(at>>(level*slotBits)&(slotCount-1)))
			}
		}
		w.fireSlot(uint8(at&(slotCount-1)), fire)
	}
	w.currentTick = max(w.currentTick, to)
}

// cascade places the timers of a slot anew, nearer ones into lower levels.
func (w *Wheel) cascade(level int, slot uint8) {
	i := w.slots[level][slot]
	w.slots[level][slot] = 0
	w.occupied[level] &^= 1 << slot
	for i != 0 {
		next := w.timers[i].next
		w.place(i, w.currentTick) // what is due right now fires next
		i = next
	}
}

func (w *Wheel) fireSlot(slot uint8, fire func(payload uint64, due int64)) {
	w.batch = w.batch[:0]
	for i := w.slots[0][slot]; i != 0; i = w.timers[i].next {
		w.batch = append(w.batch, i)
	}
	w.slots[0][slot] = 0
	w.occupied[0] &^= 1 << slot
	slices.SortFunc(w.batch, func(a, b int32) int {
		return cmp.Or(cmp.Compare(w.timers[a].due, w.timers[b].due), cmp.Compare(w.timers[a].seq, w.timers[b].seq))
	})
	batch := w.batch
	w.batch = nil // fire may come back to Advance
	for _, i := range batch {
		w.timers[i].level = -1 // from here on it can't be cancelled
	}
	for _, i := range batch {
		n := w.timers[i]
		w.release(i)
		fire(n.payload, n.due)
	}
	w.batch = batch
}
