package cells

import (
	"math"
	"slices"
)

// plainFind looks through all lines: what find must agree with.
func plainFind(lines []Key, family int, class, object, named string) int {
	return slices.IndexFunc(lines, func(k Key) bool {
		return (k.Class == "" || k.Class == class) && k.holds(family) && (k.Named == "" || k.Named == named) &&
			len(k.Prefix) <= len(object) && object[:len(k.Prefix)] == k.Prefix
	})
}

// plainDivide lets each cache alone take the cell of its greatest affinity weighted by share: nothing moves but the
// cache replaced, and cells are uneven or empty. It stands here to be weighed against divide.
func plainDivide(cells []Cell, caches []string) [][]string {
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
