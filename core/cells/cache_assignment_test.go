package cells

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// independentDivide assigns each cache independently to a cell, by weighted rendezvous hashing with the shares as
// weights. Replacing a cache moves no other cache, but cells are uneven or empty. It is a baseline for divideCaches.
func independentDivide(cells []Cell, caches []string) [][]string {
	divided := make([][]string, len(cells))
	for _, name := range caches {
		best, lowest := 0, math.Inf(1)
		for i, cell := range cells {
			if score := -math.Log(affinity(cell.Name, name)) / cell.Share; score < lowest {
				best, lowest = i, score
			}
		}
		divided[best] = append(divided[best], name)
	}
	return divided
}

// referenceDivide is a greedy assignment over all pairs of cell and cache in descending order of affinity. divideCaches
// must return the same.
func referenceDivide(cells []Cell, caches []string) [][]string {
	type pair struct {
		cell, cache int
		affinity    float64
	}
	var pairs []pair
	for i, cell := range cells {
		for j, name := range caches {
			pairs = append(pairs, pair{i, j, affinity(cell.Name, name)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.affinity, a.affinity) })
	quotas := cacheQuotas(cells, len(caches))
	divided := make([][]string, len(cells))
	isAssigned := map[int]bool{}
	for _, p := range pairs {
		if !isAssigned[p.cache] && quotas[p.cell] > 0 {
			isAssigned[p.cache] = true
			quotas[p.cell]--
			divided[p.cell] = append(divided[p.cell], caches[p.cache])
		}
	}
	for _, names := range divided {
		slices.Sort(names)
	}
	return divided
}

// Quotas must add up to the number of caches, and each cell must get at least one cache if there are enough.
func TestCacheQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 80).Draw(t, "caches")
		cells := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Cell {
			return Cell{Share: rapid.Float64Range(0.001, 1).Draw(t, "share")}
		}), 1, 20).Draw(t, "cells")
		sum := 0
		for i, q := range cacheQuotas(cells, n) {
			if sum += q; q < 0 || n >= len(cells) && q == 0 {
				t.Fatalf("cell %d has %d of %d caches", i, q, n)
			}
		}
		if sum != n {
			t.Fatalf("quotas add up to %d for %d caches", sum, n)
		}
	})
}

// Replacing a cache by one with another name must move at most 5% of the other caches to other cells. docs/cells.md
// states this bound.
func TestReplacedCacheMovesFewOthers(t *testing.T) {
	cells := []Cell{
		{Name: "a", Share: 0.25}, {Name: "b", Share: 0.25}, {Name: "c", Share: 0.25}, {Name: "d", Share: 0.25},
	}
	moved, stayed, worst, empty := 0, 0, 0, 0
	for trial := range 300 {
		for _, names := range independentDivide(cells, cacheNames(trial + 13)[trial+1:]) {
			if len(names) == 0 {
				empty++
			}
		}
		caches := cacheNames(38)
		before := divideCaches(cells, caches)
		replaced := trial % 38
		caches[replaced] = fmt.Sprintf("s-%08x", uint32(trial+1000)*2654435761)
		movedNow := 0
		for i, names := range divideCaches(cells, caches) {
			if len(names) < 9 || len(names) > 10 {
				t.Fatalf("cell %d has %d of 38 caches", i, len(names))
			}
			for _, name := range names {
				if name != caches[replaced] && !slices.Contains(before[i], name) {
					movedNow++
				}
			}
		}
		moved += movedNow
		stayed += 37
		worst = max(worst, movedNow)
	}
	fraction := float64(moved) / float64(stayed)
	t.Logf("fraction %.4f of the other caches moved, at most %d per replacement", fraction, worst)
	t.Logf("for comparison, independent assignment of 12 caches to 4 cells: %d of 1200 cells empty", empty)
	if fraction > 0.05 {
		t.Errorf("%d of %d other caches moved", moved, stayed)
	}
}

// divideCaches must return the same as the greedy reference, for random shares and numbers of caches.
func TestDivideCachesAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cells []Cell
		for i := range rapid.IntRange(1, 12).Draw(t, "cells") {
			share := rapid.Float64Range(0.001, 0.08).Draw(t, "share")
			cells = append(cells, Cell{Name: fmt.Sprint("c", i), Share: share})
		}
		caches := cacheNames(rapid.IntRange(0, 50).Draw(t, "caches"))
		got, want := divideCaches(cells, caches), referenceDivide(cells, caches)
		if !slices.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func BenchmarkDivideCaches(b *testing.B) {
	for _, size := range []struct{ cells, caches int }{{8, 38}, {64, 256}} {
		cells, caches := manyTenants(64, size.cells).Cells, cacheNames(size.caches)
		b.Run(fmt.Sprintf("%dx%d", size.cells, size.caches), func(b *testing.B) {
			for b.Loop() {
				divideCaches(cells, caches)
			}
		})
	}
}
