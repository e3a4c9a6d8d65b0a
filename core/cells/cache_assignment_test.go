package cells

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// independentDivide lets each cache alone take the cell of its greatest affinity weighted by share: nothing moves but the
// cache replaced, and cells are uneven or empty. It stands here to be weighed against divide.
func independentDivide(cells []Cell, caches []string) [][]string {
	in := make([][]string, len(cells))
	for _, name := range caches {
		best, least := 0, math.Inf(1)
		for i, c := range cells {
			if s := -math.Log(affinity(c.Name, name)) / c.Share; s < least {
				best, least = i, s
			}
		}
		in[best] = append(in[best], name)
	}
	return in
}

// referenceDivide goes through all pairs by affinity: what divide must agree with.
func referenceDivide(cells []Cell, caches []string) [][]string {
	type pair struct {
		cell, cache int
		a           float64
	}
	var pairs []pair
	for i, c := range cells {
		for j, name := range caches {
			pairs = append(pairs, pair{i, j, affinity(c.Name, name)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.a, a.a) })
	room, in, placed := cacheQuotas(cells, len(caches)), make([][]string, len(cells)), map[int]bool{}
	for _, p := range pairs {
		if !placed[p.cache] && room[p.cell] > 0 {
			placed[p.cache] = true
			room[p.cell]--
			in[p.cell] = append(in[p.cell], caches[p.cache])
		}
	}
	for _, names := range in {
		slices.Sort(names)
	}
	return in
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

// A cache that is replaced by one of another name moves few others: stated in docs/cells.md.
func TestReplacedCacheMovesFewOthers(t *testing.T) {
	cells := []Cell{{Name: "a", Share: 0.25}, {Name: "b", Share: 0.25}, {Name: "c", Share: 0.25}, {Name: "d", Share: 0.25}}
	moved, places, worst, empty := 0, 0, 0, 0
	for trial := range 300 {
		caches := cacheNames(38)
		before := divideCaches(cells, caches)
		few := cacheNames(trial + 13)[trial+1:]
		for _, in := range independentDivide(cells, few) {
			if len(in) == 0 {
				empty++
			}
		}
		gone := trial % 38
		caches[gone] = fmt.Sprintf("s-%08x", uint32(trial+1000)*2654435761)
		now := 0
		for i, in := range divideCaches(cells, caches) {
			if len(in) < 9 || len(in) > 10 {
				t.Fatalf("cell %d has %d of 38 caches", i, len(in))
			}
			for _, name := range in {
				if name != caches[gone] && !slices.Contains(before[i], name) {
					now++
				}
			}
		}
		moved += now
		places += 37
		worst = max(worst, now)
	}
	t.Logf("moved %.4f of the caches that stayed, %d at most; plain hashing of 12 caches left %d of 1200 cells empty", float64(moved)/float64(places), worst, empty)
	if float64(moved)/float64(places) > 0.05 {
		t.Errorf("%d of %d caches moved", moved, places)
	}
}

func TestDivideCachesAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cells []Cell
		for i := range rapid.IntRange(1, 12).Draw(t, "cells") {
			cells = append(cells, Cell{Name: fmt.Sprint("c", i), Share: rapid.Float64Range(0.001, 0.08).Draw(t, "share")})
		}
		caches := cacheNames(rapid.IntRange(0, 50).Draw(t, "caches"))
		if got, want := divideCaches(cells, caches), referenceDivide(cells, caches); !slices.EqualFunc(got, want, slices.Equal) {
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
