package emulator

import "testing"

func limitTrial(law string) OriginLimitTrial {
	return OriginLimitTrial{Routers: 32, FillsPerSecond: 250, OriginPerSecond: 320, Knee: 64, SlowdownFactor: 0.5, ClientTimeoutSeconds: 1.5, MaxAttempts: 3, ReportFraction: 0.05, WarmUpSeconds: 8, DurationSeconds: 60, Reserve: 0.1, Burst: 3, Algorithm: law,
		BrownoutCapacity: 0.3, BrownoutStartSeconds: 18, BrownoutDurationSeconds: 20}
}

// A head office that loses 70% for 20 s: plain retries never get out of the jam again, each law does within three seconds and keeps what is
// out under the burst; the law that follows no times serves less on a good day.
func TestOriginLimitBrownout(t *testing.T) {
	res := map[string]*OriginLimitResult{}
	for _, law := range []string{"none", "fixed", "aimd", "gradient", "delay"} {
		trial := limitTrial(law)
		r, err := trial.Run(5)
		if err != nil {
			t.Fatal(err)
		}
		res[law] = r
		if law == "none" {
			continue
		}
		if r.MaxInFlight > 3.1 || r.RecoverySeconds > 3 || r.SettleSeconds > 6 || r.ServedDuring < 0.25 {
			t.Errorf("%s: %+v", law, r)
		}
	}
	if r := res["none"]; r.ServedAtEnd > 0.1 || r.ServedDuring > 0.1 || r.Sent < 2*r.Operations {
		t.Errorf("without a limit: %+v", r)
	}
	if res["gradient"].ServedBefore < 0.98 || res["fixed"].ServedBefore > res["gradient"].ServedBefore {
		t.Errorf("before: %v by gradient, %v fixed", res["gradient"].ServedBefore, res["fixed"].ServedBefore)
	}
	if sent := res["gradient"].Sent; sent > res["gradient"].Operations {
		t.Errorf("%d sent for %d wishes", sent, res["gradient"].Operations)
	}
}

// When half of the routers die the others take their part over, as the head office still answers well.
func TestOriginLimitRouterFailures(t *testing.T) {
	trial := limitTrial("gradient")
	trial.BrownoutDurationSeconds, trial.FailedFraction, trial.FailureSeconds = 0, 0.5, 20
	r, err := trial.Run(5)
	if err != nil || r.ServedAtEnd < 0.97 {
		t.Errorf("%+v, %v", r, err)
	}
	again, err := trial.Run(5)
	if err != nil || *again != *r {
		t.Errorf("the same seed gives %+v, then %+v", r, again)
	}
	for _, spoil := range []func(*OriginLimitTrial){func(s *OriginLimitTrial) { s.Routers = 0 }, func(s *OriginLimitTrial) { s.Algorithm = "pid" }, func(s *OriginLimitTrial) { s.Burst = 0 }} {
		bad := trial
		spoil(&bad)
		if _, err := bad.Run(1); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// A brownout of the head office in a whole world: where area caches drop what nobody waits for, none of their fetches is without somebody who
// waits, and the head office's books come out even; where they keep it, most are.
func TestAbandonedFetches(t *testing.T) {
	for _, drops := range []bool{true, false} {
		cfg := smallConfig(3)
		cfg.OriginCapacityFactor, cfg.DurationSeconds, cfg.CancelsAbandonedFetches = 0.5, 16, drops
		cfg.Faults = []Fault{{Kind: "brownout", AtSeconds: 6, DurationSeconds: 30, Fraction: 0.05}}
		w, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		for len(w.queue.heap) > 0 && w.now < 14*second {
			e := w.queue.pop()
			w.now = e.time
			w.handle(&e)
		}
		alone, flows, all := 0, 0, 0
		for i := range w.servers {
			for _, f := range w.servers[i].fetches {
				all++
				if w.fetches[f].started {
					flows++
				}
				waits := false
				for _, r := range w.fetches[f].waiters {
					waits = waits || w.attempts[r.id].generation == r.generation && w.attempts[r.id].fetch == f
				}
				if !waits {
					alone++
				}
			}
		}
		// What goes straight to a router or cache is on the head office's link besides.
		if n := w.links[w.servers[w.origin].link].active; n < flows || n > flows+w.servers[w.origin].active {
			t.Errorf("drops %v: %d transfers, %d fetches and %d straight", drops, n, flows, w.servers[w.origin].active)
		}
		if drops && alone > 0 || !drops && alone < all/2 || all == 0 || w.result.ViolationCount() > 0 {
			t.Errorf("drops %v: %d of %d fetches that nobody waits for, %v", drops, alone, all, w.result.Violations)
		}
	}
	cfg := smallConfig(3)
	cfg.Faults = []Fault{{Kind: "brownout", Fraction: 0}}
	if _, err := New(cfg); err == nil {
		t.Error("a brownout that leaves nothing")
	}
}
