package cells

import (
	"testing"
)

// What a cell lent is its own again within Give, though the borrower goes on.
func TestLentShareIsReclaimed(t *testing.T) {
	const give = 250 * msec
	tr := newSharedRate(1000, []float64{0.5, 0.5}, float64(give))
	now := sec
	spend := func(cell int, perMs float64) (got float64) {
		tr.refill(now)
		for range int(perMs) {
			if tr.mayTake(cell, false) {
				tr.take(cell, 1)
				got++
			}
		}
		return got
	}
	borrowed := 0.0
	for range 5000 { // the first cell alone: it may have all
		now += msec
		borrowed += spend(0, 3)
	}
	if borrowed < 4700 {
		t.Errorf("alone: %v of 5000", borrowed)
	}
	now += 60 * sec // nobody asks for a minute: no more than Give's worth of it is lent out afterwards
	first, own := 0.0, 0.0
	for at := range int64(2000) {
		now += msec
		g := spend(0, 3)
		o := spend(1, 3)
		if at*msec >= give {
			first += g
			own += o
		}
	}
	if own < 870*0.98 || first > 880*1.05 {
		t.Errorf("after Give: owner %v, borrower %v, 875 each", own, first)
	}
	tr.refill(now + 3600*sec)
	if most := 1000 * 0.25 * poolDepthFraction; tr.pool > most*1.001 {
		t.Errorf("an idle hour leaves %v to lend, %v at most", tr.pool, most)
	}
}
