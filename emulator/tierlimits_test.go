package emulator

import "testing"

// A tier in fifths with seven in ten dead: core/fleet stays within the limit and is used again after the heal; ways without a majority pass it. The same
// seed gives the same result.
func TestTierKeepsItsLimit(t *testing.T) {
	day := Tier{Routers: 20, Limit: 40, Floor: 0.2, Demand: 1.5, Skew: 0.8, MovesS: 10, Loss: 0.1, WarmS: 15, DayS: 60, Parts: 5, CutS: 20, CutForS: 15}
	for way, over := range map[string]bool{"even": false, "gossip": true, "keeper": true, "fleet": false} {
		day.Way = way
		r, err := day.Run(3)
		if err != nil {
			t.Fatal(err)
		}
		again, err := day.Run(3)
		if err != nil || *again != *r {
			t.Errorf("%s: %+v, then %+v (%v)", way, r, again, err)
		}
		if (r.Over > 1.01) != over || way == "fleet" && (r.Over > 1 || r.Regains > 20 || r.CutUse < 0.1) {
			t.Errorf("%s: %+v", way, r)
		}
	}
	day.Loss = 2
	if _, err := day.Run(1); err == nil {
		t.Error("a loss of 2 is taken")
	}
}
