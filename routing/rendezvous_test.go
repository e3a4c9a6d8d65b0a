package routing

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// referenceRanking scores and sorts all servers for a key: what a rendezvousRanking must agree with.
func referenceRanking(servers []*server, key string, weighted bool) []*server {
	score := map[*server]float64{}
	for _, srv := range servers {
		hash := fnv.New64a()
		hash.Write([]byte(key + "\x00" + srv.name))
		score[srv] = -math.Log((float64(finishHash(hash.Sum64())) + 0.5) / (1 << 53))
		if weighted && srv.weight > 0 {
			score[srv] /= srv.weight
		}
	}
	order := slices.Clone(servers)
	slices.SortStableFunc(order, func(a, b *server) int { return cmp.Compare(score[a], score[b]) })
	return order
}

// The order is that of the reference, for any lists of servers, weights and keys.
func TestRankingAgreesWithReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	for world := range 300 {
		weighted := world%2 == 0
		var servers []*server
		for i := range 1 + rng.IntN(60) {
			srv := &server{name: fmt.Sprintf("s-%0*x", 1+rng.IntN(8), i*7919)}
			if rng.IntN(8) > 0 {
				srv.weight = []float64{1, 4, 0.1 + 10*rng.Float64()}[rng.IntN(3)]
			}
			servers = append(servers, srv)
		}
		ranking := newRendezvousRanking(servers, weighted)
		for range 20 {
			key := fmt.Sprintf("%x/%d", rng.Uint64(), rng.IntN(20))
			ranking.setKey(key)
			for place, want := range referenceRanking(servers, key, weighted) {
				if got := ranking.next(); got != want {
					t.Fatalf(
						"world %d, key %s, place %d of %d: %s, want %s",
						world,
						key,
						place,
						len(servers),
						got.name,
						want.name,
					)
				}
			}
			if ranking.next() != nil {
				t.Fatal("more servers than there are")
			}
		}
	}
}
