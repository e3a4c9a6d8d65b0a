package emulator

import "testing"

// A fleet in five partitions: core/fleet stays within the limit and uses it again after the heal; methods without a
// majority exceed it. The same seed gives the same result.
func TestFleetKeepsItsLimit(t *testing.T) {
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
				t.Errorf("%+v, then %+v (%v)", r, again, err)
			}
			if (r.MaxGranted > 1.01) != exceeds {
				t.Errorf("%+v", r)
			}
			if method == MethodFleet && (r.MaxGranted > 1 || r.RecoverySeconds > 20 || r.PartitionUtilization < 0.1) {
				t.Errorf("%+v", r)
			}
		})
	}
	base.LossRatio = 2
	if _, err := base.Run(1); err == nil {
		t.Error("a loss of 2 is valid")
	}
}
