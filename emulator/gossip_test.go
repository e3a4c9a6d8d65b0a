package emulator

import "testing"

// A new object that all clients want, where routers tell one another of its overloaded parent: datagrams are sent,
// one of the routers starts anew meanwhile, most are lost, and the same day comes out the same. Without gossip not
// one is sent.
func TestHotObjectAndGossip(t *testing.T) {
	day := func(gossip *Gossip) Result {
		cfg := smallConfig(3)
		cfg.Sites = 8
		cfg.RoutersPerSite = 4
		cfg.CachesPerSite = 4
		cfg.Parents = 4
		cfg.StreamsPerCache = 6
		cfg.RequestsPerSecond = 480
		cfg.DurationSeconds = 12
		cfg.ParentCapacityFactor = 0.5
		cfg.OriginCapacityFactor = 3
		cfg.HotObject = &HotObject{StartSeconds: 4, DurationSeconds: 6, SessionFraction: 0.4}
		cfg.Gossip = gossip
		cfg.Faults = []Fault{{Kind: FaultRouter, Site: 1, AtSeconds: 6, DurationSeconds: 2.5}}
		return runWorld(t, cfg)
	}
	without := day(nil)
	with := day(&Gossip{})
	lossy := day(&Gossip{LossRatio: 0.6})
	again := day(&Gossip{LossRatio: 0.6})
	if without.Datagrams != 0 || with.Datagrams == 0 || with.DatagramBytes < 18*with.Datagrams {
		t.Errorf("%d and %d datagrams, %d bytes", without.Datagrams, with.Datagrams, with.DatagramBytes)
	}
	if lossy.Datagrams != again.Datagrams || lossy.FillKB != again.FillKB || lossy.Events != again.Events {
		t.Error("the same day came out otherwise")
	}
}
