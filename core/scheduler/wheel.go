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

// Wheel is a hierarchical timer wheel (Varghese and Lauck 1987, scheme 7). Each slot holds the timers that are due in
// one range of ticks. Adding and cancelling a timer takes constant time. A bit mask per level lets Advance skip empty
// slots.
//
// Timers fire in the order of their due times, and timers with the same due time in the order in which they were added.
// A timer never fires early. A timer whose due time is in the past fires at the next Advance that moves the current
// time to a later tick.
//
// A slot of level n is slotCount^n ticks long. The level of a timer is the position of the most significant digit (base
// slotCount) in which its due tick and the current tick differ, but at most the last level. As the due time approaches,
// the timer cascades: it moves to lower levels.
type Wheel struct {
	tick        int64 // length of a slot of level 0, microseconds
	currentTick int64 // current time in ticks
	lastSeq     uint64
	count       int // of timers

	timers   []timer // by index; index 0 is not used
	freeList int32   // index of the first free timer, linked by next; 0: none

	slots    [levelCount][slotCount]int32 // index of the first timer of each slot's list; 0: none
	occupied [levelCount]uint64           // by level, a bit for each slot with a timer
	firing   []int32                      // buffer of fireSlot, reused
}

type timer struct {
	due        int64  // microseconds
	seq        uint64 // in the order of adding
	payload    uint64
	generation uint32 // incremented when the timer is freed
	next, prev int32  // indexes in the slot's list; 0: none
	level      int8   // notInSlot: about to fire, or free
	slot       uint8
}

// notInSlot is the level of a timer that is not in a slot.
const notInSlot = -1

// Handle identifies a timer. The zero value identifies none.
type Handle struct {
	index      int32
	generation uint32
}

// NewWheel returns a wheel whose current time is now, with slots of tick microseconds. A tick below 1 means 1.
func NewWheel(now, tick int64) *Wheel {
	tick = max(tick, 1)
	return &Wheel{tick: tick, currentTick: now / tick, timers: make([]timer, 1)}
}

// Add adds a timer that fires at due, in microseconds, with payload. It returns a handle for Cancel.
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

// Cancel cancels a timer. It returns false if the timer has fired, is about to fire, or was cancelled before.
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

// release adds a timer to the free list and invalidates its handles.
func (w *Wheel) release(i int32) {
	t := &w.timers[i]
	t.generation++
	t.level = notInSlot
	t.next = w.freeList
	w.freeList = i
	w.count--
}

// place puts a timer into the slot for its due time, or for tick number earliest if that is later. It uses the lowest
// possible level.
func (w *Wheel) place(i int32, earliest int64) {
	t := &w.timers[i]
	// Round up to the next tick, so that the timer does not fire early.
	at := max((t.due+w.tick-1)/w.tick, earliest)
	level := 0
	if distance := uint64(at ^ w.currentTick); distance >= slotCount {
		level = min((bits.Len64(distance)-1)/slotBits, levelCount-1)
	}
	slot := slotOf(at, level)
	if level == levelCount-1 && at>>(levelCount*slotBits) != w.currentTick>>(levelCount*slotBits) {
		// Beyond the range of the last level: use its farthest slot. The timer is placed again when that slot cascades.
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

// slotOf returns the slot of a level that contains a tick.
func slotOf(tick int64, level int) uint8 {
	return uint8(tick >> (level * slotBits) & slotMask)
}

// unlink removes a timer from its slot's list.
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

// takeSlot empties a slot and returns the index of the first timer of its list.
func (w *Wheel) takeSlot(level int, slot uint8) int32 {
	first := w.slots[level][slot]
	w.slots[level][slot] = 0
	w.occupied[level] &^= 1 << slot
	return first
}

// nextTick returns the next tick at which a slot of level 0 fires or a slot of a higher level cascades; math.MaxInt64
// if there are no timers.
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

// Next returns a time before which no timer fires, in microseconds; math.MaxInt64 if there are no timers. At that time
// a slot may cascade without any timer firing.
func (w *Wheel) Next() int64 {
	if tick := w.nextTick(); tick != math.MaxInt64 {
		return tick * w.tick
	}
	return math.MaxInt64
}

// Advance sets the current time to now and calls fire for each timer that is due. fire may call Add, Cancel and
// Advance. Timers that it adds may fire in the same call, if they are due by now.
func (w *Wheel) Advance(now int64, fire func(payload uint64, due int64)) {
	target := now / w.tick
	for {
		tick := w.nextTick()
		if tick > target {
			break
		}
		w.currentTick = tick
		// Higher levels first, because their timers may cascade into the slot that fires.
		for level := levelCount - 1; level > 0; level-- {
			if atSlotStart := tick&(1<<(level*slotBits)-1) == 0; atSlotStart {
				w.cascade(level, slotOf(tick, level))
			}
		}
		w.fireSlot(slotOf(tick, 0), fire)
	}
	w.currentTick = max(w.currentTick, target)
}

// cascade moves the timers of a slot to lower levels.
func (w *Wheel) cascade(level int, slot uint8) {
	i := w.takeSlot(level, slot)
	for i != 0 {
		next := w.timers[i].next
		w.place(i, w.currentTick) // timers due now go into the slot that fires next
		i = next
	}
}

// fireSlot fires the timers of a slot of level 0, in the order of due time and seq.
func (w *Wheel) fireSlot(slot uint8, fire func(payload uint64, due int64)) {
	firing := w.firing[:0]
	for i := w.takeSlot(0, slot); i != 0; i = w.timers[i].next {
		firing = append(firing, i)
	}
	slices.SortFunc(firing, func(a, b int32) int {
		return cmp.Or(cmp.Compare(w.timers[a].due, w.timers[b].due), cmp.Compare(w.timers[a].seq, w.timers[b].seq))
	})
	w.firing = nil // fire may call Advance
	for _, i := range firing {
		w.timers[i].level = notInSlot // can no longer be cancelled
	}
	for _, i := range firing {
		t := w.timers[i]
		w.release(i)
		fire(t.payload, t.due)
	}
	w.firing = firing
}
