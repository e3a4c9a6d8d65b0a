package scale

import "math/rand/v2"

// Times are microseconds of virtual time.
const (
	second = int64(1_000_000)

	// slotDuration is the step of virtual time and the resolution of a calendar.
	slotDuration = 1_000
	slotCount    = 64 // covers more than the longest delay of the network
)

// Delays and loss of the network between processes.
const (
	minDelay     = 1_400
	delaySpan    = 21_600 // upper bound of a random delay in addition to minDelay
	baseLossRate = 0.001
)

// arrivalTime returns the random arrival time of a message that is sent now.
func arrivalTime(rng *rand.Rand, now int64) int64 { return now + minDelay + rng.Int64N(delaySpan) }

// calendar is a timing wheel: a queue of events within the next slotCount slots of virtual time.
type calendar[T any] [slotCount][]T

// add adds an item at a time. Items of one slot keep the order in which they were added.
func (c *calendar[T]) add(at int64, item T) {
	slot := at / slotDuration % slotCount
	c[slot] = append(c[slot], item)
}

// take removes and returns the items of the slot that contains now.
func (c *calendar[T]) take(now int64) []T {
	slot := now / slotDuration % slotCount
	due := c[slot]
	c[slot] = nil
	return due
}
