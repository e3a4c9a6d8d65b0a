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

// referenceRanking scores and sorts all servers for a key: what ranks must agree with.
func referenceRanking(nodes []*server, key string, weighted bool) []*server {
	score := map[*server]float64{}
	for _, n := range nodes {
		h := fnv.New64a()
		h.Write([]byte(key + "\x00" + n.name))
		score[n] = -math.Log((float64(finishHash(h.Sum64())) + 0.5) / (1 << 53))
		if weighted && n.weight > 0 {
			score[n] /= n.weight
		}
	}
	order := slices.Clone(nodes)
	slices.SortStableFunc(order, func(a, b *server) int { return cmp.Compare(score[a], score[b]) })
	return order
}

func TestRanksAgreeWithThePlainRanking(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	for world := range 300 {
		weighted := world%2 == 0
		var nodes []*server
		for i := range 1 + rng.IntN(60) {
			n := &server{name: fmt.Sprintf("s-%0*x", 1+rng.IntN(8), i*7919)}
			if rng.IntN(8) > 0 {
				n.weight = []float64{1, 4, 0.1 + 10*rng.Float64()}[rng.IntN(3)]
			}
			nodes = append(nodes, n)
		}
		k := newRendezvousRanking(nodes, weighted)
		for range 20 {
			key := fmt.Sprintf("%x/%d", rng.Uint64(), rng.IntN(20))
			k.setKey(key)
			for place, want := range referenceRanking(nodes, key, weighted) {
				if got := k.next(); got != want {
					t.Fatalf("world %d, key %s, place %d of %d: %s, want %s", world, key, place, len(nodes), got.name, want.name)
				}
			}
			if k.next() != nil {
				t.Fatal("more servers than there are")
			}
		}
	}
}

// referenceSelectEdgeCache looks at every cache in the plain ranking, and draws for each that is usable.
func referenceSelectEdgeCache(r *Engine, q *request) (pick *server, full bool) {
	r.subsetOf(0).inPanic = !slices.ContainsFunc(r.caches, func(n *server) bool { return !n.breaker.isOpen(r.now) })
	var fit []*server
	for _, n := range referenceRanking(r.caches, q.chunkKey, r.hasServerWeights) {
		if !r.isEligible(q, n) {
			continue
		}
		if r.hasCapacity(q, n) {
			fit = append(fit, n)
		} else {
			full = true
		}
	}
	if len(fit) == 0 {
		return nil, full
	}
	hot := float64(r.recentRequests[q.Object]*len(r.caches)) > hotObjectShare*float64(max(r.recentRequestCount, recentRequestWindow/8))
	if hot && len(fit) > 1 && fit[1].inFlight+1 < fit[0].inFlight && !fit[1].breaker.isReadyForTrial(r.now) {
		return fit[1], full
	}
	return fit[0], full
}

// The pick is that of the plain way with the same random numbers, in worlds with open breakers, cold and
// crowded caches, hot objects and requests that were tried before.
func TestPickIsThePlainOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 3))
	none, second := 0, 0
	for world := range 400 {
		set := testSettings()
		set.WeightSource = []WeightSource{WeightsAbsent, WeightsNominal}[rng.IntN(2)]
		r, err := NewEngine(set, int64(world))
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * sec
		list := endpoints(1+rng.IntN(40), 1)
		for i := range list {
			list[i].Weight = 0.5 + rng.Float64()*4
			if rng.IntN(4) == 0 {
				list[i].StartedAt = now - int64(rng.IntN(20))*sec
			}
		}
		r.Step(now, []Event{{Kind: EventEndpoints, UpdateMode: "replace", Endpoints: list}})
		crowd := rng.Float64() * 3
		for _, n := range r.caches {
			n.inFlight = int(n.concurrencyLimit * crowd * rng.Float64())
			if rng.IntN(5) == 0 {
				n.breaker.openUntil = now + int64(rng.IntN(3)-1)*sec
				n.breaker.isTrialInFlight = rng.IntN(4) == 0
			}
		}
		for i := range 50 {
			r.now = now + int64(i)*100*ms
			q := &request{Event: Event{RequestID: "c", Object: fmt.Sprint("o", rng.IntN(8)), SizeKB: 30}, class: rng.IntN(3)}
			q.chunkKey = chunkKey(q.Object, int64(rng.IntN(3)))
			r.recentRequests[q.Object] += rng.IntN(40)
			r.recentRequestCount += 20
			if n := r.caches[rng.IntN(len(r.caches))]; rng.IntN(4) == 0 {
				q.failedCaches, q.firstRunServer = append(q.failedCaches, n), n
			}
			seed := rng.Uint64()
			r.rng = rand.New(rand.NewPCG(seed, 0))
			was := map[*server]server{}
			for _, n := range r.caches {

				was[n] = server{coldDraw: n.coldDraw, coldDrawAt: n.coldDrawAt, coldSends: slices.Clone(n.coldSends)}
			}
			want, wantFull := referenceSelectEdgeCache(r, q)
			r.rng = rand.New(rand.NewPCG(seed, 0))
			for n, old := range was {
				n.coldDraw, n.coldDrawAt, n.coldSends = old.coldDraw, old.coldDrawAt, old.coldSends
			}
			got, full := r.selectEdgeCache(q, 0)
			if got != want || got == nil && full != wantFull {
				t.Fatalf("world %d, pick %d: %v, full %v, want %v, %v", world, i, got, full, want, wantFull)
			}
			if got == nil {
				none++
			} else if got != referenceRanking(r.caches, q.chunkKey, r.hasServerWeights)[0] {
				second++
			}
			if got != nil {
				r.recordColdSend(got, 1000)
			}
		}
	}
	if none < 100 || second < 1000 {
		t.Errorf("worlds too easy: %d picks of none, %d not of the first", none, second)
	}
}
