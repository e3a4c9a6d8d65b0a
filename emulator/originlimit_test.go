package emulator

import "testing"

// limitTrial returns a trial with a brownout of 20 s.
func limitTrial(algorithm string) OriginLimitTrial {
	return OriginLimitTrial{
		Routers:                 32,
		FillsPerSecond:          250,
		OriginPerSecond:         320,
		Knee:                    64,
		SlowdownFactor:          0.5,
		ClientTimeoutSeconds:    1.5,
		MaxAttempts:             3,
		ReportFraction:          0.05,
		WarmUpSeconds:           8,
		DurationSeconds:         60,
		Algorithm:               algorithm,
		Reserve:                 0.1,
		Burst:                   3,
		BrownoutCapacity:        0.3,
		BrownoutStartSeconds:    18,
		BrownoutDurationSeconds: 20,
	}
}

// Guards against an origin that stays overloaded after it lost 70% of its capacity for 20 s. Without a limit, retries
// of clients prevent its recovery. With each control algorithm it recovers within three seconds. The fills in flight
// are at most 3.1 times the knee, with a Burst of 3. Before the brownout, the fixed limit, which ignores response
// times, must not serve more than the gradient.
func TestOriginLimitRecoversFromBrownout(t *testing.T) {
	results := map[string]*OriginLimitResult{}
	for _, algorithm := range []string{"none", "fixed", "aimd", "gradient", "delay"} {
		t.Run(algorithm, func(t *testing.T) {
			trial := limitTrial(algorithm)
			r, err := trial.Run(5)
			if err != nil {
				t.Fatal(err)
			}
			results[algorithm] = r
			if algorithm == "none" {
				if r.ServedAtEnd > 0.1 || r.ServedDuring > 0.1 || r.Sent < 2*r.Operations {
					t.Errorf("without a limit the origin should stay overloaded: %+v", r)
				}
				return
			}
			if r.MaxInFlight > 3.1 || r.RecoverySeconds > 3 || r.SettleSeconds > 6 || r.ServedDuring < 0.25 {
				t.Errorf("too many fills in flight, too slow a recovery or too few served in the brownout: %+v", r)
			}
		})
	}
	gradient, fixed := results["gradient"], results["fixed"]
	if gradient == nil || fixed == nil {
		t.Fatal("no results to compare")
	}
	if gradient.ServedBefore < 0.98 || fixed.ServedBefore > gradient.ServedBefore {
		t.Errorf("served before the brownout: %v with gradient, %v with fixed",
			gradient.ServedBefore, fixed.ServedBefore)
	}
	if gradient.Sent > gradient.Operations {
		t.Errorf("%d fills sent for %d operations, want at most one for each", gradient.Sent, gradient.Operations)
	}
}

// Guards against limits that do not grow when other routers fail. Half of the routers fail while the origin works
// normally. The other routers must take over the share of the failed ones. Also checks that the same seed gives the
// same result and that invalid settings are rejected.
func TestOriginLimitGrowsAfterRouterFailures(t *testing.T) {
	trial := limitTrial("gradient")
	trial.BrownoutDurationSeconds = 0
	trial.FailedFraction = 0.5
	trial.FailureSeconds = 20
	r, err := trial.Run(5)
	if err != nil || r.ServedAtEnd < 0.97 {
		t.Errorf("served ratio at the end below 0.97: %+v (error: %v)", r, err)
	}
	again, err := trial.Run(5)
	if err != nil || *again != *r {
		t.Errorf("same seed: %+v, then %+v", r, again)
	}
	for name, invalidate := range map[string]func(*OriginLimitTrial){
		"no routers":        func(t *OriginLimitTrial) { t.Routers = 0 },
		"unknown algorithm": func(t *OriginLimitTrial) { t.Algorithm = "pid" },
		"no burst":          func(t *OriginLimitTrial) { t.Burst = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			invalid := trial
			invalidate(&invalid)
			if _, err := invalid.Run(1); err == nil {
				t.Errorf("Run accepted %+v", invalid)
			}
		})
	}
}
