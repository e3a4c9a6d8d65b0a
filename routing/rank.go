package routing

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

// maxServersWithoutTable are hashed name by name each time: a table for them would be larger than they are, and there may be a set of few
// for each of thousands of tenants.
const maxServersWithoutTable = 8

// maxTakenUnsorted is the number of servers taken one by one after which sorting the rest costs less.
const maxTakenUnsorted = 6

// rendezvousRanking orders a list of servers for any key. FNV-1a mixes one byte at a time into the low byte of its state h and
// multiplies, so that what a name does to h depends on h's low byte alone: it ends as h*pow + add[low byte of h].
type rendezvousRanking struct {
	servers        []*server
	weighted       bool
	sameNameLength bool       // all names have one length
	boundFactor    []float64  // by server: a bound on its score is this times its hash's distance to the greatest
	namePower      []uint64   // by server: fnvPrime to the power of its name's length
	nameSums       [][]uint64 // by low byte, then by server; a row is made when first asked for. With few servers there are none
	smallRow       []uint64   // with few servers: the row of the key at hand
	hashes         []uint64   // by server: of the key at hand, 53 bits; the greatest comes first among equal weights
	bestIndex      int        // the best server by bound, for the key at hand
	secondIndex    int        // the one behind it, -1 if there is none
	nextBounds     [2]float64 // with weights: the bound of the second, and of the third
	sorted         []int32    // the servers sorted, once that has been done for the key at hand
	takenCount     int
	lastScore      float64 // score of the server taken last, with weights
	lastIndex      int
}

// newRendezvousRanking prepares for a list that does not change from here on.
func newRendezvousRanking(nodes []*server, weighted bool) *rendezvousRanking {
	k := &rendezvousRanking{servers: nodes, hashes: make([]uint64, len(nodes)), namePower: make([]uint64, len(nodes)),
		boundFactor: make([]float64, len(nodes)), sorted: make([]int32, 0, len(nodes))}
	if len(nodes) > maxServersWithoutTable {
		k.nameSums = make([][]uint64, 256)
	} else {
		k.smallRow = make([]uint64, len(nodes))
	}
	k.sameNameLength = true
	for i, n := range nodes {
		k.sameNameLength = k.sameNameLength && len(n.name) == len(nodes[0].name)
		k.namePower[i], k.boundFactor[i] = 1, 1
		for range len(n.name) {
			k.namePower[i] *= fnvPrime
		}
		if weighted && n.weight > 0 {
			k.weighted, k.boundFactor[i] = true, 1/n.weight
		}
		k.boundFactor[i] *= (1 - 1e-9) / (1 << 53) // a hair less: a bound must not fall to rounding
	}
	return k
}

// setKey makes key the one at hand.
func (k *rendezvousRanking) setKey(key string) {
	h := uint64(fnvOffset)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	h *= fnvPrime // the separator is a zero byte
	k.takenCount, k.lastScore, k.lastIndex, k.sorted = 0, math.Inf(-1), -1, k.sorted[:0]
	add := k.smallRow
	if k.nameSums == nil {
		k.fillRow(add, byte(h))
	} else if add = k.nameSums[byte(h)]; add == nil {
		add = make([]uint64, len(k.servers))
		k.fillRow(add, byte(h))
		k.nameSums[byte(h)] = add
	}
	k.bestIndex, k.secondIndex = 0, -1
	if len(add) == 0 {
		return
	}
	if !k.sameNameLength || k.weighted {
		k.hashWithBounds(h, add)
		return
	}
	hash, top, next := k.hashes[:len(add)], uint64(0), uint64(0)
	h *= k.namePower[0]
	for i, a := range add {
		x := mixHash(h + a)
		hash[i] = x
		if x > next && i > 0 {
			next, k.secondIndex = x, i
		}
		if x > top {
			next, k.secondIndex, top, k.bestIndex = top, k.bestIndex, x, i
		}
	}
}

// fillRow fills in what each name adds to a hash whose low byte is low.
func (k *rendezvousRanking) fillRow(add []uint64, low byte) {
	for i, n := range k.servers {
		x := uint64(low)
		for j := range len(n.name) {
			x = (x ^ uint64(n.name[j])) * fnvPrime
		}
		add[i] = x - uint64(low)*k.namePower[i]
	}
}

