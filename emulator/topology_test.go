package emulator

import "testing"

// Each planted circle is refused and named, no valid shape is, and a fill that carries its path visits no node twice; without a guard many do.
func TestTopologyTrial(t *testing.T) {
	trial := TopologyTrial{Topologies: 150, MaxParentGroups: 16, MaxSites: 4, Changes: 5, FillsPerChange: 10}
	res, err := trial.Run(21)
	if err != nil {
		t.Fatal(err)
	}
	if res.WithLoop != 50 || res.LoopsAccepted+res.LoopsMisreported+res.ValidRejected != 0 || res.Valid != 900 {
		t.Errorf("%+v", res)
	}
	path, asker, plain := res.ByGuard["path"], res.ByGuard["asker"], res.ByGuard["plain"]
	if path.Revisits != 0 || plain.Revisits < 100 || asker.Revisits >= plain.Revisits/4 {
		t.Errorf("visited twice: %d with a path, %d by who asks, %d with nothing", path.Revisits, asker.Revisits, plain.Revisits)
	}
	if path.Served+path.Stuck != res.Fills || path.Stuck > res.Fills/20 {
		t.Errorf("%+v of %d", path, res.Fills)
	}
	if _, err := (&TopologyTrial{}).Run(1); err == nil {
		t.Error("no shapes at all")
	}
}
