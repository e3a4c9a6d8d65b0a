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

// referenceRanking is the reference of rendezvousRanking: it scores and sorts all servers for a key.
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

// The order agrees with the reference for random lists of servers, weights and keys.
func TestRankingAgreesWithReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	for run := range 300 {
		weighted := run%2 == 0
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
			for position, want := range referenceRanking(servers, key, weighted) {
				if got := ranking.next(); got != want {
					t.Fatalf(
						"run %d, key %s, position %d of %d: %s, want %s",
						run,
						key,
						position,
						len(servers),
						got.name,
						want.name,
					)
				}
			}
			if ranking.next() != nil {
				t.Fatal("ranking returned more servers than its list has")
			}
		}
	}
}
