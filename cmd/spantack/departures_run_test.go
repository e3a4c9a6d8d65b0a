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
	startListening []func()      // each lets the connections to a cache be established
	departing      []*departingClient
	remaining      []*clientConn
	pendingDials   int // connections to caches that are being established
}

// departingClient is a client that leaves.
type departingClient struct {
	*clientConn
	ref    string
	way    departureWay
	leftAt time.Time // when its cancel or close was done
}

const (
	longDeadline   = 10 * time.Second // far longer than a run: no request may time out
	remainingCount = 2                // clients that do not leave
)

func newDeparture(t *testing.T, stage requestStage, cond condition) *departure {
	p := &departure{stage: stage, condition: cond, attemptsMayEnd: make(chan struct{})}
	options := deploymentOptions{caches: stage.caches, sockets: stage.descriptors, deadline: longDeadline}
	if options.caches == 0 {
		options.caches = 3
	}
	if options.sockets == 0 {
		options.sockets = 256
	}
	options.cache = func(_ int, opt *caches.Options) {
		opt.UsesSmallBuffers = stage.pausesCaches
		if stage.dialsLate {
			late := newLateListener(t)
			opt.Listener = late
			p.startListening = append(p.startListening, func() { late.startListening(t) })
		}
	}
	if stage.holdsAttempts || stage.sendsOnLeaving {
		options.injectFault = p.holdAttempt
	}
	if cond.isBusy {
		core := newBusyCore(t)
		options.start = core.start
	}
	p.deployment = deploy(t, options)
	return p
}

// holdAttempt lets an attempt end only once attemptsMayEnd is closed. Attempts that began before it was closed end with
// ERR, BUSY or a malformed response.
func (p *departure) holdAttempt(attempt caches.Request) caches.Fault {
	select {
	case <-p.attemptsMayEnd:
		return caches.FaultNone
	default:
	}
	<-p.attemptsMayEnd
	return []caches.Fault{caches.FaultError, caches.FaultBusy, caches.FaultMalformed}[attempt.ID[len(attempt.ID)-1]%3]
}

// run brings all requests to the stage and lets the departing clients leave. After departedGrace it lets the requests
// continue. It reports whether attempts of remaining clients then began at that stage.
func (p *departure) run() (hasAttempts bool) {
	if slowStep := p.setUp(); slowStep != "" {
		p.t.Logf("repeating the run: too slow for the step: %s", slowStep)
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
	if p.condition.isSuspended {
		p.signal(syscall.SIGCONT)
	}
	hasAttempts = p.awaitRemainingAttempt(start)
	p.terminate(p.condition.isShuttingDown)
	p.checkLate()
	return hasAttempts
}

// leave lets the departing clients leave. Meanwhile it holds the fork lock, to keep other tests from starting programs.
// Between fork and exec a child has copies of this process's connections. A close would have no effect until the child
// has closed its copies too.
func (p *departure) leave() {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, client := range p.departing {
		client.way.leave(client.clientConn, request(2, client.ref, longDeadline, p.stage.bodySize))
		client.leftAt = time.Now()
	}
}

// release lets the waiting requests continue. For a suspended router it returns once responses and connections have had
// time to reach the router's sockets.
func (p *departure) release() {
	close(p.attemptsMayEnd)
	for _, cache := range p.caches {
		cache.Resume()
	}
	for _, start := range p.startListening {
		start()
	}
	if !p.condition.isSuspended {
		return
	}
	// Lets the caches' responses arrive. Without them the run tests less, but its result is right.
	time.Sleep(50 * time.Millisecond)
	if p.stage.dialsLate {
		pollUntil(func() bool { // until most connections are established while the router is suspended
			all := 0
			for _, cache := range p.caches {
				accepted, _, _ := cache.Connections()
				all += accepted
			}
			return 2*all >= p.pendingDials
		})
	}
}

// awaitRemainingAttempt waits for an attempt of a remaining client, and reports whether one arrived. Such an attempt
// shows that attempts can begin from this stage.
func (p *departure) awaitRemainingAttempt(since time.Time) bool {
	return pollUntil(func() bool {
		return slices.ContainsFunc(p.requests.Requests(), func(attempt caches.Request) bool {
			return attempt.ID[0] == remainingRef(0)[0] && (attempt.ArrivedAt.After(since) || p.stage.sendsOnLeaving)
		})
	})
}

// checkLate fails the test if too many attempts arrived later than departedGrace after their clients had left.
func (p *departure) checkLate() {
	p.t.Helper()
	clients := map[string]*departingClient{}
	for _, client := range p.departing {
		clients[client.ref] = client
	}
	var late []string
	for _, attempt := range p.requests.Requests() {
		client := clients[attempt.ID]
		if client == nil {
			continue
		}
		if after := attempt.ArrivedAt.Sub(client.leftAt); after > departedGrace {
			late = append(late, fmt.Sprintf("%s (%s) %v after its client left by %q",
				attempt.ID, attempt.Server, after, client.way.name))
		}
	}
	switch {
	case len(late) > maxLate:
		p.t.Errorf("%d attempts of clients that had left: %s; log: %s", len(late), strings.Join(late, ", "), p.stderr)
	case len(late) > 0:
		p.t.Logf("%d attempts of clients that had left, %d are allowed: %s", len(late), maxLate, strings.Join(late, ", "))
	}
}
