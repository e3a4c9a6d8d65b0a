package process

import (
	"testing"
	"time"

	"spantack/core/backoff"
	"spantack/internal/testwait"
	"spantack/standin/link"
)

// dialCount returns the number of dials of the relay in front of the discovery service so far.
func dialCount(d *Deployment) int {
	dials, _, _, _ := d.DiscoveryRelay.Counts()
	return len(dials)
}

// cutDiscovery resets all connections to the discovery service, and returns after 3 s. Connections are still reset when
// it returns.
func cutDiscovery(d *Deployment) {
	d.DiscoveryRelay.SetConditions(link.RelayConditions{Resets: true})
	time.Sleep(3 * time.Second)
}

// resetConnections resets all connections to the discovery service every 100 ms for 2 s.
func resetConnections(d *Deployment) {
	for range 20 {
		d.DiscoveryRelay.SetConditions(link.RelayConditions{Resets: true})
		d.DiscoveryRelay.SetConditions(link.RelayConditions{})
		time.Sleep(100 * time.Millisecond)
	}
}

// Dials of the discovery service, by the relay's log, stay within the bound of core/backoff, doubled for processes that
// a busy machine schedules late. 24 routers lose the service at the same moment: twice for 3 s, and then by resets
// every 100 ms. The test fails if routers retry at the same times instead of in their slots: without slots, all dial
// within the same milliseconds every 250 ms. When the service is back, all routers reconnect within one period plus the
// delay of a late process.
func TestDiscoveryDialRateIsBounded(t *testing.T) {
	const routers = 24
	d, err := Start(contextWithLimit(t, 2*time.Minute, "the deployment to start"),
		Options{Routers: routers, EdgeCaches: 2, HasDiscoveryRelay: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	})
	waitUntilAllConnected := func() {
		t.Helper()
		testwait.UntilWithin(t, 10*time.Second, "all routers to reconnect", func() bool {
			_, open, _, _ := d.DiscoveryRelay.Counts()
			return open == routers
		})
	}
	waitUntilAllConnected()
	for round, breakDiscovery := range []func(*Deployment){cutDiscovery, cutDiscovery, resetConnections} {
		time.Sleep(1200 * time.Millisecond) // long enough that the next loss counts as a new outage
		before := dialCount(d)
		breakDiscovery(d)
		dials := dialCount(d) - before
		checkDialBound(t, d, round, before)
		if dials < 2*routers {
			t.Errorf("round %d: %d dials by %d routers: they gave up, or no connection was cut", round, dials, routers)
		}
		d.DiscoveryRelay.SetConditions(link.RelayConditions{})
		waitUntilAllConnected()
	}
}

// checkDialBound checks that the dials from index firstDial on stay within twice the bound of core/backoff.
func checkDialBound(t *testing.T, d *Deployment, round, firstDial int) {
	t.Helper()
	routers := len(d.Routers)
	period := time.Duration(backoff.Schedule{FleetSize: routers}.Period()) * time.Microsecond
	for _, part := range []int{4, 1} {
		window := period / time.Duration(part)
		bound := 2 * (routers/part + 1)
		if dials := d.DiscoveryRelay.MaxDialsWithin(firstDial, window); dials > bound {
			t.Errorf("round %d: %d dials within %v, bound %d", round, dials, window, bound)
		}
	}
}
