package routing

import (
	"cmp"
	"math"
	"slices"
)

// Rendezvous hashing (highest random weight) orders the servers by a hash of the key and the server's name. All routers
// therefore use the same order, and the removal of a server moves only its own keys. Ordering hundreds of servers costs
// more than the rest of a decision. A rendezvousRanking therefore precomputes everything that does not depend on the
// key. It returns the servers one by one, since more than the first two are rarely needed. The order is the same as if
// all servers were sorted by score; a test compares the two.

// The constants of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

const (
	// hashBits is the number of bits of a finished hash, the precision of a float64.
	hashBits = 53
	// maxServersWithoutTable is the maximum number of servers for which no table is kept. Their names are hashed for
	// each key: a table would take more memory than the servers, and thousands of tenants may each have such a small
	// subset.
	maxServersWithoutTable = 8
	// maxReturnedUnsorted is the number of servers that next finds without sorting the list. For any further server,
	// sorting costs less.
	maxReturnedUnsorted = 6
	// boundMargin is a factor that keeps lower bounds below the scores despite rounding errors.
	boundMargin = 1 - 1e-9
)

// rendezvousRanking orders a fixed list of servers for any key.
//
// For each byte, FNV-1a XORs the byte into the low byte of its state h and multiplies h. The effect of a name on h
// therefore depends only on the low byte of h: the final state is h*namePower + nameSums[low byte of h].
type rendezvousRanking struct {
	// Independent of the key.
	servers             []*server
	isWeighted          bool
	hasEqualNameLengths bool       // all names have the same length
	boundFactor         []float64  // by server: factor of lowerBound
	namePower           []uint64   // by server: fnvPrime to the power of its name's length
	nameSums            [][]uint64 // by low byte, then by server; rows are computed on first use; nil with few servers
	singleRow           []uint64   // with few servers: the row of the current key

	// For the current key.
	hashes        []uint64   // by server; among equal weights the greatest hash is first in the order
	bestIndex     int        // index of the server with the lowest bound
	secondIndex   int        // index of the server with the second lowest bound; -1: there is none
	nextBounds    [2]float64 // with weights: the second and the third lowest bound
	sorted        []int32    // the whole order; empty until it is needed
	returnedCount int        // number of servers that next has returned
	lastIndex     int        // index of the last server returned
	lastScore     float64    // with weights: the score of the last server returned
}

// newRendezvousRanking returns a ranking of a list of servers. The list, names and weights must not change afterwards.
func newRendezvousRanking(servers []*server, isWeighted bool) *rendezvousRanking {
	k := &rendezvousRanking{
		servers:             servers,
		hasEqualNameLengths: true,
		boundFactor:         make([]float64, len(servers)),
		namePower:           make([]uint64, len(servers)),
		hashes:              make([]uint64, len(servers)),
		sorted:              make([]int32, 0, len(servers)),
	}
	if len(servers) > maxServersWithoutTable {
		k.nameSums = make([][]uint64, 256)
	} else {
		k.singleRow = make([]uint64, len(servers))
	}
	for i, srv := range servers {
		k.hasEqualNameLengths = k.hasEqualNameLengths && len(srv.name) == len(servers[0].name)
		k.namePower[i] = 1
		for range len(srv.name) {
			k.namePower[i] *= fnvPrime
		}
		k.boundFactor[i] = 1
		if isWeighted && srv.weight > 0 {
			k.isWeighted = true
			k.boundFactor[i] = 1 / srv.weight
		}
		k.boundFactor[i] *= boundMargin / (1 << hashBits)
	}
	return k
}

// setKey sets the current key, and finds the two servers with the lowest bounds.
func (k *rendezvousRanking) setKey(key string) {
	k.sorted = k.sorted[:0]
	k.returnedCount = 0
	k.lastIndex = -1
	k.lastScore = math.Inf(-1)
	k.bestIndex = 0
	k.secondIndex = -1
	if len(k.servers) == 0 {
		return
	}
	state := fnvState(key)
	row := k.row(byte(state))
	if k.hasEqualNameLengths && !k.isWeighted {
		k.hashUnweighted(state, row)
	} else {
		k.hashWithBounds(state, row)
	}
}

// fnvState returns the state of FNV-1a after a key and a zero byte, which separates it from a server's name.
func fnvState(key string) uint64 {
	state := uint64(fnvOffset)
	for i := range len(key) {
		state = (state ^ uint64(key[i])) * fnvPrime
	}
	return state * fnvPrime
}

// row returns the row of nameSums for a state with the given low byte.
func (k *rendezvousRanking) row(low byte) []uint64 {
	if k.nameSums == nil {
		k.fillRow(k.singleRow, low)
		return k.singleRow
	}
	if k.nameSums[low] == nil {
		row := make([]uint64, len(k.servers))
		k.fillRow(row, low)
		k.nameSums[low] = row
	}
	return k.nameSums[low]
}

// fillRow computes the row of nameSums for a low byte.
func (k *rendezvousRanking) fillRow(row []uint64, low byte) {
	for i, srv := range k.servers {
		state := uint64(low)
		for j := range len(srv.name) {
			state = (state ^ uint64(srv.name[j])) * fnvPrime
		}
		row[i] = state - uint64(low)*k.namePower[i]
	}
}

// finishHash mixes an FNV state into a hash of hashBits bits, since FNV alone diffuses the last bytes poorly.
func finishHash(state uint64) uint64 {
	state = (state ^ state>>30) * 0xbf58476d1ce4e5b9
	state = (state ^ state>>27) * 0x94d049bb133111eb
	return (state ^ state>>31) >> (64 - hashBits)
}

