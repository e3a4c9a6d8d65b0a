package hierarchy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against objects that change their target between calls. Also guards against targets whose fraction of the
// objects differs from the fraction in the route.
func TestRoutePicksTargetsByFraction(t *testing.T) {
	r := Route{
		Salts:            []uint64{1, 2, 3},
		HomeFraction:     []float64{0.6, 0.4},
		AtHomeFraction:   []float64{1, 0.5},
		OffHomeFraction:  []float64{0.25, 0, 0.5},
		RejectedFraction: 0.05,
	}
	want := map[int]float64{0: 0.6 + 0.05, 1: 0.2, 2: 0.1, noTarget: 0.05}
	rng := rand.New(rand.NewPCG(5, 5))
	const n = 60_000
	got := map[int]float64{}
	for range n {
		hash := rng.Uint64()
		target := r.Pick(hash)
		if target != r.Pick(hash) {
			t.Fatal("the same object got two targets")
		}
		got[target] += 1.0 / n
	}
	for target, fraction := range want {
		if math.Abs(got[target]-fraction) > 0.01 {
			t.Errorf("target %d: got fraction %v, want %v", target, got[target], fraction)
		}
		if target >= 0 && math.Abs(r.Fractions()[target]-fraction) > 1e-9 {
			t.Errorf("target %d: Fractions returns %v, want %v", target, r.Fractions(), fraction)
		}
	}
}

// Guards against targets that do not get their fraction of all objects, and against objects of other targets that move
// when the fraction of one target decreases.
func TestWeightedRendezvousMovesOnlyAffectedObjects(t *testing.T) {
	salts := []uint64{11, 22, 33, 44}
	before, after := []float64{0.5, 0, 0.3, 0.2}, []float64{0.5, 0, 0.15, 0.2}
	const n = 40_000
	var got [4]int
	rng := rand.New(rand.NewPCG(1, 4))
	for range n {
		hash := rng.Uint64()
		a, b := weightedRendezvous(hash, before, salts), weightedRendezvous(hash, after, salts)
		got[a]++
		if a != b && a != 2 {
			t.Fatalf("an object moved from target %d to %d", a, b)
		}
	}
	for i, fraction := range before {
		if math.Abs(float64(got[i])/n-fraction) > 0.01 {
			t.Errorf("target %d: %d of %d objects, want fraction %v", i, got[i], n, fraction)
		}
	}
	if weightedRendezvous(1, nil, nil) != noTarget || weightedRendezvous(1, []float64{0, 0}, salts) != noTarget {
		t.Error("a target was returned although no fraction is above 0")
	}
}

func BenchmarkPick(b *testing.B) {
	fractions, salts := make([]float64, 41), make([]uint64, 41)
	for i := range fractions {
		salts[i] = uint64(i) * 0x9e3779b97f4a7c15
		fractions[i] = 1.0 / 41
	}
	hash := uint64(1)
	for b.Loop() {
		hash = hash*6364136223846793005 + 1
		weightedRendezvous(hash, fractions, salts)
	}
}
