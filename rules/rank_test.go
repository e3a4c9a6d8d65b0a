package rules

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// plainRanking scores and sorts all servers for a key: what ranks must agree with.
func plainRanking(nodes []*node, key string, weighted bool) []*node {
	score := map[*node]float64{}
	for _, n := range nodes {
		h := fnv.New64a()
		h.Write([]byte(key + "\x00" + n.name))
		score[n] = -math.Log((float64(mix(h.Sum64())) + 0.5) / (1 << 53))
		if weighted && n.weight > 0 {
			score[n] /= n.weight
		}
	}
	order := slices.Clone(nodes)
	slices.SortStableFunc(order, func(a, b *node) int { return cmp.Compare(score[a], score[b]) })
	return order
}

func TestRanksAgreeWithThePlainRanking(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	for world := range 300 {
		weighted := world%2 == 0
		var nodes []*node
		for i := range 1 + rng.IntN(60) {
			n := &node{name: fmt.Sprintf("s-%0*x", 1+rng.IntN(8), i*7919)}
			if rng.IntN(8) > 0 {
				n.weight = []float64{1, 4, 0.1 + 10*rng.Float64()}[rng.IntN(3)]
			}
			nodes = append(nodes, n)
		}
		k := newRanks(nodes, weighted)
		for range 20 {
			key := fmt.Sprintf("%x/%d", rng.Uint64(), rng.IntN(20))
			k.start(key)
			for place, want := range plainRanking(nodes, key, weighted) {
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

// plainPick looks at every cache in the plain ranking, and draws for each that is usable.
func plainPick(r *Router, q *request) (pick *node, full bool) {
	r.poolOf(0).panic = !slices.ContainsFunc(r.caches, func(n *node) bool { return !n.brk.open(r.now) })
	var fit []*node
	for _, n := range plainRanking(r.caches, q.part, r.weighs) {
		if !r.usableFor(q, n) {
			continue
		}
		if r.room(q, n) {
			fit = append(fit, n)
		} else {
			full = true
		}
	}
	if len(fit) == 0 {
		return nil, full
	}
	hot := float64(r.recent[q.Object]*len(r.caches)) > hotShare*float64(max(r.recentN, recentRequests/8))
	if hot && len(fit) > 1 && fit[1].out+1 < fit[0].out && !fit[1].brk.ready(r.now) {
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
		set := settings()
		set.WeightSource = []string{"silent", "nominal"}[rng.IntN(2)]
		r, err := New(set, int64(world))
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * sec
		list := rows(1+rng.IntN(40), 1)
		for i := range list {
			list[i].Weight = 0.5 + rng.Float64()*4
			if rng.IntN(4) == 0 {
				list[i].CameUp = now - int64(rng.IntN(20))*sec
			}
		}
		r.Step(now, []Event{{Kind: Members, Mode: "replace", Rows: list}})
		crowd := rng.Float64() * 3
		for _, n := range r.caches {
			n.out = int(n.limit * crowd * rng.Float64())
			if rng.IntN(5) == 0 {
				n.brk.until = now + int64(rng.IntN(3)-1)*sec
				n.brk.trial = rng.IntN(4) == 0
			}
		}
		for i := range 50 {
			r.now = now + int64(i)*100*ms
			q := &request{Event: Event{Call: "c", Object: fmt.Sprint("o", rng.IntN(8)), SizeKb: 30}, class: rng.IntN(3)}
			q.part = partKey(q.Object, int64(rng.IntN(3)))
			r.recent[q.Object] += rng.IntN(40)
			r.recentN += 20
			if n := r.caches[rng.IntN(len(r.caches))]; rng.IntN(4) == 0 {
				q.tried, q.ranNode = append(q.tried, n), n
			}
			seed := rng.Uint64()
			r.rng = rand.New(rand.NewPCG(seed, 0))
			was := map[*node]node{}
			for _, n := range r.caches {

				was[n] = node{luck: n.luck, drawnAt: n.drawnAt, spent: slices.Clone(n.spent)}
			}
			want, wantFull := plainPick(r, q)
			r.rng = rand.New(rand.NewPCG(seed, 0))
			for n, old := range was {
				n.luck, n.drawnAt, n.spent = old.luck, old.drawnAt, old.spent
			}
			got, full := r.pickCache(q, 0)
			if got != want || got == nil && full != wantFull {
				t.Fatalf("world %d, pick %d: %v, full %v, want %v, %v", world, i, got, full, want, wantFull)
			}
			if got == nil {
				none++
			} else if got != plainRanking(r.caches, q.part, r.weighs)[0] {
				second++
			}
			if got != nil {
				r.spend(got, 1000)
			}
		}
	}
	if none < 100 || second < 1000 {
		t.Errorf("worlds too easy: %d picks of none, %d not of the first", none, second)
	}
}