// hashUnweighted computes the hashes of servers with equal weights and equal name lengths, and finds the two greatest.
func (k *rendezvousRanking) hashUnweighted(state uint64, row []uint64) {
	hashes := k.hashes[:len(row)]
	state *= k.namePower[0]
	greatest, second := uint64(0), uint64(0)
	for i, sum := range row {
		hash := finishHash(state + sum)
		hashes[i] = hash
		if hash > second && i > 0 {
			second = hash
			k.secondIndex = i
		}
		if hash > greatest {
			second = greatest
			k.secondIndex = k.bestIndex
			greatest = hash
			k.bestIndex = i
		}
	}
}

// hashWithBounds computes the hashes if name lengths or weights differ, and finds the two servers with the lowest
// bounds.
func (k *rendezvousRanking) hashWithBounds(state uint64, row []uint64) {
	hashes := k.hashes[:len(row)]
	namePower := k.namePower[:len(row)]
	boundFactor := k.boundFactor[:len(row)]
	least, second, third := math.Inf(1), math.Inf(1), math.Inf(1)
	if k.hasEqualNameLengths {
		state *= namePower[0]
	}
	for i, sum := range row {
		if k.hasEqualNameLengths {
			sum += state
		} else {
			sum += state * namePower[i]
		}
		hash := finishHash(sum)
		hashes[i] = hash
		bound := lowerBound(hash, boundFactor[i])
		switch {
		case bound >= third:
		case bound < least:
			third, second, least = second, least, bound
			k.secondIndex, k.bestIndex = k.bestIndex, i
		case bound < second:
			third, second = second, bound
			k.secondIndex = i
		default:
			third = bound
		}
	}
	k.nextBounds = [2]float64{second, third}
}

// lowerBound returns a lower bound on a server's score: the distance of its hash from the greatest possible hash,
// multiplied by boundFactor. This is a lower bound because -log(u) is never less than 1-u.
func lowerBound(hash uint64, boundFactor float64) float64 {
	return float64(int64(1<<hashBits-1-hash)) * boundFactor
}

// score returns a server's score for the current key. The server with the lowest score is first in the order.
func (k *rendezvousRanking) score(i int) float64 {
	score := -math.Log((float64(k.hashes[i]) + 0.5) / (1 << hashBits))
	if weight := k.servers[i].weight; k.isWeighted && weight > 0 {
		score /= weight
	}
	return score
}

// next returns the next server in the order for the current key, or nil after the last one.
func (k *rendezvousRanking) next() *server {
	if k.returnedCount >= len(k.servers) {
		return nil
	}
	k.returnedCount++
	if k.returnedCount <= maxReturnedUnsorted {
		if i := k.nextIndex(); i >= 0 {
			k.lastIndex = i
			return k.servers[i]
		}
	}
	if len(k.sorted) == 0 {
		k.sort()
	}
	return k.servers[k.sorted[k.returnedCount-1]]
}

// nextIndex returns the index of the server after the last one returned; -1 if equal scores require a full sort.
func (k *rendezvousRanking) nextIndex() int {
	switch {
	case k.isWeighted:
		return k.nextWeighted()
	case k.returnedCount == 1:
		return k.bestIndex
	case k.returnedCount == 2 && k.secondIndex >= 0 && k.hashes[k.secondIndex] < k.hashes[k.bestIndex]:
		return k.secondIndex
	}
	found, greatest := -1, uint64(0)
	last := k.hashes[k.lastIndex]
	for i, hash := range k.hashes {
		isAfterLast := hash < last || hash == last && i > k.lastIndex
		if isAfterLast && (hash > greatest || found < 0) {
			found = i
			greatest = hash
		}
	}
	return found
}

// nextWeighted is nextIndex for servers of different weights. It computes the logarithm of a hash only if the bound
// does not exclude its server.
func (k *rendezvousRanking) nextWeighted() int {
	found, least := -1, math.Inf(1)
	if k.returnedCount <= 2 {
		found, least = k.bestOfBounds()
		if least < k.nextBounds[k.returnedCount-1] { // the usual case: the bounds exclude all other servers
			k.lastScore = least
			return found
		}
	}
	boundFactor := k.boundFactor[:len(k.hashes)]
	for i, hash := range k.hashes {
		if lowerBound(hash, boundFactor[i]) > least || i == found {
			continue
		}
		score := k.score(i)
		isAfterLast := score > k.lastScore || score == k.lastScore && i > k.lastIndex
		if isAfterLast && (score < least || score == least && i < found) {
			found = i
			least = score
		}
	}
	k.lastScore = least
	return found
}

// bestOfBounds considers only the two servers with the lowest bounds. It returns the index and the score of the one
// that is next by score. Usually the bounds exclude all other servers, and no other logarithm is computed. found is -1
// if neither has a score above lastScore.
func (k *rendezvousRanking) bestOfBounds() (found int, least float64) {
	found, least = -1, math.Inf(1)
	for _, i := range [...]int{k.bestIndex, k.secondIndex} {
		if i < 0 || i == k.lastIndex {
			continue
		}
		if score := k.score(i); score > k.lastScore && score < least {
			found = i
			least = score
		}
	}
	return found, least
}

// sort orders all servers by score. Servers with equal scores keep the order of the list.
func (k *rendezvousRanking) sort() {
	for i := range k.servers {
		k.sorted = append(k.sorted, int32(i))
	}
	slices.SortStableFunc(k.sorted, func(a, b int32) int { return cmp.Compare(k.score(int(a)), k.score(int(b))) })
}
