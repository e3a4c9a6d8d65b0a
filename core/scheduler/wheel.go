package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	levelCount = 7
	slotBits   = 6
	slotCount  = 1 << slotBits
	slotMask   = slotCount - 1
)

// Wheel is a hierarchical timer wheel: it holds timers in slots by their distance (Varghese and Lauck 1987, scheme
// 7). Adding and cancelling one cost the same however many there are, and a span without timers is passed over by
// looking at a few words.
//
// Timers fire in the order of their due times, those of one time in the order in which they were added, and never
// early: a due time in the past fires at the next Advance.
//
// A slot of level n is slotCount^n ticks long. A timer is in the lowest level in which its due time and the present one
// differ, and cascades to lower levels as it comes near.
type Wheel struct {
	tick        int64 // microseconds of a slot of level 0
	currentTick int64 // ticks that have passed
	lastSeq     uint64
	count       int

	timers   []timer // by index; that of 0 is not used
	freeList int32   // first unused timer, linked by next; 0: none

	slots    [levelCount][slotCount]int32 // first timer of each slot's list; 0: none
	occupied [levelCount]uint64           // a bit for each slot that has a timer
	firing   []int32                      // buffer of fireSlot
}

type timer struct {
	due        int64
	seq        uint64
	payload    uint64
	generation uint32
	next, prev int32 // in the slot's list; 0: none
	level      int8  // notInSlot: fires right now, or is unused
	slot       uint8
}

// notInSlot is the level of a timer that is in no slot.
const notInSlot = -1

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

// Add sets a timer.
func (w *Wheel) Add(due int64, payload uint64) Handle {
	i := w.freeList
	if i != 0 {
		w.freeList = w.timers[i].next
	} else {
		i = int32(len(w.timers))
		w.timers = append(w.timers, timer{})
	}
	w.lastSeq++
	t := &w.timers[i]
	t.due = due
	t.seq = w.lastSeq
	t.payload = payload
	w.count++
	w.place(i, w.currentTick+1)
	return Handle{i, t.generation}
}

// Cancel takes a timer back. It reports false if the timer has fired or was cancelled before.
func (w *Wheel) Cancel(h Handle) bool {
	if h.index <= 0 || int(h.index) >= len(w.timers) {
		return false
	}
	t := &w.timers[h.index]
	if t.generation != h.generation || t.level == notInSlot {
		return false
	}
	w.unlink(h.index)
	w.release(h.index)
	return true
}

// release puts a timer on the free list; its handles name it no more.
func (w *Wheel) release(i int32) {
	t := &w.timers[i]
	t.generation++
	t.level = notInSlot
	t.next = w.freeList
	w.freeList = i
	w.count--
}

// place puts a timer into the slot of the lowest level that reaches its due time. It fires at tick earliest at the
// soonest.
func (w *Wheel) place(i int32, earliest int64) {
	t := &w.timers[i]
	// The slot that holds the due time fires once that time has passed: a tick later for what is not on a tick's edge.
	at := max((t.due+w.tick-1)/w.tick, earliest)
	level := 0
	if distance := uint64(at ^ w.currentTick); distance >= slotCount {
		level = min((bits.Len64(distance)-1)/slotBits, levelCount-1)
	}
	slot := slotOf(at, level)
	if level == levelCount-1 && at>>(levelCount*slotBits) != w.currentTick>>(levelCount*slotBits) {
		// Past the reach of the last level: in its farthest slot, to be placed anew on the way.
		slot = uint8((w.currentTick>>(level*slotBits) + slotMask) & slotMask)
	}
	t.level = int8(level)
	t.slot = slot
	head := w.slots[level][slot]
	t.next = head
	t.prev = 0
	if head != 0 {
		w.timers[head].prev = i
	}
	w.slots[level][slot] = i
	w.occupied[level] |= 1 << slot
}

// slotOf is the slot of a level that a tick falls into.
func slotOf(tick int64, level int) uint8 {
	return uint8(tick >> (level * slotBits) & slotMask)
}

// unlink takes a timer out of its slot's list.
func (w *Wheel) unlink(i int32) {
	t := &w.timers[i]
	if t.next != 0 {
		w.timers[t.next].prev = t.prev
	}
	if t.prev != 0 {
		w.timers[t.prev].next = t.next
		return
	}
	w.slots[t.level][t.slot] = t.next
	if t.next == 0 {
		w.occupied[t.level] &^= 1 << t.slot
	}
}

// takeSlot empties a slot and returns the first timer of its list.
func (w *Wheel) takeSlot(level int, slot uint8) int32 {
	first := w.slots[level][slot]
	w.slots[level][slot] = 0
	w.occupied[level] &^= 1 << slot
	return first
}

// nextTick is the next tick at which a slot of level 0 fires or one of a higher level cascades; math.MaxInt64 without
// timers.
func (w *Wheel) nextTick() int64 {
	next := int64(math.MaxInt64)
	for level := range levelCount {
		if w.occupied[level] == 0 {
			continue
		}
		current := w.currentTick >> (level * slotBits)
		ahead := bits.RotateLeft64(w.occupied[level], -int(current&slotMask+1)) // bit 0: the slot after the current one
		slots := 1 + int64(bits.TrailingZeros64(ahead))
		next = min(next, (current+slots)<<(level*slotBits))
	}
	return next
}

// Next is a time before which no timer fires; math.MaxInt64 without timers. A caller that sleeps until then may find
// that nothing fires yet, as timers only cascade.
func (w *Wheel) Next() int64 {
	if tick := w.nextTick(); tick != math.MaxInt64 {
		return tick * w.tick
	}
	return math.MaxInt64
}

// Advance moves the wheel to now and fires what has fallen due. Timers that fire adds may fire in the same call, if
// they are due.
func (w *Wheel) Advance(now int64, fire func(payload uint64, due int64)) {
	target := now / w.tick
	for {
		tick := w.nextTick()
		if tick > target {
			break
		}
		w.currentTick = tick
		// Higher levels first: what they hold for this tick may belong into the slot that fires.
		for level := levelCount - 1; level > 0; level-- {
			if slotBegins := tick&(1<<(level*slotBits)-1) == 0; slotBegins {
				w.cascade(level, slotOf(tick, level))
			}
		}
		w.fireSlot(slotOf(tick, 0), fire)
	}
	w.currentTick = max(w.currentTick, target)
}

// cascade places the timers of a slot anew, into lower levels.
func (w *Wheel) cascade(level int, slot uint8) {
	i := w.takeSlot(level, slot)
	for i != 0 {
		next := w.timers[i].next
		w.place(i, w.currentTick) // what is due right now fires next
		i = next
	}
}

// fireSlot fires the timers of a slot of level 0.
func (w *Wheel) fireSlot(slot uint8, fire func(payload uint64, due int64)) {
	firing := w.firing[:0]
	for i := w.takeSlot(0, slot); i != 0; i = w.timers[i].next {
		firing = append(firing, i)
	}
	slices.SortFunc(firing, func(a, b int32) int {
		return cmp.Or(cmp.Compare(w.timers[a].due, w.timers[b].due), cmp.Compare(w.timers[a].seq, w.timers[b].seq))
	})
	w.firing = nil // fire may come back to Advance
	for _, i := range firing {
		w.timers[i].level = notInSlot // can't be cancelled any more
	}
	for _, i := range firing {
		t := w.timers[i]
		w.release(i)
		fire(t.payload, t.due)
	}
	w.firing = firing
}
