package cells

import "math"

// sharedRate shares one rate among cells. Each cell has a bucket that fills at its own share; what runs over goes to a pool
// that any cell may borrow from. A bucket holds what its cell is due in Give, the pool half of what all are: once the
// owner wants its share its bucket no longer runs over, and what others can still borrow is gone within Give.
//
// A fair queue would share as well, but it holds requests back, which spantack does not do: what can't go now is
// refused now.
type sharedRate struct {
	perMicrosecond float64 // a microsecond, all cells; 0: no limit
	shares         []float64
	tokens         []float64     // by cell; below 0 is debt
	borrowed       []decayingSum // by cell: what it borrowed of late
	pool           float64
	reclaim        float64 // microseconds
	refilledAt     int64
}

// refillInterval is how often, in microseconds, all buckets are filled: a borrower sees what runs over no sooner.
const refillInterval = 1000

// amplePoolFraction is the part of a full pool down to which anyone may borrow.
const amplePoolFraction = 0.5

// poolDepthFraction of what is due in Give is the depth of the pool.
const poolDepthFraction = 0.5

func newSharedRate(perS float64, shares []float64, give float64) *sharedRate {
	t := &sharedRate{perMicrosecond: perS / 1e6, shares: shares, tokens: make([]float64, len(shares)), borrowed: make([]decayingSum, len(shares)), reclaim: give}
	for i := range t.tokens {
		t.tokens[i] = t.bucketDepth(i)
	}
	return t
}

// poolDepth is what can be borrowed at once: little, or a flood that comes out of nothing would take at once what all left in
// Give, on top of what the others go on taking.
func (t *sharedRate) poolDepth() float64 { return poolDepthFraction * t.perMicrosecond * t.reclaim }

func (t *sharedRate) bucketDepth(cell int) float64 {
	return t.shares[cell] * t.perMicrosecond * t.reclaim
}

// refill brings the buckets up to now.
func (t *sharedRate) refill(now int64) {
	gone := float64(now - t.refilledAt)
	if t.refilledAt != 0 && gone < refillInterval {
		return
	}
	if t.refilledAt == 0 {
		gone = 0
	}
	t.refilledAt = now
	most := t.poolDepth()
	for i := range t.tokens {
		l := t.tokens[i] + t.shares[i]*t.perMicrosecond*gone
		if d := t.bucketDepth(i); l > d {
			t.pool += l - d
			l = d
		}
		t.tokens[i] = l
	}
	t.pool = min(t.pool, most)
}

// mayBorrow reports that a cell may borrow. Of a pool that runs low only those may that have borrowed no more than others
// for their share: a flood finds it empty before the rest does.
func (t *sharedRate) mayBorrow(cell int) bool {
	switch {
	case t.pool <= 0:
		return false
	case t.pool > amplePoolFraction*t.poolDepth():
		return true
	}
	sum, shares := 0.0, 0.0
	for i := range t.borrowed {
		if l := t.borrowed[i].valueAt(t.refilledAt); l > 0 {
			sum += l
			shares += t.shares[i]
		}
	}
	return t.borrowed[cell].valueAt(t.refilledAt)*shares <= sum*t.shares[cell]
}

// mayTake reports that a cell has something left, of its own or borrowed; quiet ones may go into debt as far as the
// bucket is deep, since what their cell's heavy tenants took was due to them.
func (t *sharedRate) mayTake(cell int, quiet bool) bool {
	if t.perMicrosecond == 0 || t.tokens[cell] > 0 || t.mayBorrow(cell) {
		return true
	}
	return quiet && t.tokens[cell] > -t.bucketDepth(cell)
}

// take spends; what the bucket lacks is borrowed as far as the pool goes, the rest is debt.
func (t *sharedRate) take(cell int, amount float64) {
	if t.perMicrosecond == 0 {
		return
	}
	l := t.tokens[cell] - amount
	if l < 0 && t.pool > 0 {
		lent := min(-l, t.pool)
		t.pool -= lent
		t.borrowed[cell].add(t.refilledAt, lent)
		l += lent
	}
	// Debt ends within twice Give of the last request let in, or a lone huge object would shut its cell for long.
	t.tokens[cell] = max(l, -2*t.bucketDepth(cell))
}

// correct takes what was used beyond what was reckoned, or gives back what was not.
func (t *sharedRate) correct(cell int, more float64) {
	if more > 0 {
		t.take(cell, more)
	} else if t.perMicrosecond > 0 {
		t.tokens[cell] = min(t.tokens[cell]-more, t.bucketDepth(cell))
	}
}

// decayingSum is a rate that forgets over usageTimeConstant.
type decayingSum struct {
	sum       float64
	updatedAt int64
}

// usageTimeConstant in microseconds: a flood shows within a second, and is forgotten in as much.
const usageTimeConstant = 2e6

func (u *decayingSum) add(now int64, amount float64) float64 {
	u.sum = u.sum*math.Exp(-float64(now-u.updatedAt)/usageTimeConstant) + amount
	u.updatedAt = now
	return u.sum
}

func (u *decayingSum) valueAt(now int64) float64 {
	return u.sum * math.Exp(-float64(now-u.updatedAt)/usageTimeConstant)
}

// fairShare finds how much of a crowded cell a tenant may use, for its weight: the level falls while the cell refuses, and
// rises while it does not. Only tenants above it are turned away, so the heaviest go first.
type fairShare struct {
	limit         float64     // of use by weight; math.Inf(1): nobody is turned away
	peak          decayingSum // greatest use seen of late
	total         decayingSum // use of all tenants, and how many there are
	activeTenants float64
	rejectedAt    int64 // when the cell last had to refuse
	adjustedAt    int64
}

const (
	fairAdjustInterval = 50_000  // microseconds between two moves of the level
	fairRecoveryDelay  = 200_000 // microseconds without a refusal after which it rises
	fairDecrease       = 0.8
	fairIncrease       = 1.1
	// fairMinFraction is the least level, in parts of what the tenants of the cell use on average: one that uses less than
	// half of that is never the one to go.
	fairMinFraction = 0.5
)

// observe takes in a tenant's use by weight.
func (f *fairShare) observe(now int64, used float64) {
	if top := f.peak.valueAt(now); used > top {
		f.peak = decayingSum{used, now}
	}
}

// observeRejection is told when the cell had to refuse.
func (f *fairShare) observeRejection(now int64) {
	f.rejectedAt = now
	if now-f.adjustedAt < fairAdjustInterval {
		return
	}
	f.adjustedAt = now
	f.limit = min(f.limit, f.peak.valueAt(now))
	f.limit = max(f.limit*fairDecrease, fairMinFraction*f.total.valueAt(now)/max(f.activeTenants, 1))
}

// exceeds reports that a tenant uses more than the cell has for it.
func (f *fairShare) exceeds(now int64, used float64) bool {
	if now-f.rejectedAt > fairRecoveryDelay && now-f.adjustedAt >= fairAdjustInterval {
		f.adjustedAt = now
		if f.limit *= fairIncrease; f.limit > 2*f.peak.valueAt(now) {
			f.limit = math.Inf(1)
		}
	}
	return used > f.limit
}
