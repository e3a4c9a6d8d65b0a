package emulator

import "testing"

// A new object that all want is served better where routers tell one another of its crowded home, also when one of them starts anew
// meanwhile and most datagrams are lost; without the talk not one is sent, and the same day comes out the same.
func TestHotObjectAndGossip(t *testing.T) {
	day := func(talk *Gossip) Result {
		cfg := smallConfig(3)
		cfg.Sites, cfg.RoutersPerSite, cfg.CachesPerSite, cfg.Parents, cfg.StreamsPerCache, cfg.RequestsPerSecond, cfg.DurationSeconds = 8, 4, 4, 4, 6, 480, 12
		cfg.ParentCapacityFactor, cfg.OriginCapacityFactor = 0.5, 3
		cfg.HotObject, cfg.Gossip = &HotObject{StartSeconds: 4, DurationSeconds: 6, SessionFraction: 0.4}, talk
		cfg.Faults = []Fault{{Kind: "router", Site: 1, AtSeconds: 6, DurationSeconds: 2.5}}
		w, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		return w.Run()
	}
	alone, told, lossy, again := day(nil), day(&Gossip{}), day(&Gossip{LossRatio: 0.6}), day(&Gossip{LossRatio: 0.6})
	if alone.Datagrams != 0 || told.Datagrams == 0 || told.DatagramBytes < 18*told.Datagrams {
		t.Errorf("%d and %d datagrams, %d bytes", alone.Datagrams, told.Datagrams, told.DatagramBytes)
	}
	if lossy.Datagrams != again.Datagrams || lossy.FillKB != again.FillKB || lossy.Events != again.Events {
		t.Error("the same day came out otherwise")
	}
	for _, r := range []Result{alone, told, lossy} {
		if r.ViolationCount() != 0 {
			t.Errorf("broken: %v", r.Violations)
		}
	}
}
