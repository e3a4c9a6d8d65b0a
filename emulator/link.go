package emulator

// link shares its capacity evenly among its transfers, none of them faster than maxRate. Since all active transfers
// go at the same rate, one number tells how far each of them is: the KB that a transfer active since the link was
// last idle would have had.
type link struct {
	capacity   float64 // KB a microsecond
	maxRate    float64 // of one transfer, KB a microsecond
	knee       float64 // active transfers past which the capacity falls; 0: never
	progressKB float64
	updatedAt  int64
	active     int
	transfers  []transfer // a heap by endKB; may hold some that were removed
	dueAt      int64      // when an event of this link will come; 0: none
}

// transfer ends when the link's progress has reached endKB.
type transfer struct {
	endKB      float64
	owner      int32 // an attempt, or with segmentToParent a fetch
	generation uint32
	segment    segment
}

// overKneeSlowdown is how much the capacity falls: at twice the knee it is divided by 1 plus this.
const overKneeSlowdown = 0.5

// rate is that of each active transfer.
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

// advance brings the progress up to now. It must be called before active changes.
func (l *link) advance(now int64) {
	l.progressKB += float64(now-l.updatedAt) * l.rate()
	l.updatedAt = now
}

// add begins a transfer.
func (l *link) add(now int64, kb float64, t transfer) {
	l.advance(now)
	if l.active == 0 { // an idle link starts again from zero: small numbers are exact
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

// popTransfer takes the transfer that ends first off the heap; active stays as it is.
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

// nextEnd is when the first transfer ends if none comes or goes before; 0: there is none.
func (l *link) nextEnd() int64 {
	if l.active == 0 || len(l.transfers) == 0 {
		return 0
	}
	return l.updatedAt + int64(max(l.transfers[0].endKB-l.progressKB, 0)/l.rate()) + 1
}
