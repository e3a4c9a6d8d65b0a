package router

import (
	"context"
	"fmt"
	"testing"

	"spantack/internal/testwait"
	"spantack/routing"
)

// twoCaches is a rig with two caches, and as many objects as a breaker holds outcomes that go to a given one of them.
func twoCaches(t *testing.T, home string) (g *rig, objects []string) {
	t.Helper()
	g = newRig(t, "box", "origin")
	g.Apply(WatchEvent{Servers: []Server{{ID: "box-2", Zone: "east", Kind: "box", Status: "healthy", Weight: 4}}})
	for i := 0; len(objects) < 8; i++ {
		object := fmt.Sprintf("%016x", i)
		a := g.ask(t, fmt.Sprint("probe-", i), object)
		if a.call.Server == home {
			objects = append(objects, object)
		}
		a.call.done <- AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 1}
		testwait.Receive(t, a.answer, "the answer to a probe")
	}
	return g, objects
}

// asked is a request whose first attempt is out.
type asked struct {
	call   *call
	leave  context.CancelFunc
	answer chan Response
}

func (g *rig) ask(t *testing.T, id, object string) *asked {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	a := &asked{leave: leave, answer: make(chan Response, 1)}
	go func() {
		a.answer <- g.Serve(ctx, Request{ID: id, Class: "page", Object: object, SizeKB: 100, ClientTimeout: 1500, ArrivedAt: g.clock.Now()})
	}()
	a.call = testwait.Receive(t, g.up.sent, "the first attempt of "+id)
	return a
}

// Clients leave, and the attempts that were given up for that break off at their cache, more of them than shut it: none is held against
// it, and new requests go where they went before.
func TestBreaksAfterClientsLeftShutNoCache(t *testing.T) {
	for _, home := range []string{"box-1", "box-2"} {
		g, objects := twoCaches(t, home)
		for i, object := range objects {
			a := g.ask(t, fmt.Sprint("left-", i), object)
			a.leave()
			if got := testwait.Receive(t, a.answer, "the end of a request whose client left"); got.Outcome != NoResponse {
				t.Fatalf("%s: verdict %d", object, got.Outcome)
			}
			testwait.Receive(t, a.call.dropped, "the attempt to be given up")
			a.call.done <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
		}
		for i, object := range objects {
			a := g.ask(t, fmt.Sprint("new-", i), object)
			if a.call.Server != home {
				t.Errorf("%s goes to %s, not to %s as before", object, a.call.Server, home)
			}
			a.call.done <- AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 1}
			testwait.Receive(t, a.answer, "an answer")
		}
	}
}

// What breaks off while its client waits is held against its cache, which is shut for a while: requests then go elsewhere at once.
func TestBreaksWhileClientsWaitShutTheirCache(t *testing.T) {
	g, objects := twoCaches(t, "box-1")
	for i, object := range objects {
		a := g.ask(t, fmt.Sprint("r-", i), object)
		if a.call.Server != "box-1" { // shut before all were tried
			break
		}
		a.call.done <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
		next := testwait.Receive(t, g.up.sent, "the next attempt")
		if next.Server != "box-2" {
			t.Fatalf("sent on to %s", next.Server)
		}
		next.done <- AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 1}
		testwait.Receive(t, a.answer, "an answer")
	}
	if a := g.ask(t, "last", objects[0]); a.call.Server != "box-2" {
		t.Errorf("after %d breaks sent to %s", len(objects), a.call.Server)
	}
}
