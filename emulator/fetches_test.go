package emulator

import (
	"fmt"
	"slices"
	"testing"
)

// A brownout of the origin: where parents cancel fetches that nobody waits for, there are none of them, and the
// origin's link has the transfers that it should; where they do not, most are.
func TestAbandonedFetches(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		t.Run(fmt.Sprint("cancels ", cancels), func(t *testing.T) {
			cfg := smallConfig(3)
			cfg.OriginCapacityFactor = 0.5
			cfg.DurationSeconds = 16
			cfg.CancelsAbandonedFetches = cancels
			cfg.Faults = []Fault{{Kind: FaultBrownout, AtSeconds: 6, DurationSeconds: 30, Fraction: 0.05}}
			w := newWorld(t, cfg)
			for len(w.queue.heap) > 0 && w.now < 14*second {
				e := w.queue.pop()
				w.now = e.time
				w.handle(&e)
			}
			abandoned, started, all := 0, 0, 0
			for i := range w.servers {
				for _, id := range w.servers[i].fetches {
					all++
					if w.fetches[id].started {
						started++
					}
					isWaiting := func(ref attemptRef) bool { return w.isWaiting(ref, id) }
					if !slices.ContainsFunc(w.fetches[id].waiters, isWaiting) {
						abandoned++
					}
				}
			}
			// What goes directly to a router or an edge cache is on the origin's link besides.
			origin := &w.servers[w.origin]
			if n := w.links[origin.link].active; n < started || n > started+origin.active {
				t.Errorf("%d transfers, %d fetches and %d direct", n, started, origin.active)
			}
			if all == 0 || cancels && abandoned > 0 || !cancels && abandoned < all/2 {
				t.Errorf("%d of %d fetches are abandoned", abandoned, all)
			}
			checkNoViolation(t, &w.result)
		})
	}
}

func TestBrownoutLeavesSomething(t *testing.T) {
	cfg := smallConfig(3)
	cfg.Faults = []Fault{{Kind: FaultBrownout, Fraction: 0}}
	if _, err := New(cfg); err == nil {
		t.Error("a brownout that leaves nothing is valid")
	}
}
