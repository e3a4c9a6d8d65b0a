package router

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/testwait"
	"spantack/routing"
)

// upstream hands attempts to the test, which plays the servers.
type upstream struct{ sent chan *call }

type call struct {
	Attempt
	done    chan AttemptResult
	dropped chan struct{}
}

func (u *upstream) Send(a Attempt) PendingAttempt {
	c := &call{Attempt: a, done: make(chan AttemptResult, 1), dropped: make(chan struct{}, 1)}
	u.sent <- c
	return c
}

func (c *call) Done() <-chan AttemptResult { return c.done }
func (c *call) Cancel(bool)                { c.dropped <- struct{}{} }

// rig is a router with one cache, one parent and the origin, and a clock that the test moves.
type rig struct {
	*Router
	t      *testing.T
	clock  *clock.Clock
	up     *upstream
	cancel context.CancelFunc
	answer chan Response
}

func newRig(t *testing.T, kinds ...string) *rig {
	t.Helper()
	set := routing.Settings{
		Classes: []routing.Class{{Name: "page", Deadline: 3_000_000, LatencyObjective: 400_000, ObjectiveSizeFactor: 2, PriorityWeight: 1,
			Idempotency: "read_like", DeduplicationScope: "all"}},
		Hierarchy: routing.CacheHierarchy{OriginKind: 2, ParentKind: 1, FreshnessLifetime: []int64{20_000_000}, StaleGracePeriod: []int64{10_000_000},
			CacheStatusReporting: "all", ResponseKBPerSecond: 2000, PurgePropagationTime: 6_000_000, AllowsDirectFetch: true},
		Kinds:       []string{"box", "parent", "origin"},
		Permissions: routing.Permissions{MayCancel: true, MaxAttempts: 8, MaxRetryAfter: 1_000_000},
		Zone:        "east",
		Zones:       []string{"east", "hub"},
	}
	g := &rig{t: t, clock: clock.NewFake(1_764_576_000_000), up: &upstream{make(chan *call, 1)}, answer: make(chan Response, 1)}
	var err error
	if g.Router, err = New(set, 1, g.clock, g.up, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	n := WatchEvent{IsSnapshot: true}
	for _, kind := range kinds {
		n.Servers = append(n.Servers, Server{ID: kind + "-1", Zone: "east", Kind: kind, Status: "healthy", Weight: 4})
	}
	g.Apply(n)
	return g
}

func (g *rig) serve(id string) {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go func() {
		g.answer <- g.Serve(ctx, Request{ID: id, Class: "page", Object: "front", SizeKB: 100, ClientTimeout: 1500, ArrivedAt: g.clock.Now()})
	}()
}

// nextAttempt returns the next attempt that the router sends.
func (g *rig) nextAttempt() *call {
	g.t.Helper()
	return testwait.Receive(g.t, g.up.sent, "an attempt")
}

// nextAnswer returns the next final answer.
func (g *rig) nextAnswer() Response {
	g.t.Helper()
	return testwait.Receive(g.t, g.answer, "a final answer")
}

// awaitDrop returns once the router has given an attempt up.
func (g *rig) awaitDrop(c *call) {
	g.t.Helper()
	testwait.Receive(g.t, c.dropped, "an attempt to be given up")
}

func TestServed(t *testing.T) {
	g := newRig(t, "box", "parent", "origin")
	g.serve("r1")
	c := g.nextAttempt()
	if c.Server != "box-1" || c.Source != "parent-1" || c.RetentionRank != 1 || c.MaxAge > 20_000 || c.MaxAge < 16_000 || c.Timeout != 1475 {
		t.Errorf("first attempt %+v", c.Attempt)
	}
	c.done <- AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 2, Body: []byte("bytes")}
	if a := g.nextAnswer(); a.Outcome != Served || string(a.Body) != "bytes" {
		t.Errorf("answer %+v", a)
	}
}

// After a failed fill the same cache is asked for any held copy within the grace, with no fill; a miss there with no
// source left ends in a refusal that says when to come back.
func TestGraceThenRefusal(t *testing.T) {
	g := newRig(t, "box", "parent", "origin")
	g.serve("r1")
	c := g.nextAttempt()
	c.done <- AttemptResult{Outcome: routing.OutcomeError, CacheStatus: 7, SourceWait: 300}
	held := g.nextAttempt()
	if held.Server != "box-1" || held.Source != "" || held.MaxAge != 30_000 {
		t.Errorf("held attempt %+v", held.Attempt)
	}
	held.done <- AttemptResult{Outcome: routing.OutcomeMiss}
	origin := g.nextAttempt()
	origin.done <- AttemptResult{Outcome: routing.OutcomeRejected, CacheStatus: 6}
	g.nextAttempt().done <- AttemptResult{Outcome: routing.OutcomeMiss}
	if a := g.nextAnswer(); a.Outcome != Rejected || a.RetryAfter <= 0 || a.RetryAfter > 1000 {
		t.Errorf("answer %+v", a)
	}
	if n := g.Counters.Attempts.Load(); n != 4 {
		t.Errorf("%d attempts", n)
	}
}

