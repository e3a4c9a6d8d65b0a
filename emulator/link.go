package emulator

// link shares its capacity evenly among its transfers, with at most maxRate for each. All active transfers have the
// same rate, so progressKB gives the progress of all of them. It is the amount in KB that a transfer would have
// received if it had been active since the link was last idle.
type link struct {
	capacity   float64 // KB per microsecond
	maxRate    float64 // maximum rate of one transfer, KB per microsecond
	knee       float64 // number of active transfers above which the capacity falls; 0: never
	progressKB float64
	updatedAt  int64
	active     int
	transfers  []transfer // a heap by endKB; may contain removed transfers
	dueAt      int64      // time of the next scheduled event of this link; 0: none
}

// transfer is one transfer on a link. It ends when the link's progressKB reaches endKB.
type transfer struct {
	endKB      float64
	owner      int32 // an attempt; for segmentToParent a fetch
	generation uint32
	segment    segment
}

// overKneeSlowdown sets how much the capacity falls above the knee. If twice as many transfers as the knee are active,
// the capacity is divided by 1+overKneeSlowdown.
const overKneeSlowdown = 0.5

// rate returns the rate of each active transfer in KB per microsecond.
func (l *link) rate() float64 {
	if l.active == 0 {
		return 0
	}
	capacity := l.capacity
	if l.knee > 0 && float64(l.active) > l.knee {
		capacity /= 1 + overKneeSlowdown*(float64(l.active)-l.knee)/l.knee
	}
	return min(l.maxRate, capacity/float64(l.active))
}

// advance updates the progress to now. It must be called before active changes.
func (l *link) advance(now int64) {
	l.progressKB += float64(now-l.updatedAt) * l.rate()
	l.updatedAt = now
}

// add starts a transfer of a size in KB.
func (l *link) add(now int64, kb float64, t transfer) {
	l.advance(now)
	if l.active == 0 { // restart from zero, as small numbers are more precise
		l.progressKB = 0
		l.transfers = l.transfers[:0]
	}
	l.active++
	t.endKB = l.progressKB + kb
	l.transfers = append(l.transfers, t)
	i := len(l.transfers) - 1
	for i > 0 && t.endKB < l.transfers[(i-1)/2].endKB {
		l.transfers[i] = l.transfers[(i-1)/2]
		i = (i - 1) / 2
	}
	l.transfers[i] = t
}

// popTransfer removes from the heap, and returns, the transfer that ends first. It does not change active.
func (l *link) popTransfer() transfer {
	first := l.transfers[0]
	n := len(l.transfers) - 1
	last := l.transfers[n]
	l.transfers = l.transfers[:n]
	if n == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && l.transfers[child+1].endKB < l.transfers[child].endKB {
			child++
		}
		if l.transfers[child].endKB >= last.endKB {
			break
		}
		l.transfers[i] = l.transfers[child]
		i = child
	}
	l.transfers[i] = last
	return first
}

// nextEnd returns the time at which the next transfer ends if no transfer is added or removed until then. It returns 0
// if there is no transfer.
func (l *link) nextEnd() int64 {
	if l.active == 0 || len(l.transfers) == 0 {
		return 0
	}
	return l.updatedAt + int64(max(l.transfers[0].endKB-l.progressKB, 0)/l.rate()) + 1
}
