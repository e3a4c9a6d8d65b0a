package emulator

import "testing"

// Guards against a fleet that exceeds its limit while the network is split into five partitions, or that does not use
// the limit again after the partition ends. The methods gossip and lease need no majority and are expected to exceed
// the limit, which shows that the trial detects an exceeded limit. The other methods must stay within it. The same seed
// must give the same result.
func TestFleetLimitHoldsDuringPartitions(t *testing.T) {
	base := FleetLimitTrial{
		Routers:                  20,
		Limit:                    40,
		FloorFraction:            0.2,
		Demand:                   1.5,
		DemandSkew:               0.8,
		DemandShiftSeconds:       10,
		LossRatio:                0.1,
		WarmUpSeconds:            15,
		DurationSeconds:          60,
		Partitions:               5,
		PartitionSeconds:         20,
		PartitionDurationSeconds: 15,
	}
	for method, exceeds := range map[string]bool{
		MethodEven: false, MethodGossip: true, MethodLease: true, MethodFleet: false,
	} {
		t.Run(method, func(t *testing.T) {
			trial := base
			trial.Method = method
			r, err := trial.Run(3)
			if err != nil {
				t.Fatal(err)
			}
			again, err := trial.Run(3)
			if err != nil || *again != *r {
				t.Errorf("same seed: %+v, then %+v (%v)", r, again, err)
			}
			if (r.MaxGranted > 1.01) != exceeds {
				t.Errorf("MaxGranted must be above 1.01 for gossip and lease, and at most 1.01 for the others: %+v", r)
			}
			if method == MethodFleet && (r.MaxGranted > 1 || r.RecoverySeconds > 20 || r.PartitionUtilization < 0.1) {
				t.Errorf("limit exceeded, recovery after more than 20 s or partition utilization below 0.1: %+v", r)
			}
		})
	}
	base.LossRatio = 2
	if _, err := base.Run(1); err == nil {
		t.Error("Run accepted a loss ratio of 2")
	}
}
