package cells

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// independentDivide lets each cache alone take the cell of its greatest affinity weighted by share: nothing moves but
// the replaced cache, and cells are uneven or empty. It is here to be compared with divideCaches.
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

// referenceDivide goes through all pairs by affinity: divideCaches must agree with it.
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
	places := cacheQuotas(cells, len(caches))
	divided := make([][]string, len(cells))
	isPlaced := map[int]bool{}
	for _, p := range pairs {
		if !isPlaced[p.cache] && places[p.cell] > 0 {
			isPlaced[p.cache] = true
			places[p.cell]--
			divided[p.cell] = append(divided[p.cell], caches[p.cache])
		}
	}
	for _, names := range divided {
		slices.Sort(names)
	}
	return divided
}

func TestCacheQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 80).Draw(t, "caches")
		cells := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Cell {
			return Cell{Share: rapid.Float64Range(0.001, 1).Draw(t, "share")}
		}), 1, 20).Draw(t, "cells")
		sum := 0
		for i, q := range cacheQuotas(cells, n) {
			if sum += q; q < 0 || n >= len(cells) && q == 0 {
				t.Fatalf("cell %d has %d of %d", i, q, n)
			}
		}
		if sum != n {
			t.Fatalf("%d places for %d caches", sum, n)
		}
	})
}

// A cache that is replaced by one of another name moves few others: docs/cells.md states it.
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
	t.Logf("moved %.4f of the caches that stayed, %d at most", fraction, worst)
	t.Logf("plain hashing of 12 caches left %d of 1200 cells empty", empty)
	if fraction > 0.05 {
		t.Errorf("%d of %d caches moved", moved, stayed)
	}
}

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
