package scale

import "testing"

// Guards against health reports whose rate grows with the number of routers that observe a server failing at the same
// moment. Random waits suppress redundant reports. Without these waits the rate grows with the fleet: a router in a
// fleet of 1,000 receives 1.9 times as many reports as one in a fleet of 300. All routers are simulated, and all of
// them must eject the server.
func TestReportRateIndependentOfFleetSize(t *testing.T) {
	small := run(t, "verdicts", Options{Routers: 300, Seed: 5})
	middle := run(t, "verdicts", Options{Routers: 1_000, Seed: 5})
	large := run(t, "verdicts", Options{Routers: 3_000, Seed: 5})
	if small.SimulatedProcesses != 300 || large.SimulatedProcesses != 3_000 {
		t.Fatalf("%d and %d routers simulated, want 300 and 3,000", small.SimulatedProcesses, large.SimulatedProcesses)
	}
	// In a fleet of 300 a region has at most one site, so no report from another site can suppress or confirm a report.
	// Therefore RegionsPartitioned is compared with a fleet of 1,000.
	for scenario, smaller := range map[Scenario]*Result{
		ServerFailing:      small,
		PacketLoss:         small,
		MassRestart:        small,
		RegionsPartitioned: middle,
	} {
		ofSmaller, errSmaller := smaller.figure(scenario, "datagrams")
		ofLarge, errLarge := large.figure(scenario, "datagrams")
		if errSmaller != nil || errLarge != nil || ofSmaller <= 0 || ofLarge > 1.5*ofSmaller {
			t.Errorf("%s: %.0f reports per router and second with %d routers, %.0f with 3,000, want at most 1.5 times (%v, %v)",
				scenario, ofSmaller, smaller.Routers, ofLarge, errSmaller, errLarge)
		}
	}
	for _, result := range []*Result{small, middle, large} {
		expectMetrics(t, result, map[string]float64{"knowing": 1, "knowing_at_loss": 1})
	}
	if !large.WithinBudget() {
		t.Error("over the budget of a router: " + large.Line())
	}
}
