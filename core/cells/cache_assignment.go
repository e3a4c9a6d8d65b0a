package cells

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// affinity returns the score of a pair of names for rendezvous hashing, a pseudo-random number between 0 and 1. It is
// the same at every router.
func affinity(a, b string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(a)
	digest.Write([]byte{0})
	digest.WriteString(b)
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}

// cacheQuotas returns how many of the given number of caches each cell gets, by the largest-remainder method. With
// enough caches each cell gets at least one. With too few, the cells with the largest shares get one each, and the
// first of several cells with equal shares takes precedence.
func cacheQuotas(cells []Cell, caches int) []int {
	quotas := make([]int, len(cells))
	if caches <= len(cells) {
		for _, i := range cellsByShare(cells)[:caches] {
			quotas[i] = 1
		}
		return quotas
	}
	shares := 0.0
	for i := range cells {
		shares += cells[i].Share
	}
	remaining := caches
	remainders := make([]float64, len(cells))
	for i := range cells {
		exact := float64(caches) * cells[i].Share / shares
		quotas[i] = max(int(exact), 1)
		remainders[i] = exact - float64(quotas[i])
		remaining -= quotas[i]
	}
	for ; remaining > 0; remaining-- {
		i := slices.Index(remainders, slices.Max(remainders))
		quotas[i]++
		remainders[i]--
	}
	// Cells with small shares were rounded up to one cache. Take the same number of caches from the cells with the
	// smallest remainders.
	for ; remaining < 0; remaining++ {
		i := smallestRemainder(quotas, remainders)
		quotas[i]--
		remainders[i]++
	}
	return quotas
}

// cellsByShare returns the indexes of cells, sorted by share in descending order.
func cellsByShare(cells []Cell) []int {
	order := make([]int, len(cells))
	for i := range cells {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cells[b].Share, cells[a].Share) })
	return order
}

// smallestRemainder returns the index of the cell with the smallest remainder among those with more than one cache.
func smallestRemainder(quotas []int, remainders []float64) int {
	found, smallest := -1, math.Inf(1)
	for i := range quotas {
		if quotas[i] > 1 && remainders[i] < smallest {
			found, smallest = i, remainders[i]
		}
	}
	return found
}

// cacheMatching computes a stable matching of caches to cells, in which both sides prefer the greater affinity. Caches
// propose to cells in order of preference (Gale and Shapley 1962).
type cacheMatching struct {
	cells    int
	affinity []float64 // by cache, then cell
	proposed []bool    // by cache, then cell
	quotas   []int     // by cell
	accepted [][]int   // caches by cell, unsorted
}

// divideCaches assigns each cache to one cell by a stable matching: if a cache has a greater affinity to another cell
// than to its own, all caches of the other cell have a still greater affinity to that cell. Because both sides rank
// pairs by the same affinity, there is only one such matching. So all routers with the same endpoint list compute the
// same result. Replacing a cache moves few other caches (docs/cells.md has figures). The names in each cell are sorted.
func divideCaches(cells []Cell, caches []string) [][]string {
	divided := make([][]string, len(cells))
	if len(caches) == 0 {
		return divided
	}
	m := newCacheMatching(cells, caches)
	m.run(len(caches))
	for cell, accepted := range m.accepted {
		for _, cache := range accepted {
			divided[cell] = append(divided[cell], caches[cache])
		}
		slices.Sort(divided[cell])
	}
	return divided
}

func newCacheMatching(cells []Cell, caches []string) *cacheMatching {
	m := &cacheMatching{
		cells:    len(cells),
		affinity: make([]float64, len(cells)*len(caches)),
		proposed: make([]bool, len(cells)*len(caches)),
		quotas:   cacheQuotas(cells, len(caches)),
		accepted: make([][]int, len(cells)),
	}
	for cache, name := range caches {
		for cell := range cells {
			m.affinity[cache*m.cells+cell] = affinity(cells[cell].Name, name)
		}
	}
	return m
}

// run lets unmatched caches propose until every cache is accepted by a cell.
func (m *cacheMatching) run(caches int) {
	unmatched := make([]int, caches)
	for cache := range unmatched {
		unmatched[cache] = cache
	}
	for len(unmatched) > 0 {
		cache := unmatched[len(unmatched)-1]
		unmatched = unmatched[:len(unmatched)-1]
		cell := m.nextChoice(cache)
		if cell < 0 {
			continue // unreachable: the quotas add up to the number of caches
		}
		m.proposed[cache*m.cells+cell] = true
		m.accepted[cell] = append(m.accepted[cell], cache)
		if len(m.accepted[cell]) > m.quotas[cell] {
			unmatched = append(unmatched, m.dropLowestAffinity(cell))
		}
	}
}

// nextChoice returns the cell that a cache prefers among those that it has not proposed to yet, or -1.
func (m *cacheMatching) nextChoice(cache int) int {
	best := -1
	row := m.affinity[cache*m.cells : (cache+1)*m.cells]
	for cell := range row {
		if !m.proposed[cache*m.cells+cell] && m.quotas[cell] > 0 && (best < 0 || row[cell] > row[best]) {
			best = cell
		}
	}
	return best
}

// dropLowestAffinity removes the cache with the lowest affinity from a cell and returns it.
func (m *cacheMatching) dropLowestAffinity(cell int) int {
	accepted := m.accepted[cell]
	worst := 0
	for i, cache := range accepted {
		if m.affinity[cache*m.cells+cell] < m.affinity[accepted[worst]*m.cells+cell] {
			worst = i
		}
	}
	dropped := accepted[worst]
	last := len(accepted) - 1
	accepted[worst] = accepted[last]
	m.accepted[cell] = accepted[:last]
	return dropped
}

// rendezvousSubset returns the width caches with the greatest affinity to a tenant, sorted by name. If there are at
// most width caches, it returns all of them.
func rendezvousSubset(tenant string, caches []string, width int) []string {
	if len(caches) <= width {
		return caches
	}
	type scoredCache struct {
		name     string
		affinity float64
	}
	best := make([]scoredCache, 0, width+1) // greatest affinity first
	for _, name := range caches {
		scored := scoredCache{name, affinity(tenant, name)}
		at, _ := slices.BinarySearchFunc(best, scored, func(a, b scoredCache) int {
			return cmp.Compare(b.affinity, a.affinity)
		})
		if at < width {
			best = slices.Insert(best, at, scored)[:min(len(best)+1, width)]
		}
	}
	names := make([]string, len(best))
	for i, scored := range best {
		names[i] = scored.name
	}
	slices.Sort(names)
	return names
}

// cachesOf returns the caches that a tenant may use: with SchemeShuffle a subset of the site's caches, with
// SchemeNested a subset of its cell's caches, otherwise all of its cell's caches.
func (s *Spec) cachesOf(tenant string, siteCaches, cellCaches []string) []string {
	switch s.Scheme {
	case SchemeShuffle:
		return rendezvousSubset(tenant, siteCaches, s.Width)
	case SchemeNested:
		return rendezvousSubset(tenant, cellCaches, s.Width)
	}
	return cellCaches
}
