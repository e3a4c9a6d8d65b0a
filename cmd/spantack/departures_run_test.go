package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	caches "spantack/standin/cache"
)

// departure is one run of TestNoAttemptAfterDeparture: a deployment from which clients leave.
type departure struct {
	*deployment
	stage          requestStage
	condition      condition
	attemptsMayEnd chan struct{} // closed when attempts at the caches may end
	openListeners  []func()      // each lets the connections to a cache be established
	departing      []*departingClient
	remaining      []*caller
	pendingDials   int // connections to caches that are being established
}

// departingClient is a client that leaves.
type departingClient struct {
	*caller
	ref    string
	way    departureWay
	leftAt time.Time // when its cancel or close was done
}

const (
	longDeadline   = 10 * time.Second // far longer than a run, so that no request times out
	remainingCount = 2                // clients that do not leave
)

func newDeparture(t *testing.T, stage requestStage, cond condition) *departure {
	p := &departure{stage: stage, condition: cond, attemptsMayEnd: make(chan struct{})}
	plan := blueprint{caches: stage.caches, sockets: stage.descriptors, deadline: longDeadline}
	if plan.caches == 0 {
		plan.caches = 3
	}
	if plan.sockets == 0 {
		plan.sockets = 256
	}
	plan.cache = func(_ int, opt *caches.Options) {
		opt.UsesSmallBuffers = stage.pausesCaches
		if stage.dialsLate {
			late := newLateListener(t)
			opt.Listener = late
			p.openListeners = append(p.openListeners, func() { late.startListening(t) })
		}
	}
	if stage.holdsAttempts || stage.sendsOnLeaving {
		plan.script = p.holdAttempt
	}
	if cond.isBusy {
		core := newBusyCore(t)
		plan.start = core.start
	}
	p.deployment = deploy(t, plan)
	return p
}

// holdAttempt lets an attempt end only once attemptsMayEnd is closed. Attempts that began before then end with
// ERR, BUSY or a malformed response.
func (p *departure) holdAttempt(g caches.Request) caches.Fault {
	select {
	case <-p.attemptsMayEnd:
		return caches.FaultNone
	default:
	}
	<-p.attemptsMayEnd
	return []caches.Fault{caches.FaultError, caches.FaultBusy, caches.FaultMalformed}[g.ID[len(g.ID)-1]%3]
}

// run brings all requests to the stage and lets the departing clients leave. After departedGrace it lets the requests
// continue. It reports whether attempts of remaining clients then began at that stage.
func (p *departure) run() (hasAttempts bool) {
	if step := p.setUp(); step != "" {
		p.t.Logf("repeating the run: too slow for the step: %s", step)
		p.cmd.Process.Kill()
		return false
	}
	p.leave()
	time.Sleep(departedGrace + 20*time.Millisecond)
	if p.stage.isInKernel {
		pollUntil(func() bool { return p.cacheConnections(established) <= remainingCount })
	}
	start := time.Now()
	p.release()
	if p.condition.isStopped {
		p.signal(syscall.SIGCONT)
	}
	hasAttempts = p.awaitRemainingAttempt(start)
	p.terminate(p.condition.isShuttingDown)
	p.checkLate()
	return hasAttempts
}

// leave lets the departing clients leave. Other tests start no program meanwhile: between fork and exec a program has
// copies of this process's connections, and a close would have no effect until these are closed too.
func (p *departure) leave() {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, l := range p.departing {
		l.way.leave(l.caller, request(2, l.ref, longDeadline, p.stage.bodySize))
		l.leftAt = time.Now()
	}
}

// release lets the waiting requests continue, and returns once a stopped router can notice that.
func (p *departure) release() {
	close(p.attemptsMayEnd)
	for _, cache := range p.caches {
		cache.Resume()
	}
	for _, startListening := range p.openListeners {
		startListening()
	}
	if !p.condition.isStopped {
		return
	}
	time.Sleep(50 * time.Millisecond) // for the caches' responses; the result does not depend on it
	if p.stage.dialsLate {
		pollUntil(func() bool { // until most connections are established while the router is stopped
			all := 0
			for _, cache := range p.caches {
				accepted, _, _ := cache.Connections()
				all += accepted
			}
			return 2*all >= p.pendingDials
		})
	}
}

// awaitRemainingAttempt waits for an attempt of a remaining client, and reports whether one arrived. It shows that
// attempts can begin from this stage.
func (p *departure) awaitRemainingAttempt(since time.Time) bool {
	return pollUntil(func() bool {
		return slices.ContainsFunc(p.requests.Requests(), func(g caches.Request) bool {
			return g.ID[0] == remainingRef(0)[0] && (g.ArrivedAt.After(since) || p.stage.sendsOnLeaving)
		})
	})
}

// checkLate fails the test if too many attempts arrived later than departedGrace after their clients had left.
func (p *departure) checkLate() {
	p.t.Helper()
	clients := map[string]*departingClient{}
	for _, l := range p.departing {
		clients[l.ref] = l
	}
	var late []string
	for _, g := range p.requests.Requests() {
		l := clients[g.ID]
		if l == nil {
			continue
		}
		if after := g.ArrivedAt.Sub(l.leftAt); after > departedGrace {
			late = append(late, fmt.Sprintf("%s (%s) %v after its client left by %q", g.ID, g.Server, after, l.way.name))
		}
	}
	switch {
	case len(late) > maxLate:
		p.t.Errorf("%d attempts of clients that had left: %s; log: %s", len(late), strings.Join(late, ", "), p.stderr)
	case len(late) > 0:
		p.t.Logf("%d attempts of clients that had left, %d are allowed: %s", len(late), maxLate, strings.Join(late, ", "))
	}
}
