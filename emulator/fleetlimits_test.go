package emulator

import "testing"

// A tier in fifths with seven in ten dead: core/fleet stays within the limit and is used again after the heal; ways without a majority pass it. The same
// seed gives the same result.
func TestFleetKeepsItsLimit(t *testing.T) {
	day := FleetLimitTrial{Routers: 20, Limit: 40, FloorFraction: 0.2, Demand: 1.5, DemandSkew: 0.8, DemandShiftSeconds: 10, LossRatio: 0.1, WarmUpSeconds: 15, DurationSeconds: 60, Partitions: 5, PartitionSeconds: 20, PartitionDurationSeconds: 15}
	for way, over := range map[string]bool{"even": false, "gossip": true, "keeper": true, "fleet": false} {
		day.Method = way
		r, err := day.Run(3)
		if err != nil {
			t.Fatal(err)
		}
		again, err := day.Run(3)
		if err != nil || *again != *r {
			t.Errorf("%s: %+v, then %+v (%v)", way, r, again, err)
		}
		if (r.MaxGranted > 1.01) != over || way == "fleet" && (r.MaxGranted > 1 || r.RecoverySeconds > 20 || r.PartitionUtilization < 0.1) {
			t.Errorf("%s: %+v", way, r)
		}
	}
	day.LossRatio = 2
	if _, err := day.Run(1); err == nil {
		t.Error("a loss of 2 is taken")
	}
}
