package cells

import "math"

// tree shares one rate among cells. Each cell has a bucket that fills at its own share; what runs over goes to a pool
// that any cell may borrow from. A bucket holds what its cell is due in Give, the pool half of what all are: once the
// owner wants its share its bucket no longer runs over, and what others can still borrow is gone within Give.
//
// A fair queue would share as well, but it holds requests back, which spantack does not do: what can't go now is
// refused now.
type tree struct {
	rate   float64 // a microsecond, all cells; 0: no limit
	shares []float64
	level  []float64 // by cell; below 0 is debt
	lent   []use     // by cell: what it borrowed of late
	pool   float64
	give   float64 // microseconds
	at     int64
}

// settleEvery is how often, in microseconds, all buckets are filled: a borrower sees what runs over no sooner.
const settleEvery = 1000

// poolAmple is the part of a full pool down to which anyone may borrow.
const poolAmple = 0.5

// poolPart of what is due in Give is the depth of the pool.
const poolPart = 0.5

func newTree(perS float64, shares []float64, give float64) *tree {
	t := &tree{rate: perS / 1e6, shares: shares, level: make([]float64, len(shares)), lent: make([]use, len(shares)), give: give}
	for i := range t.level {
		t.level[i] = t.depth(i)
	}
	return t
}

// poolDepth is what can be borrowed at once: little, or a flood that comes out of nothing would take at once what all left in
// Give, on top of what the others go on taking.
func (t *tree) poolDepth() float64 { return poolPart * t.rate * t.give }

func (t *tree) depth(cell int) float64 { return t.shares[cell] * t.rate * t.give }

// fill brings the buckets up to now.
func (t *tree) fill(now int64) {
	gone := float64(now - t.at)
	if t.at != 0 && gone < settleEvery {
		return
	}
	if t.at == 0 {
		gone = 0
	}
	t.at = now
	most := t.poolDepth()
	for i := range t.level {
		l := t.level[i] + t.shares[i]*t.rate*gone
		if d := t.depth(i); l > d {
			t.pool += l - d
			l = d
		}
		t.level[i] = l
	}
	t.pool = min(t.pool, most)
}

// lends reports that a cell may borrow. Of a pool that runs low only those may that have borrowed no more than others
// for their share: a flood finds it empty before the rest does.
func (t *tree) lends(cell int) bool {
	switch {
	case t.pool <= 0:
		return false
	case t.pool > poolAmple*t.poolDepth():
		return true
	}
	sum, shares := 0.0, 0.0
	for i := range t.lent {
		if l := t.lent[i].now(t.at); l > 0 {
			sum += l
			shares += t.shares[i]
		}
	}
	return t.lent[cell].now(t.at)*shares <= sum*t.shares[cell]
}

// mayTake reports that a cell has something left, of its own or borrowed; quiet ones may go into debt as far as the
// bucket is deep, since what their cell's heavy tenants took was due to them.
func (t *tree) mayTake(cell int, quiet bool) bool {
	if t.rate == 0 || t.level[cell] > 0 || t.lends(cell) {
		return true
	}
	return quiet && t.level[cell] > -t.depth(cell)
}

// take spends; what the bucket lacks is borrowed as far as the pool goes, the rest is debt.
func (t *tree) take(cell int, amount float64) {
	if t.rate == 0 {
		return
	}
	l := t.level[cell] - amount
	if l < 0 && t.pool > 0 {
		lent := min(-l, t.pool)
		t.pool -= lent
		t.lent[cell].add(t.at, lent)
		l += lent
	}
	// Debt ends within twice Give of the last request let in, or a lone huge object would shut its cell for long.
	t.level[cell] = max(l, -2*t.depth(cell))
}

// settle takes what was used beyond what was reckoned, or gives back what was not.
func (t *tree) settle(cell int, more float64) {
	if more > 0 {
		t.take(cell, more)
	} else if t.rate > 0 {
		t.level[cell] = min(t.level[cell]-more, t.depth(cell))
	}
}

// use is a rate that forgets over useSpan.
type use struct {
	sum float64
	at  int64
}

// useSpan in microseconds: a flood shows within a second, and is forgotten in as much.
const useSpan = 2e6

func (u *use) add(now int64, amount float64) float64 {
	u.sum = u.sum*math.Exp(-float64(now-u.at)/useSpan) + amount
	u.at = now
	return u.sum
}

func (u *use) now(now int64) float64 { return u.sum * math.Exp(-float64(now-u.at)/useSpan) }

// fair finds how much of a crowded cell a tenant may use, for its weight: the level falls while the cell refuses, and
// rises while it does not. Only tenants above it are turned away, so the heaviest go first.
type fair struct {
	level   float64 // of use by weight; math.Inf(1): nobody is turned away
	top     use     // greatest use seen of late
	all     use     // use of all tenants, and how many there are
	tenants float64
	pressed int64 // when the cell last had to refuse
	moved   int64
}

const (
	fairEvery = 50_000  // microseconds between two moves of the level
	fairCalm  = 200_000 // microseconds without a refusal after which it rises
	fairDown  = 0.8
	fairUp    = 1.1
	// fairLeast is the least level, in parts of what the tenants of the cell use on average: one that uses less than
	// half of that is never the one to go.
	fairLeast = 0.5
)

// see takes in a tenant's use by weight.
func (f *fair) see(now int64, used float64) {
	if top := f.top.now(now); used > top {
		f.top = use{used, now}
	}
}

// press is told when the cell had to refuse.
func (f *fair) press(now int64) {
	f.pressed = now
	if now-f.moved < fairEvery {
		return
	}
	f.moved = now
	f.level = min(f.level, f.top.now(now))
	f.level = max(f.level*fairDown, fairLeast*f.all.now(now)/max(f.tenants, 1))
}

// over reports that a tenant uses more than the cell has for it.
func (f *fair) over(now int64, used float64) bool {
	if now-f.pressed > fairCalm && now-f.moved >= fairEvery {
		f.moved = now
		if f.level *= fairUp; f.level > 2*f.top.now(now) {
			f.level = math.Inf(1)
		}
	}
	return used > f.level
}