// hashWithBounds fills in the hashes where names or weights differ, and finds the two servers with the least bounds.
func (k *rendezvousRanking) hashWithBounds(h uint64, add []uint64) {
	hash, pow, shrink := k.hashes[:len(add)], k.namePower[:len(add)], k.boundFactor[:len(add)]
	least, next, third := math.Inf(1), math.Inf(1), math.Inf(1)
	if k.sameNameLength {
		h *= pow[0]
	}
	for i, a := range add {
		if !k.sameNameLength {
			a += h * pow[i]
		} else {
			a += h
		}
		x := mixHash(a)
		hash[i] = x
		s := k.lowerBound(x, shrink[i])
		if s >= third {
			continue
		}
		switch third = s; {
		case s < least:
			third, next, k.secondIndex, least, k.bestIndex = next, least, k.bestIndex, s, i
		case s < next:
			third, next, k.secondIndex = next, s, i
		}
	}
	k.nextBounds = [2]float64{next, third}
}

// lowerBound is never more than the score: -log(u) is never less than 1-u.
func (k *rendezvousRanking) lowerBound(hash uint64, shrink float64) float64 {
	return float64(int64(1<<53-1-hash)) * shrink
}

// score is less for a better place.
func (k *rendezvousRanking) score(i int) float64 {
	s := -math.Log((float64(k.hashes[i]) + 0.5) / (1 << 53))
	if w := k.servers[i].weight; k.weighted && w > 0 {
		s /= w
	}
	return s
}

// next gives the servers in their order, then nil.
func (k *rendezvousRanking) next() *server {
	if k.takenCount >= len(k.servers) {
		return nil
	}
	if k.takenCount++; k.takenCount <= maxTakenUnsorted {
		if best := k.best(); best >= 0 {
			k.lastIndex = best
			return k.servers[best]
		}
	}
	if len(k.sorted) == 0 {
		k.sort()
	}
	return k.servers[k.sorted[k.takenCount-1]]
}

// best finds the server behind the one taken last; -1 where the order of equal scores takes a full sort.
func (k *rendezvousRanking) best() int {
	switch {
	case k.weighted:
		return k.bestWeighted()
	case k.takenCount == 1:
		return k.bestIndex
	case k.takenCount == 2 && k.secondIndex >= 0 && k.hashes[k.secondIndex] < k.hashes[k.bestIndex]:
		return k.secondIndex
	}
	best, top, below := -1, uint64(0), k.hashes[k.lastIndex]
	for i, x := range k.hashes {
		if (x > top || best < 0) && (x < below || x == below && i > k.lastIndex) {
			best, top = i, x
		}
	}
	return best
}

// bestWeighted takes a logarithm only of a hash whose bound leaves its server in the running.
func (k *rendezvousRanking) bestWeighted() int {
	best, least := -1, math.Inf(1)
	for _, i := range []int{k.bestIndex, k.secondIndex} { // most likely the best: few others need a logarithm
		if i >= 0 && i != k.lastIndex && k.takenCount <= 2 {
			if s := k.score(i); s > k.lastScore && s < least {
				best, least = i, s
			}
		}
	}
	if k.takenCount <= 2 && least < k.nextBounds[k.takenCount-1] { // the usual case: no bound leaves another in the running
		k.lastScore = least
		return best
	}
	shrink := k.boundFactor[:len(k.hashes)]
	for i, x := range k.hashes {
		if k.lowerBound(x, shrink[i]) > least || i == best {
			continue
		}
		s := k.score(i)
		if (s < least || s == least && i < best) && (s > k.lastScore || s == k.lastScore && i > k.lastIndex) {
			best, least = i, s
		}
	}
	k.lastScore = least
	return best
}

func (k *rendezvousRanking) sort() {
	for i := range k.servers {
		k.sorted = append(k.sorted, int32(i))
	}
	slices.SortStableFunc(k.sorted, func(a, b int32) int { return cmp.Compare(k.score(int(a)), k.score(int(b))) })
}
