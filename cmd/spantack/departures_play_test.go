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

// departure is one deployment from which clients leave.
type departure struct {
	*deployment
	place        waitingPlace
	condition    condition
	mayEnd       chan struct{} // closed when attempts may end
	bringUp      []func()      // lets connections come up
	leavers      []*leaver
	stayers      []*caller
	pendingDials int // connections to caches that do not come up
}

// leaver is a client that leaves.
type leaver struct {
	*caller
	ref    string
	way    departureWay
	leftAt time.Time // when its act was done
}

const (
	departedDeadline = 10 * time.Second // far more than a play takes: nothing ends because its time is up
	stayerCount      = 2                // clients that stay
)

func newDeparture(t *testing.T, place waitingPlace, under condition) *departure {
	p := &departure{place: place, condition: under, mayEnd: make(chan struct{})}
	plan := blueprint{caches: place.caches, sockets: place.descriptors, deadline: departedDeadline}
	if plan.caches == 0 {
		plan.caches = 3
	}
	if plan.sockets == 0 {
		plan.sockets = 256
	}
	plan.cache = func(_ int, opt *caches.Options) {
		opt.UsesSmallBuffers = place.pausesCaches
		if place.dialsLate {
			late := newLateListener(t)
			opt.Listener = late
			p.bringUp = append(p.bringUp, func() { late.comeUp(t) })
		}
	}
	if place.holdsAttempts || place.asksOnLeaving {
		plan.script = p.holdAttempt
	}
	if under.isBusy {
		core := newBusyCore(t)
		plan.start = core.start
	}
	p.deployment = deploy(t, plan)
	return p
}

// holdAttempt lets an attempt end only when the test says so: by ERR, by BUSY or by a connection that breaks.
func (p *departure) holdAttempt(g caches.Request) caches.Fault {
	select {
	case <-p.mayEnd:
		return caches.FaultNone
	default:
	}
	<-p.mayEnd
	return []caches.Fault{caches.FaultError, caches.FaultBusy, caches.FaultMalformed}[g.ID[len(g.ID)-1]%3]
}

// play brings all clients to the place, lets them leave, and then, later than the grace, lets what waits there go
// on. It tells whether attempts of clients that stayed began there then.
func (p *departure) play() (began bool) {
	if step := p.setUp(); step != "" {
		p.t.Logf("set up anew: %s", step)
		p.cmd.Process.Kill()
		return false
	}
	p.leave()
	time.Sleep(departedGrace + 20*time.Millisecond)
	if p.place.isInKernel {
		pollUntil(func() bool { return p.cacheConnections(established) <= stayerCount })
	}
	begin := time.Now()
	p.release()
	if p.condition.isFrozen {
		p.signal(syscall.SIGCONT)
	}
	began = p.awaitStayersAttempt(begin)
	p.terminate(p.condition.isEnding)
	p.judge()
	return began
}

// leave lets all clients that leave do so. No program is started beside this meanwhile: until it runs it holds
// copies of this process's connections, and a close, which has no effect before all copies are closed, would come
// late.
func (p *departure) leave() {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, l := range p.leavers {
		l.way.leave(l.caller, request(2, l.ref, departedDeadline, p.place.bodySize))
		l.leftAt = time.Now()
	}
}

// release lets what waits go on, and returns when the router can find out.
func (p *departure) release() {
	close(p.mayEnd)
	for _, cache := range p.caches {
		cache.Resume()
	}
	for _, comeUp := range p.bringUp {
		comeUp()
	}
	if !p.condition.isFrozen {
		return
	}
	time.Sleep(50 * time.Millisecond) // for what the caches say; the verdict does not need it
	if p.place.dialsLate {
		pollUntil(func() bool { // most connections come up while the router is stopped
			all := 0
			for _, cache := range p.caches {
				accepted, _, _ := cache.Connections()
				all += accepted
			}
			return 2*all >= p.pendingDials
		})
	}
}

// awaitStayersAttempt waits for an attempt of a client that has stayed, and tells whether it came: the place is one
// from which attempts begin.
func (p *departure) awaitStayersAttempt(since time.Time) bool {
	return pollUntil(func() bool {
		return slices.ContainsFunc(p.requests.Requests(), func(g caches.Request) bool {
			return g.ID[0] == stayerRef(0)[0] && (g.ArrivedAt.After(since) || p.place.asksOnLeaving)
		})
	})
}

func (p *departure) judge() {
	p.t.Helper()
	clients := map[string]*leaver{}
	for _, l := range p.leavers {
		clients[l.ref] = l
	}
	var late []string
	for _, g := range p.requests.Requests() {
		l := clients[g.ID]
		if l == nil {
			continue
		}
		if after := g.ArrivedAt.Sub(l.leftAt); after > departedGrace {
			late = append(late, fmt.Sprintf("%s (%s) %v after it had left by %q", g.ID, g.Server, after, l.way.name))
		}
	}
	switch {
	case len(late) > maxLate:
		p.t.Errorf("%d attempts for clients that had gone: %s; log: %s", len(late), strings.Join(late, ", "), p.stderr)
	case len(late) > 0:
		p.t.Logf("%d attempts for clients that had gone, %d are let pass: %s", len(late), maxLate, strings.Join(late, ", "))
	}
}
