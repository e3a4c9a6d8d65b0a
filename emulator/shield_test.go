package emulator

import "testing"

func trialOfLimits(law string) Shield {
	return Shield{Routers: 32, RateS: 250, CapS: 320, Knee: 64, Slows: 0.5, AllowS: 1.5, Tries: 3, Reports: 0.05, WarmS: 8, DayS: 60, Reserve: 0.1, Burst: 3, Law: law,
		LowPart: 0.3, LowFromS: 18, LowForS: 20}
}

// A head office that loses 70% for 20 s: plain retries never get out of the jam again, each law does within three seconds and keeps what is
// out under the burst; the law that follows no times serves less on a good day.
func TestBrownout(t *testing.T) {
	res := map[string]*ShieldResult{}
	for _, law := range []string{"none", "fixed", "aimd", "gradient", "delay"} {
		trial := trialOfLimits(law)
		r, err := trial.Run(5)
		if err != nil {
			t.Fatal(err)
		}
		res[law] = r
		if law == "none" {
			continue
		}
		if r.OutMost > 3.1 || r.BackS > 3 || r.SettleS > 6 || r.Low < 0.25 {
			t.Errorf("%s: %+v", law, r)
		}
	}
	if r := res["none"]; r.End > 0.1 || r.Low > 0.1 || r.Sent < 2*r.Wanted {
		t.Errorf("without a limit: %+v", r)
	}
	if res["gradient"].Before < 0.98 || res["fixed"].Before > res["gradient"].Before {
		t.Errorf("before: %v by gradient, %v fixed", res["gradient"].Before, res["fixed"].Before)
	}
	if sent := res["gradient"].Sent; sent > res["gradient"].Wanted {
		t.Errorf("%d sent for %d wishes", sent, res["gradient"].Wanted)
	}
}

// When half of the routers die the others take their part over, as the head office still answers well.
func TestHalfTheRoutersDie(t *testing.T) {
	trial := trialOfLimits("gradient")
	trial.LowForS, trial.DeadPart, trial.DeadAtS = 0, 0.5, 20
	r, err := trial.Run(5)
	if err != nil || r.End < 0.97 {
		t.Errorf("%+v, %v", r, err)
	}
	again, err := trial.Run(5)
	if err != nil || *again != *r {
		t.Errorf("the same seed gives %+v, then %+v", r, again)
	}
	for _, spoil := range []func(*Shield){func(s *Shield) { s.Routers = 0 }, func(s *Shield) { s.Law = "pid" }, func(s *Shield) { s.Burst = 0 }} {
		bad := trial
		spoil(&bad)
		if _, err := bad.Run(1); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// A brownout of the head office in a whole world: where area caches drop what nobody waits for, none of their fetches is without somebody who
// waits, and the head office's books come out even; where they keep it, most are.
func TestFetchesThatNobodyWaitsFor(t *testing.T) {
	for _, drops := range []bool{true, false} {
		cfg := small(3)
		cfg.OriginRoom, cfg.DayS, cfg.DropFetches = 0.5, 16, drops
		cfg.Faults = []Fault{{Kind: "brownout", AtS: 6, ForS: 30, Part: 0.05}}
		w, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		for len(w.queue.heap) > 0 && w.now < 14*sec {
			e := w.queue.pop()
			w.now = e.at
			w.handle(&e)
		}
		alone, flows, all := 0, 0, 0
		for i := range w.servers {
			for _, f := range w.servers[i].fetches {
				all++
				if w.fetches[f].flows {
					flows++
				}
				waits := false
				for _, r := range w.fetches[f].waiters {
					waits = waits || w.tries[r.id].gen == r.gen && w.tries[r.id].fetch == f
				}
				if !waits {
					alone++
				}
			}
		}
		// What goes straight to a router or cache is on the head office's link besides.
		if n := w.links[w.servers[w.origin].link].n; n < flows || n > flows+w.servers[w.origin].active {
			t.Errorf("drops %v: %d transfers, %d fetches and %d straight", drops, n, flows, w.servers[w.origin].active)
		}
		if drops && alone > 0 || !drops && alone < all/2 || all == 0 || w.res.BrokenRules() > 0 {
			t.Errorf("drops %v: %d of %d fetches that nobody waits for, %v", drops, alone, all, w.res.Broken)
		}
	}
	cfg := small(3)
	cfg.Faults = []Fault{{Kind: "brownout", Part: 0}}
	if _, err := New(cfg); err == nil {
		t.Error("a brownout that leaves nothing")
	}
}
