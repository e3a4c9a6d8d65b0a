package cells

// sharedRate divides one rate among cells. Each cell has a token bucket that fills at the cell's share of the rate.
// What overflows a full bucket goes to a pool that any cell may borrow from. A bucket holds what its cell gets in the
// reclaim time, and the pool half of what all cells get in it. Once a cell uses its share again its bucket no longer
// overflows, and what others can still borrow is used up within the reclaim time.
//
// A fair queue would share the rate as well, but it delays requests, which spantack does not do: what can't be sent now
// is rejected now.
type sharedRate struct {
	perMicrosecond float64 // of all cells; 0: no limit
	shares         []float64
	tokens         []float64     // by cell; negative: debt
	borrowed       []decayingSum // by cell: what it took from the pool recently
	pool           float64
	reclaim        float64 // microseconds
	refilledAt     int64   // microseconds; 0: never
}

const (
	// refillInterval, in microseconds, is how often buckets are refilled: a borrower sees what overflows no sooner.
	refillInterval = 1000
	// amplePoolFraction is the part of a full pool above which any cell may borrow.
	amplePoolFraction = 0.5
	// poolDepthFraction is the depth of the pool as a part of what all cells get in the reclaim time. It is small, or a
	// sudden flood would take at once what all others left in that time, on top of what they go on using.
	poolDepthFraction = 0.5
	// maxDebtDepths bounds a cell's debt, in depths of its bucket: debt is paid off within twice the reclaim time after
	// the last admitted request, or one huge object would block its cell for long.
	maxDebtDepths = 2
)

// newSharedRate returns a rate with full buckets and an empty pool. The reclaim time is in microseconds.
func newSharedRate(perSecond float64, shares []float64, reclaim float64) *sharedRate {
	r := &sharedRate{
		perMicrosecond: perSecond / 1e6,
		shares:         shares,
		tokens:         make([]float64, len(shares)),
		borrowed:       make([]decayingSum, len(shares)),
		reclaim:        reclaim,
	}
	for cell := range r.tokens {
		r.tokens[cell] = r.bucketDepth(cell)
	}
	return r
}

// isLimited reports whether there is a limit at all.
func (r *sharedRate) isLimited() bool { return r.perMicrosecond > 0 }

// perSecond returns the rate of all cells.
func (r *sharedRate) perSecond() float64 { return r.perMicrosecond * 1e6 }

func (r *sharedRate) poolDepth() float64 { return poolDepthFraction * r.perMicrosecond * r.reclaim }

func (r *sharedRate) bucketDepth(cell int) float64 {
	return r.shares[cell] * r.perMicrosecond * r.reclaim
}

// refill adds to the buckets and the pool what has come since the last refill.
func (r *sharedRate) refill(now int64) {
	elapsed := float64(now - r.refilledAt)
	if r.refilledAt != 0 && elapsed < refillInterval {
		return
	}
	if r.refilledAt == 0 {
		elapsed = 0
	}
	r.refilledAt = now
	for cell := range r.tokens {
		tokens := r.tokens[cell] + r.shares[cell]*r.perMicrosecond*elapsed
		if depth := r.bucketDepth(cell); tokens > depth {
			r.pool += tokens - depth
			tokens = depth
		}
		r.tokens[cell] = tokens
	}
	r.pool = min(r.pool, r.poolDepth())
}

// mayBorrow reports whether a cell may take from the pool. While the pool runs low only cells may that have borrowed no
// more than others for their share: a flood finds it empty before the rest does.
func (r *sharedRate) mayBorrow(cell int) bool {
	switch {
	case r.pool <= 0:
		return false
	case r.pool > amplePoolFraction*r.poolDepth():
		return true
	}
	borrowed, borrowerShares := 0.0, 0.0
	for i := range r.borrowed {
		if amount := r.borrowed[i].valueAt(r.refilledAt); amount > 0 {
			borrowed += amount
			borrowerShares += r.shares[i]
		}
	}
	return r.borrowed[cell].valueAt(r.refilledAt)*borrowerShares <= borrowed*r.shares[cell]
}

// mayTake reports whether a cell has something left, of its own or to borrow. Requests of tenants that use less than
// the mean may put the cell in debt as far as the bucket is deep: what its heavy tenants took was due to them.
func (r *sharedRate) mayTake(cell int, allowDebt bool) bool {
	if r.perMicrosecond == 0 || r.tokens[cell] > 0 || r.mayBorrow(cell) {
		return true
	}
	return allowDebt && r.tokens[cell] > -r.bucketDepth(cell)
}

// take spends an amount. What the bucket lacks is borrowed as far as the pool goes; the rest is debt.
func (r *sharedRate) take(cell int, amount float64) {
	if r.perMicrosecond == 0 {
		return
	}
	tokens := r.tokens[cell] - amount
	if tokens < 0 && r.pool > 0 {
		loan := min(-tokens, r.pool)
		r.pool -= loan
		r.borrowed[cell].add(r.refilledAt, loan)
		tokens += loan
	}
	r.tokens[cell] = max(tokens, -maxDebtDepths*r.bucketDepth(cell))
}

// correct takes what a request used beyond its estimate, or gives back what it did not use.
func (r *sharedRate) correct(cell int, excess float64) {
	if excess > 0 {
		r.take(cell, excess)
	} else if r.perMicrosecond > 0 {
		r.tokens[cell] = min(r.tokens[cell]-excess, r.bucketDepth(cell))
	}
}
