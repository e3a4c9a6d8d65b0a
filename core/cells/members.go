package cells

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// affinity is a number between 0 and 1 that cache and cell (or tenant) share whoever reckons it.
func affinity(a, b string) float64 {
	var h xxhash.Digest
	h.Reset()
	h.WriteString(a)
	h.Write([]byte{0})
	h.WriteString(b)
	return (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
}

// cacheQuotas shares n caches among cells by largest remainder. While there are enough, each cell has one at least; where
// there are not, those with the greatest shares have one each, the first named of equal ones.
func cacheQuotas(cells []Cell, n int) []int {
	q := make([]int, len(cells))
	order := make([]int, len(cells))
	total := 0.0
	for i, c := range cells {
		order[i] = i
		total += c.Share
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cells[b].Share, cells[a].Share) })
	if n <= len(cells) {
		for _, i := range order[:n] {
			q[i] = 1
		}
		return q
	}
	left := n
	rest := make([]float64, len(cells))
	for i, c := range cells {
		want := float64(n) * c.Share / total
		q[i] = max(int(want), 1)
		rest[i] = want - float64(q[i])
		left -= q[i]
	}
	for ; left > 0; left-- {
		i := slices.Index(rest, slices.Max(rest))
		q[i]++
		rest[i]--
	}
	for ; left < 0; left++ { // the one cache at least of small cells is taken where most is over
		worst, over := -1, math.Inf(1)
		for i := range q {
			if q[i] > 1 && rest[i] < over {
				worst, over = i, rest[i]
			}
		}
		q[worst]--
		rest[worst]++
	}
	return q
}

// divideCaches puts each cache into one cell, so that no cache and cell would both rather have each other: the stable matching where
// both sides prefer by affinity, found by caches asking cells in turn (Gale and Shapley 1962). As preferences agree there is
// but one, so whoever has the same list reckons the same, and a cache that is replaced moves little besides: docs/cells.md
// tells how much.
func divideCaches(cells []Cell, caches []string) [][]string {
	room := cacheQuotas(cells, len(caches))
	in := make([][]string, len(cells))
	if len(caches) == 0 {
		return in
	}
	// asked is a cache's next question: its affinity to each cell, until it has asked there.
	width := len(cells)
	a := make([]float64, width*len(caches))
	for j, name := range caches {
		for i := range cells {
			a[j*width+i] = affinity(cells[i].Name, name)
		}
	}
	asked := make([]bool, len(a))
	held := make([][]int, width) // by cell, in no order
	free := make([]int, len(caches))
	for j := range caches {
		free[j] = j
	}
	for len(free) > 0 {
		j := free[len(free)-1]
		free = free[:len(free)-1]
		best := -1
		for i := range cells {
			if at := j*width + i; !asked[at] && room[i] > 0 && (best < 0 || a[at] > a[j*width+best]) {
				best = i
			}
		}
		if best < 0 {
			continue // all that have room for any have better ones: there are as many places as caches, so this can't be
		}
		asked[j*width+best] = true
		if held[best] = append(held[best], j); len(held[best]) <= room[best] {
			continue
		}
		worst := 0
		for k, o := range held[best] {
			if a[o*width+best] < a[held[best][worst]*width+best] {
				worst = k
			}
		}
		last := len(held[best]) - 1
		free = append(free, held[best][worst])
		held[best][worst] = held[best][last]
		held[best] = held[best][:last]
	}
	for i, js := range held {
		for _, j := range js {
			in[i] = append(in[i], caches[j])
		}
		slices.Sort(in[i])
	}
	return in
}

// drawSubset gives a tenant its own caches: the width of greatest affinity.
func drawSubset(tenant string, caches []string, width int) []string {
	if len(caches) <= width {
		return caches
	}
	type scored struct {
		name string
		a    float64
	}
	best := make([]scored, 0, width+1)
	for _, name := range caches {
		s := scored{name, affinity(tenant, name)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.a, a.a) })
		if at < width {
			best = slices.Insert(best, at, s)[:min(len(best)+1, width)]
		}
	}
	names := make([]string, len(best))
	for i, s := range best {
		names[i] = s.name
	}
	slices.Sort(names)
	return names
}

// cachesOf are those that a tenant may use of a depot's caches, in being those of its cell.
func (s *Spec) cachesOf(tenant string, all, in []string) []string {
	switch s.Scheme {
	case SchemeShuffle:
		return drawSubset(tenant, all, s.Width)
	case SchemeNested:
		return drawSubset(tenant, in, s.Width)
	}
	return in
}
