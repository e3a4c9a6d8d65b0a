package rules

import (
	"cmp"
	"math"
	"slices"
)

// Ranking servers by a hash of key and name costs a decision more than all else where there are hundreds of them. A
// ranks holds what can be known before the key is; it gives the order that sorting all by score would give (a test
// compares the two), and gives it one by one, since hardly ever more than the first two are looked at.

// The constants of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fewServers are hashed name by name each time: a table for them would be larger than they are, and there may be a set of few
// for each of thousands of tenants.
const fewServers = 8

// sortFrom is the number of servers taken one by one after which sorting the rest costs less.
const sortFrom = 6

// ranks orders a list of servers for any key. FNV-1a mixes one byte at a time into the low byte of its state h and
// multiplies, so that what a name does to h depends on h's low byte alone: it ends as h*pow + add[low byte of h].
type ranks struct {
	nodes    []*node
	weighted bool
	alike    bool       // all names have one length
	shrink   []float64  // by server: a bound on its score is this times its hash's distance to the greatest
	pow      []uint64   // by server: fnvPrime to the power of its name's length
	add      [][]uint64 // by low byte, then by server; a row is made when first asked for. With few servers there are none
	few      []uint64   // with few servers: the row of the key at hand
	hash     []uint64   // by server: of the key at hand, 53 bits; the greatest comes first among equal weights
	first    int        // the best server by bound, for the key at hand
	second   int        // the one behind it, -1 if there is none
	behind   [2]float64 // with weights: the bound of the second, and of the third
	order    []int32    // the servers sorted, once that has been done for the key at hand
	taken    int
	last     float64 // score of the server taken last, with weights
	lastAt   int
}

// newRanks prepares for a list that does not change from here on.
func newRanks(nodes []*node, weighted bool) *ranks {
	k := &ranks{nodes: nodes, hash: make([]uint64, len(nodes)), pow: make([]uint64, len(nodes)),
		shrink: make([]float64, len(nodes)), order: make([]int32, 0, len(nodes))}
	if len(nodes) > fewServers {
		k.add = make([][]uint64, 256)
	} else {
		k.few = make([]uint64, len(nodes))
	}
	k.alike = true
	for i, n := range nodes {
		k.alike = k.alike && len(n.name) == len(nodes[0].name)
		k.pow[i], k.shrink[i] = 1, 1
		for range len(n.name) {
			k.pow[i] *= fnvPrime
		}
		if weighted && n.weight > 0 {
			k.weighted, k.shrink[i] = true, 1/n.weight
		}
		k.shrink[i] *= (1 - 1e-9) / (1 << 53) // a hair less: a bound must not fall to rounding
	}
	return k
}

// start makes key the one at hand.
func (k *ranks) start(key string) {
	h := uint64(fnvOffset)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	h *= fnvPrime // the separator is a zero byte
	k.taken, k.last, k.lastAt, k.order = 0, math.Inf(-1), -1, k.order[:0]
	add := k.few
	if k.add == nil {
		k.row(add, byte(h))
	} else if add = k.add[byte(h)]; add == nil {
		add = make([]uint64, len(k.nodes))
		k.row(add, byte(h))
		k.add[byte(h)] = add
	}
	k.first, k.second = 0, -1
	if len(add) == 0 {
		return
	}
	if !k.alike || k.weighted {
		k.bounds(h, add)
		return
	}
	hash, top, next := k.hash[:len(add)], uint64(0), uint64(0)
	h *= k.pow[0]
	for i, a := range add {
		x := mix(h + a)
		hash[i] = x
		if x > next && i > 0 {
			next, k.second = x, i
		}
		if x > top {
			next, k.second, top, k.first = top, k.first, x, i
		}
	}
}

// row fills in what each name adds to a hash whose low byte is low.
func (k *ranks) row(add []uint64, low byte) {
	for i, n := range k.nodes {
		x := uint64(low)
		for j := range len(n.name) {
			x = (x ^ uint64(n.name[j])) * fnvPrime
		}
		add[i] = x - uint64(low)*k.pow[i]
	}
}

// bounds fills in the hashes where names or weights differ, and finds the two servers with the least bounds.
func (k *ranks) bounds(h uint64, add []uint64) {
	hash, pow, shrink := k.hash[:len(add)], k.pow[:len(add)], k.shrink[:len(add)]
	least, next, third := math.Inf(1), math.Inf(1), math.Inf(1)
	if k.alike {
		h *= pow[0]
	}
	for i, a := range add {
		if !k.alike {
			a += h * pow[i]
		} else {
			a += h
		}
		x := mix(a)
		hash[i] = x
		s := k.bound(x, shrink[i])
		if s >= third {
			continue
		}
		switch third = s; {
		case s < least:
			third, next, k.second, least, k.first = next, least, k.first, s, i
		case s < next:
			third, next, k.second = next, s, i
		}
	}
	k.behind = [2]float64{next, third}
}

// bound is never more than the score: -log(u) is never less than 1-u.
func (k *ranks) bound(hash uint64, shrink float64) float64 {
	return float64(int64(1<<53-1-hash)) * shrink
}

// score is less for a better place.
func (k *ranks) score(i int) float64 {
	s := -math.Log((float64(k.hash[i]) + 0.5) / (1 << 53))
	if w := k.nodes[i].weight; k.weighted && w > 0 {
		s /= w
	}
	return s
}

// next gives the servers in their order, then nil.
func (k *ranks) next() *node {
	if k.taken >= len(k.nodes) {
		return nil
	}
	if k.taken++; k.taken <= sortFrom {
		if best := k.best(); best >= 0 {
			k.lastAt = best
			return k.nodes[best]
		}
	}
	if len(k.order) == 0 {
		k.sort()
	}
	return k.nodes[k.order[k.taken-1]]
}

// best finds the server behind the one taken last; -1 where the order of equal scores takes a full sort.
func (k *ranks) best() int {
	switch {
	case k.weighted:
		return k.bestWeighted()
	case k.taken == 1:
		return k.first
	case k.taken == 2 && k.second >= 0 && k.hash[k.second] < k.hash[k.first]:
		return k.second
	}
	best, top, below := -1, uint64(0), k.hash[k.lastAt]
	for i, x := range k.hash {
		if (x > top || best < 0) && (x < below || x == below && i > k.lastAt) {
			best, top = i, x
		}
	}
	return best
}

// bestWeighted takes a logarithm only of a hash whose bound leaves its server in the running.
func (k *ranks) bestWeighted() int {
	best, least := -1, math.Inf(1)
	for _, i := range []int{k.first, k.second} { // most likely the best: few others need a logarithm
		if i >= 0 && i != k.lastAt && k.taken <= 2 {
			if s := k.score(i); s > k.last && s < least {
				best, least = i, s
			}
		}
	}
	if k.taken <= 2 && least < k.behind[k.taken-1] { // the usual case: no bound leaves another in the running
		k.last = least
		return best
	}
	shrink := k.shrink[:len(k.hash)]
	for i, x := range k.hash {
		if k.bound(x, shrink[i]) > least || i == best {
			continue
		}
		s := k.score(i)
		if (s < least || s == least && i < best) && (s > k.last || s == k.last && i > k.lastAt) {
			best, least = i, s
		}
	}
	k.last = least
	return best
}

func (k *ranks) sort() {
	for i := range k.nodes {
		k.order = append(k.order, int32(i))
	}
	slices.SortStableFunc(k.order, func(a, b int32) int { return cmp.Compare(k.score(int(a)), k.score(int(b))) })
}
