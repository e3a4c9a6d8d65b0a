package router

import (
	"context"
	"testing"

	"spantack/routing"
)

// Several things have happened to a request when it is looked at again. The upstream holds Serve inside Send or Drop until
// all of them are there. Without a stated order a select takes one of them at random, so each pair is played often enough
// that a random choice does not pass.
const plays = 24

// held is an upstream whose calls run a function of the test inside Send and Drop.
type held struct {
	t     *testing.T
	sends int
	send  func(n int, c *call)
	drop  func()
}

type heldCall struct {
	*call
	up *held
}

func (u *held) Send(a Attempt) PendingAttempt {
	c := &call{Attempt: a, done: make(chan AttemptResult, 1), dropped: make(chan struct{}, 8)}
	u.sends++
	if u.send != nil {
		u.send(u.sends, c)
	}
	return &heldCall{c, u}
}

func (c *heldCall) Cancel(again bool) {
	if c.up.drop != nil {
		c.up.drop()
	}
	c.call.Cancel(again)
}

// playInterleaved plays one request with what happens inside Send and Drop, and returns its answer and how many attempts went out.
func playInterleaved(t *testing.T, setup func(g *rig, u *held)) (Response, int) {
	t.Helper()
	g := newRig(t, "box", "parent", "origin")
	u := &held{t: t}
	g.Router.upstream = u
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.cancel = cancel
	setup(g, u)
	a := g.Serve(ctx, Request{ID: "r1", Class: "page", Object: "front", SizeKB: 100, ClientTimeout: 1500, ArrivedAt: g.clock.Now()})
	if len(g.mailboxes) != 0 {
		t.Errorf("%d mailboxes left", len(g.mailboxes))
	}
	return a, u.sends
}

func TestOrderOfEvents(t *testing.T) {
	good := AttemptResult{Outcome: routing.OutcomeServed, Body: []byte("bytes")}
	for name, c := range map[string]struct {
		setup    func(g *rig, u *held)
		verdict  Outcome
		attempts int
	}{
		"answer and time-out": {func(g *rig, u *held) {
			u.send = func(_ int, c *call) { c.done <- good; g.clock.Advance(1475) }
		}, Served, 1},
		"answer and end of the process": {func(g *rig, u *held) {
			u.send = func(_ int, c *call) { c.done <- good; g.Close() }
		}, Served, 1},
		"answer and overdue": {func(g *rig, u *held) {
			u.send = func(_ int, c *call) { c.done <- good; g.clock.Advance(1475 + overdueAfter) }
		}, Served, 1},
		"answer and client gone": {func(g *rig, u *held) {
			u.send = func(_ int, c *call) { c.done <- good; g.cancel() }
		}, NoResponse, 1},
		"failure and client gone": {func(g *rig, u *held) {
			u.send = func(_ int, c *call) { c.done <- AttemptResult{Outcome: routing.OutcomeConnectionRefused}; g.cancel() }
		}, NoResponse, 1},
		"failure and end of the process": {func(g *rig, u *held) {
			u.send = func(_ int, c *call) { c.done <- AttemptResult{Outcome: routing.OutcomeConnectionRefused}; g.Close() }
		}, Failed, 1},
		"client gone while an attempt is given up": {func(g *rig, u *held) {
			u.send = func(n int, c *call) {
				if n == 1 {
					g.stepLocked(routing.Event{Kind: routing.EventOutcome, RequestID: "none"})
					g.mailboxes["r1"] <- routing.Action{Kind: routing.ActionCancel, RequestID: "r1", Attempt: 0}
				}
			}
			u.drop = func() { g.cancel() }
		}, NoResponse, 1},
		"end of the process while an attempt is given up": {func(g *rig, u *held) {
			u.send = func(n int, c *call) {
				g.mailboxes["r1"] <- routing.Action{Kind: routing.ActionCancel, RequestID: "r1", Attempt: 0}
			}
			done := false
			u.drop = func() {
				if !done {
					done = true
					g.Close()
				}
			}
		}, Failed, 1},
		"client gone and the module's next attempt": {func(g *rig, u *held) {
			u.send = func(int, *call) {}
			g.cancel()
		}, NoResponse, 0},
		"end of the process and the module's first attempt": {func(g *rig, u *held) {
			g.Close()
		}, Failed, 0},
	} {
		for range plays {
			a, n := playInterleaved(t, c.setup)
			if a.Outcome != c.verdict || n != c.attempts {
				t.Errorf("%s: verdict %d after %d attempts, want %d after %d", name, a.Outcome, n, c.verdict, c.attempts)
				break
			}
		}
	}
}

// The module ends a request while an attempt is out: the attempt is given up.
func TestEndedWhileOut(t *testing.T) {
	for _, kind := range []routing.ActionKind{routing.ActionReject, routing.ActionFail} {
		g := newRig(t, "box", "origin")
		g.serve("r1")
		c := g.nextAttempt()
		g.mu.Lock()
		g.mailboxes["r1"] <- routing.Action{Kind: kind, RequestID: "r1"}
		g.mu.Unlock()
		g.nextAnswer()
		select {
		case <-c.dropped:
		default:
			t.Errorf("%v: the attempt was left out", kind)
		}
	}
}

// New settings give a class keys after the front has read a request of it by the old ones: it is not sent on without one.
func TestClassGetsKeysOnceRead(t *testing.T) {
	g := newRig(t, "box", "parent", "origin")
	if err := g.UpdateSettings(routing.Settings{Classes: []routing.Class{{Name: "page", Deadline: 3_000_000, Idempotency: "idempotency_key", DeduplicationScope: "all",
		DeduplicationWindow: 2_000_000}}, Permissions: routing.Permissions{MaxAttempts: 8}}); err != nil {
		t.Fatal(err)
	}
	g.serve("r1")
	select {
	case a := <-g.answer:
		if a.Outcome != Failed || len(g.mailboxes) != 0 {
			t.Errorf("verdict %d, %d mailboxes left", a.Outcome, len(g.mailboxes))
		}
	case c := <-g.up.sent:
		t.Errorf("sent to %s without a key", c.Server)
	}
}
