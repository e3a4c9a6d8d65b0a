package cells

// sharedRate divides one rate among cells. Each cell has a token bucket that is refilled at the cell's share of the
// rate. Tokens that overflow a full bucket go to a pool from which any cell may borrow. The depth of a bucket is the
// number of tokens that its cell gets in one reclaim time. The depth of the pool is half of the tokens that all cells
// get in one reclaim time. Once a cell uses its share again, its bucket no longer overflows, and the tokens that remain
// in the pool are used up within the reclaim time.
//
// A fair queue would divide the rate too, but it delays requests. Spantack does not queue requests. A request that
// can't be sent at once is rejected at once.
type sharedRate struct {
	perMicrosecond float64 // of all cells; 0: no limit
	shares         []float64
	tokens         []float64     // by cell; negative: debt
	borrowed       []decayingSum // by cell: tokens recently borrowed from the pool
	pool           float64       // tokens that any cell may borrow
	reclaim        float64       // reclaim time, microseconds
	refilledAt     int64         // time of the last refill, microseconds; 0: never
}

const (
	// refillInterval, in microseconds, is the minimum time between refills. Overflow can be borrowed only after a
	// refill.
	refillInterval = 1000
	// amplePoolFraction is the fraction of a full pool above which any cell may borrow.
	amplePoolFraction = 0.5
	// poolDepthFraction is the depth of the pool, as a fraction of the tokens that all cells get in one reclaim time.
	// With a deeper pool, a sudden flood in one cell could use at once all tokens that other cells left unused in one
	// reclaim time. The other cells could use their own tokens at the same time. The sum would exceed the rate.
	poolDepthFraction = 0.5
	// maxDebtDepths is the maximum debt of a cell, as a multiple of the depth of its bucket. A cell pays off its debt
	// within twice the reclaim time after its last admitted request. Without a maximum, one huge object would block its
	// cell for a long time.
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

// isLimited reports whether the rate has a limit.
func (r *sharedRate) isLimited() bool { return r.perMicrosecond > 0 }

// perSecond returns the rate of all cells.
func (r *sharedRate) perSecond() float64 { return r.perMicrosecond * 1e6 }

func (r *sharedRate) poolDepth() float64 { return poolDepthFraction * r.perMicrosecond * r.reclaim }

func (r *sharedRate) bucketDepth(cell int) float64 {
	return r.shares[cell] * r.perMicrosecond * r.reclaim
}

// refill adds the tokens earned since the last refill to the buckets, and tokens that overflow the buckets to the pool.
// It does so at most once per refillInterval.
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

// mayBorrow reports whether a cell may borrow from the pool. If the pool is empty, no cell may borrow. If the pool is
// filled above amplePoolFraction, every cell may. Otherwise a cell may borrow only if its recently borrowed tokens
// divided by its share are at most the tokens of all recent borrowers divided by the sum of their shares. So a cell
// with a flood is refused before the others.
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

// mayTake reports whether a cell has tokens left or may borrow. allowDebt is set for tenants with low usage. With
// allowDebt, the cell may also go into debt up to the depth of its bucket, because its heavy tenants may have used
// tokens that tenants with low usage were entitled to.
func (r *sharedRate) mayTake(cell int, allowDebt bool) bool {
	if r.perMicrosecond == 0 || r.tokens[cell] > 0 || r.mayBorrow(cell) {
		return true
	}
	return allowDebt && r.tokens[cell] > -r.bucketDepth(cell)
}

// take removes an amount of tokens from a cell's bucket. Missing tokens are borrowed from the pool. If the pool does
// not have enough, the rest becomes debt, up to maxDebtDepths.
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

// correct adjusts the tokens by excess, a request's actual usage minus its estimated usage. A positive excess is taken,
// a negative excess is given back.
func (r *sharedRate) correct(cell int, excess float64) {
	if excess > 0 {
		r.take(cell, excess)
	} else if r.perMicrosecond > 0 {
		r.tokens[cell] = min(r.tokens[cell]-excess, r.bucketDepth(cell))
	}
}
