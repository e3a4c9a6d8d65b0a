package cells

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Every key with more than 1/size of the total must be stored, and the true count of each stored key must be within its
// bounds.
func TestHeavyHittersStoresHeavyKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hitters := NewHeavyHitters(10, 1e12)
		counts, total := map[string]float64{}, 0.0
		for _, draw := range rapid.SliceOfN(rapid.IntRange(0, 60), 1, 400).Draw(t, "keys") {
			key, amount := fmt.Sprint(draw*draw%47), float64(1+draw%3)
			hitters.Add(1, key, amount)
			counts[key] += amount
			total += amount
		}
		isTop := map[string]bool{}
		for _, hitter := range hitters.Top(10) {
			isTop[hitter.Key] = true
			count := counts[hitter.Key]
			if hitter.Count < count-1e-6 || hitter.Count-hitter.MaxOvercount > count+1e-6 {
				t.Fatalf("%+v: true count %v is out of bounds", hitter, count)
			}
		}
		for key, count := range counts {
			if !isTop[key] && count > total/10 {
				t.Fatalf("%s with count %v of total %v is not stored", key, count, total)
			}
		}
	})
}

// Old counts must decay, so that a formerly heavy key is replaced by new keys with lower counts.
func TestHeavyHittersReplacesDecayedKeys(t *testing.T) {
	hitters := NewHeavyHitters(2, 1e6)
	for range 100 {
		hitters.Add(1, "old", 1)
	}
	for i := range 4 {
		hitters.Add(int64(20e6), fmt.Sprint("new", i%2), 1)
	}
	top := hitters.Top(2)
	if keys := top[0].Key + top[1].Key; keys != "new0new1" && keys != "new1new0" {
		t.Errorf("want keys new0 and new1: %+v", top)
	}
}
