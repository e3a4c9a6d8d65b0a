package process

import (
	"testing"
	"time"

	"spantack/core/backoff"
	"spantack/internal/testwait"
	"spantack/standin/link"
)

// Twenty-four real routers lose the list service at one moment, for 3 s, twice; then it takes connections and breaks them off at once. By its own
// request log their tries keep the stated bound all the time, with twice its number for processes that a busy machine runs late; before, all of them tried
// within the same milliseconds, every 250 ms. When it is back, all are there within a period and what a late process needs.
func TestColdStartSparesDiscovery(t *testing.T) {
	const routers = 24
	d, err := Start(contextWithLimit(t, 2*time.Minute, "the deployment to start"), Options{Routers: routers, EdgeCaches: 2, HasDiscoveryRelay: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}()
	back := func() {
		t.Helper()
		testwait.UntilWithin(t, 10*time.Second, "all routers to be back", func() bool {
			_, open, _, _ := d.DiscoveryRelay.Counts()
			return open == routers
		})
	}
	back()
	period := time.Duration(backoff.Schedule{FleetSize: routers}.Period()) * time.Microsecond
	for round := range 3 {
		time.Sleep(1200 * time.Millisecond) // a connection that held is a new start
		before, _, _, _ := d.DiscoveryRelay.Counts()
		if round < 2 {
			d.DiscoveryRelay.SetConditions(link.RelayConditions{Resets: true})
			time.Sleep(3 * time.Second)
		} else { // all break, and each new connection breaks at its first piece
			for range 20 {
				d.DiscoveryRelay.SetConditions(link.RelayConditions{Resets: true})
				d.DiscoveryRelay.SetConditions(link.RelayConditions{})
				time.Sleep(100 * time.Millisecond)
			}
		}
		after, _, _, _ := d.DiscoveryRelay.Counts()
		tries := after[len(before):]
		for _, part := range []time.Duration{4, 1} {
			span := period / part
			if most, bound := d.DiscoveryRelay.MaxDialsWithin(len(before), span), 2*(routers/int(part)+1); most > bound {
				t.Errorf("round %d: %d tries within %v, %d at most", round, most, span, bound)
			}
		}
		if len(tries) < 2*routers {
			t.Errorf("round %d: %d tries of %d routers: they gave up, or nothing was cut", round, len(tries), routers)
		}
		d.DiscoveryRelay.SetConditions(link.RelayConditions{})
		back()
	}
}
