package emulator

import "testing"

// Guards against loops that are accepted or misreported, valid topologies that are rejected, and fills that visit a
// node twice although the fill request lists the visited nodes (guard "path"). With the guard "plain", which is none,
// many fills visit a node twice. This shows that the trial detects such fills.
func TestTopologyLoopsAreDetected(t *testing.T) {
	trial := TopologyTrial{Topologies: 150, MaxParentGroups: 16, MaxSites: 4, Changes: 5, FillsPerChange: 10}
	r, err := trial.Run(21)
	if err != nil {
		t.Fatal(err)
	}
	if r.WithLoop != 50 || r.LoopsAccepted+r.LoopsMisreported+r.ValidRejected != 0 || r.Valid != 900 {
		t.Errorf("loops accepted or misreported, valid topologies rejected or wrong counts: %+v", r)
	}
	path, peer, none := r.ByGuard["path"], r.ByGuard["asker"], r.ByGuard["plain"]
	if path.Revisits != 0 || none.Revisits < 100 || peer.Revisits >= none.Revisits/4 {
		t.Errorf("revisits: %d by path, %d by peer, %d without a guard", path.Revisits, peer.Revisits, none.Revisits)
	}
	if path.Served+path.Stuck != r.Fills || path.Stuck > r.Fills/20 {
		t.Errorf("guard path: %+v of %d fills", path, r.Fills)
	}
	if _, err := (&TopologyTrial{}).Run(1); err == nil {
		t.Error("Run accepted a trial without topologies")
	}
}
