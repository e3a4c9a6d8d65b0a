package cells

import "testing"

// A cell must get its share back within the reclaim time, even if another cell continues to borrow as much as it can.
func TestBorrowedShareIsReclaimed(t *testing.T) {
	const reclaim = 250 * msec
	rate := newSharedRate(1000, []float64{0.5, 0.5}, float64(reclaim))
	now := sec
	spend := func(cell int, requests int) (admitted float64) {
		rate.refill(now)
		for range requests {
			if rate.mayTake(cell, false) {
				rate.take(cell, 1)
				admitted++
			}
		}
		return admitted
	}
	borrowed := 0.0
	for range 5000 { // the first cell alone may use the whole rate
		now += msec
		borrowed += spend(0, 3)
	}
	if borrowed < 4700 {
		t.Errorf("first cell alone: %v of 5000 admitted", borrowed)
	}
	now += 60 * sec // a minute without requests fills the pool up to its depth
	borrower, owner := 0.0, 0.0
	for at := range int64(2000) {
		now += msec
		toBorrower := spend(0, 3)
		toOwner := spend(1, 3)
		if at*msec >= reclaim {
			borrower += toBorrower
			owner += toOwner
		}
	}
	if owner < 870*0.98 || borrower > 880*1.05 {
		t.Errorf("after the reclaim time: owner %v, want at least 870-2%%; borrower %v, want at most 880+5%%",
			owner, borrower)
	}
	rate.refill(now + 3600*sec)
	if depth := 1000 * 0.25 * poolDepthFraction; rate.pool > depth*1.001 {
		t.Errorf("after an idle hour the pool has %v, want at most %v", rate.pool, depth)
	}
}
