package router

import (
	"strconv"
	"testing"

	"spantack/internal/clock"
	"spantack/routing"
)

// immediateUpstream serves each attempt at once, as a cache hit.
type immediateUpstream struct{}

// servedAttempt is an attempt of immediateUpstream. Its result is in the channel from the start.
type servedAttempt chan AttemptResult

func (immediateUpstream) Send(Attempt) PendingAttempt {
	a := make(servedAttempt, 1)
	a <- AttemptResult{Outcome: routing.OutcomeServed, CacheStatus: 1}
	return a
}

func (a servedAttempt) Done() <-chan AttemptResult { return a }

func (a servedAttempt) Cancel(bool) {}

// BenchmarkServe measures one request from its arrival to its response, including the module's decisions, without a
// network.
func BenchmarkServe(b *testing.B) {
	r := newTestRouter(b, "box", "parent", "origin")
	systemClock := &clock.Clock{}
	r.Router.clock = systemClock
	r.Router.upstream = immediateUpstream{}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		response := r.Serve(b.Context(), Request{
			ID: strconv.Itoa(n), Class: "page", Object: "front", SizeKB: 100, ClientTimeout: 1500, ArrivedAt: systemClock.Now(),
		})
		if response.Outcome != Served {
			b.Fatalf("outcome %d", response.Outcome)
		}
	}
}