// An attempt that ends in nothing is given up before the client's time is over, and the request still gets its answer.
func TestDeadline(t *testing.T) {
	g := newRig(t, "box", "origin")
	g.serve("r1")
	c := g.nextAttempt()
	g.clock.Advance(1475)
	g.awaitDrop(c)
	if a := g.nextAnswer(); a.Outcome != Rejected {
		t.Errorf("answer %+v", a)
	}
	if len(g.mailboxes) != 0 {
		t.Errorf("%d mailboxes left", len(g.mailboxes))
	}
}

// A client that left is owed no answer, and what was out for it is given up.
func TestClientGone(t *testing.T) {
	g := newRig(t, "box", "origin")
	g.serve("r1")
	c := g.nextAttempt()
	g.cancel()
	g.awaitDrop(c)
	if a := g.nextAnswer(); a.Outcome != NoResponse || g.Counters.Departed.Load() != 1 {
		t.Errorf("answer %+v", a)
	}
}

// A fault in the module costs neither the process nor the one answer.
func TestModuleFails(t *testing.T) {
	g := newRig(t, "box", "origin")
	g.admission = nil // panics at any event
	done := make(chan struct{})
	go func() {
		defer close(done)
		for g.Counters.Faults.Load() == 0 {
			g.clock.Advance(0)
		}
		g.clock.Advance(2000)
	}()
	g.serve("r1")
	if a := g.nextAnswer(); a.Outcome != Failed || g.Counters.Overdue.Load() != 1 {
		t.Errorf("answer %+v", a)
	}
	testwait.Receive(t, done, "the clock's goroutine to end")
}

// Two open requests of one id would get each other's answers.
func TestSameID(t *testing.T) {
	g := newRig(t, "box", "origin")
	g.serve("r1")
	c := g.nextAttempt()
	if a := g.Serve(context.Background(), Request{ID: "r1", Class: "page", ClientTimeout: 1000, ArrivedAt: g.clock.Now()}); a.Outcome != Failed {
		t.Errorf("the second got %+v", a)
	}
	c.done <- AttemptResult{Outcome: routing.OutcomeServed, NotModified: true}
	if a := g.nextAnswer(); a.Outcome != Served || !a.NotModified {
		t.Errorf("the first got %+v", a)
	}
}

// A drain binds the very next request, and without any server left there is still an answer.
func TestDrain(t *testing.T) {
	g := newRig(t, "box", "origin")
	g.Apply(WatchEvent{Servers: []Server{{ID: "box-1", Zone: "east", Kind: "box", Status: "cordoned"}}})
	g.serve("r1")
	if c := g.nextAttempt(); c.Server != "origin-1" {
		t.Errorf("sent to %s", c.Server)
	} else {
		g.Apply(WatchEvent{IsSnapshot: true})
		c.done <- AttemptResult{Outcome: routing.OutcomeConnectionReset}
	}
	if a := g.nextAnswer(); a.Outcome != Rejected {
		t.Errorf("answer %+v", a)
	}
}

// Shortly before SIGKILL what is open is answered and given up at its server: left open, it would be lost.
func TestFinish(t *testing.T) {
	g := newRig(t, "box", "origin")
	g.serve("r1")
	c := g.nextAttempt()
	g.Close()
	g.awaitDrop(c)
	if a := g.nextAnswer(); a.Outcome != Failed {
		t.Errorf("answer %+v", a)
	}
	if len(g.mailboxes) != 0 {
		t.Errorf("%d mailboxes left", len(g.mailboxes))
	}
}

// Of a short time little is kept back: with 25 ms of 60 kept, clients in a hurry were refused what a hit would have
// brought in time.
func TestMarginOfShortTime(t *testing.T) {
	g := newRig(t, "box", "origin")
	for allow, want := range map[float64]float64{1500: 1475, 60: 54, 20: 15} {
		go g.Serve(context.Background(), Request{ID: "r", Class: "page", Object: "front", SizeKB: 100, ClientTimeout: allow, ArrivedAt: g.clock.Now()})
		c := g.nextAttempt()
		if c.Timeout != want {
			t.Errorf("of %v ms the attempt got %v, want %v", allow, c.Timeout, want)
		}
		c.done <- AttemptResult{Outcome: routing.OutcomeServed}
		for open := 1; open > 0; { // the next one has the same id
			g.mu.Lock()
			open = len(g.mailboxes)
			g.mu.Unlock()
		}
	}
}
