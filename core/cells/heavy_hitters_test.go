package cells

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Whoever has more than 1/size of all is kept, with bounds that hold.
func TestHeavyHittersKeepsHeavyKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHeavyHitters(10, 1e12)
		plain, total := map[string]float64{}, 0.0
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, 60), 1, 400).Draw(t, "keys") {
			key, amount := fmt.Sprint(k*k%47), float64(1+k%3)
			h.Add(1, key, amount)
			plain[key] += amount
			total += amount
		}
		top := map[string]HeavyHitter{}
		for _, x := range h.Top(10) {
			top[x.Key] = x
			if x.Count < plain[x.Key]-1e-6 || x.Count-x.MaxOvercount > plain[x.Key]+1e-6 {
				t.Fatalf("%+v, counted %v", x, plain[x.Key])
			}
		}
		for key, n := range plain {
			if _, kept := top[key]; !kept && n > total/10 {
				t.Fatalf("%s with %v of %v is not kept", key, n, total)
			}
		}
	})
}

// Old counts fade: who was heavy yesterday makes room.
func TestHeavyHittersDecay(t *testing.T) {
	h := NewHeavyHitters(2, 1e6)
	for range 100 {
		h.Add(1, "old", 1)
	}
	for i := range 4 {
		h.Add(int64(20e6), fmt.Sprint("new", i%2), 1)
	}
	if top := h.Top(2); top[0].Key+top[1].Key != "new0new1" && top[0].Key+top[1].Key != "new1new0" {
		t.Errorf("%+v", top)
	}
}
