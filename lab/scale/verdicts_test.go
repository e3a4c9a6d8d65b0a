package scale

import "testing"

// However many routers observe a server failing at one moment, a router receives reports of it no more often, and all
// of them do: all routers are simulated. Before reports were suppressed by random waits, a router of 1,000 received 1.9
// times as many as one of 300.
func TestReportsDoNotGrowWithTheFleet(t *testing.T) {
	small := run(t, "verdicts", Options{Routers: 300, Seed: 5})
	middle := run(t, "verdicts", Options{Routers: 1_000, Seed: 5})
	large := run(t, "verdicts", Options{Routers: 3_000, Seed: 5})
	if small.SimulatedProcesses != 300 || large.SimulatedProcesses != 3_000 {
		t.Fatalf("%d and %d routers simulated", small.SimulatedProcesses, large.SimulatedProcesses)
	}
	// A region of 300 routers is one site or less, which no report of another site can hold back or complete.
	for scenario, smaller := range map[Scenario]*Result{
		ServerFailing:      small,
		PacketLoss:         small,
		MassRestart:        small,
		RegionsPartitioned: middle,
	} {
		ofSmaller, errSmaller := smaller.cost(scenario, "datagrams")
		ofLarge, errLarge := large.cost(scenario, "datagrams")
		if errSmaller != nil || errLarge != nil || ofSmaller <= 0 || ofLarge > 1.5*ofSmaller {
			t.Errorf("%s: a router receives %.0f reports a second of %d, %.0f of 3,000 (%v, %v)",
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
