package process

import (
	"testing"
	"time"

	"spantack/core/backoff"
	"spantack/internal/testwait"
	"spantack/standin/link"
)

// dialCount is how often the relay before the discovery service was dialled so far.
func dialCount(d *Deployment) int {
	dials, _, _, _ := d.DiscoveryRelay.Counts()
	return len(dials)
}

// cutDiscovery has the discovery service refuse connections for 3 s, and leaves it so.
func cutDiscovery(d *Deployment) {
	d.DiscoveryRelay.SetConditions(link.RelayConditions{Resets: true})
	time.Sleep(3 * time.Second)
}

// resetConnections has all connections to the discovery service break, and each new one at its first piece, for 2 s.
func resetConnections(d *Deployment) {
	for range 20 {
		d.DiscoveryRelay.SetConditions(link.RelayConditions{Resets: true})
		d.DiscoveryRelay.SetConditions(link.RelayConditions{})
		time.Sleep(100 * time.Millisecond)
	}
}

// Twenty-four real routers lose the discovery service at one moment, for 3 s, twice; then it takes connections and
// breaks them off at once. By the relay's log their dials keep the stated bound all the time, with twice its number for
// processes that a busy machine runs late; before, all of them dialled within the same milliseconds, every 250 ms. When
// it is back, all are there within a period and what a late process needs.
func TestColdStartSparesDiscovery(t *testing.T) {
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
	waitUntilAllBack := func() {
		t.Helper()
		testwait.UntilWithin(t, 10*time.Second, "all routers to be back", func() bool {
			_, open, _, _ := d.DiscoveryRelay.Counts()
			return open == routers
		})
	}
	waitUntilAllBack()
	for round, breakDiscovery := range []func(*Deployment){cutDiscovery, cutDiscovery, resetConnections} {
		time.Sleep(1200 * time.Millisecond) // a connection that held is a new start
		before := dialCount(d)
		breakDiscovery(d)
		dials := dialCount(d) - before
		checkDialBound(t, d, round, before)
		if dials < 2*routers {
			t.Errorf("round %d: %d tries of %d routers: they gave up, or nothing was cut", round, dials, routers)
		}
		d.DiscoveryRelay.SetConditions(link.RelayConditions{})
		waitUntilAllBack()
	}
}

// checkDialBound holds the dials after the first so many against the bound that core/backoff states.
func checkDialBound(t *testing.T, d *Deployment, round, after int) {
	t.Helper()
	routers := len(d.Routers)
	period := time.Duration(backoff.Schedule{FleetSize: routers}.Period()) * time.Microsecond
	for _, part := range []int{4, 1} {
		window := period / time.Duration(part)
		bound := 2 * (routers/part + 1)
		if dials := d.DiscoveryRelay.MaxDialsWithin(after, window); dials > bound {
			t.Errorf("round %d: %d tries within %v, %d at most", round, dials, window, bound)
		}
	}
}
