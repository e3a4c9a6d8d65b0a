package cells

import (
	"math"
	"slices"
)

// referenceFind looks through all lines: what find must agree with.
func referenceFind(lines []TenantKey, family int, class, object, named string) int {
	return slices.IndexFunc(lines, func(k TenantKey) bool {
		return (k.Class == "" || k.Class == class) && k.matchesGroup(family) && (k.DeclaredTenant == "" || k.DeclaredTenant == named) &&
			len(k.ObjectPrefix) <= len(object) && object[:len(k.ObjectPrefix)] == k.ObjectPrefix
	})
}

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
