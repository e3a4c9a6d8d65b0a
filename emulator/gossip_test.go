package emulator

import "testing"

// Guards against gossip that is not sent, that is sent when it is not configured, or that makes runs nondeterministic.
// A new popular object overloads its parent, and one router restarts meanwhile. In some runs 60% of the datagrams are
// lost.
func TestGossipIsSentOnlyIfConfiguredAndDeterministic(t *testing.T) {
	run := func(gossip *Gossip) Result {
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
	without := run(nil)
	with := run(&Gossip{})
	lossy := run(&Gossip{LossRatio: 0.6})
	again := run(&Gossip{LossRatio: 0.6})
	// The shortest datagram has 18 bytes: a header of 14 bytes and one server of 4 bytes.
	if without.Datagrams != 0 || with.Datagrams == 0 || with.DatagramBytes < 18*with.Datagrams {
		t.Errorf("%d datagrams without gossip, want 0; %d with gossip, want some; %d bytes, want at least 18 each",
			without.Datagrams, with.Datagrams, with.DatagramBytes)
	}
	if lossy.Datagrams != again.Datagrams || lossy.FillKB != again.FillKB || lossy.Events != again.Events {
		t.Error("two runs with the same configuration and seed differ")
	}
}
