package scale

import "math/rand/v2"

// Times are microseconds of virtual time.
const (
	second = int64(1_000_000)

	// slotDuration is the step of virtual time: what happens is kept by the slot.
	slotDuration = 1_000
	slotCount    = 64 // more than the longest delay of the network
)

// The network between processes.
const (
	minDelay     = 1_400
	delaySpan    = 21_600 // at random on top of minDelay
	baseLossRate = 0.001
)

// arrivalTime draws when something arrives that is sent now.
func arrivalTime(rng *rand.Rand, now int64) int64 { return now + minDelay + rng.Int64N(delaySpan) }

// calendar holds what happens within the next slotCount slots of virtual time.
type calendar[T any] [slotCount][]T

// add notes what happens at a time. Within a slot the order is that of the calls.
func (c *calendar[T]) add(at int64, item T) {
	slot := at / slotDuration % slotCount
	c[slot] = append(c[slot], item)
}

// take removes and returns what happens in the slot that now is in.
func (c *calendar[T]) take(now int64) []T {
	slot := now / slotDuration % slotCount
	due := c[slot]
	c[slot] = nil
	return due
}
