package emulator

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against abandoned fetches that continue although parents are configured to cancel them, and against transfers
// that a canceled fetch leaves on the origin's link. A brownout of the origin makes clients time out. Without
// cancellation at least half of the fetches in flight are abandoned.
func TestAbandonedFetchesAreCanceled(t *testing.T) {
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
			// Transfers that go directly to a router or an edge cache are on the origin's link too.
			origin := &w.servers[w.origin]
			if n := w.links[origin.link].active; n < started || n > started+origin.active {
				t.Errorf("%d transfers on the origin link, want those of %d fetches and up to %d direct ones",
					n, started, origin.active)
			}
			if all == 0 || cancels && abandoned > 0 || !cancels && abandoned < all/2 {
				t.Errorf("%d of %d fetches are abandoned, want none if parents cancel them, otherwise at least half",
					abandoned, all)
			}
			checkNoViolation(t, &w.result)
		})
	}
}

func TestBrownoutFractionMustBePositive(t *testing.T) {
	cfg := smallConfig(3)
	cfg.Faults = []Fault{{Kind: FaultBrownout, Fraction: 0}}
	if _, err := New(cfg); err == nil {
		t.Error("New accepted a brownout that leaves no capacity")
	}
}
