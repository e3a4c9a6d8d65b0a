package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"spantack/internal/testwait"
)

// setUp brings everything to the moment in which clients leave, and names the step that the machine was too slow
// for; empty: none.
func (p *departure) setUp() (failed string) {
	switch {
	case !p.connectAll():
		return "all clients are connected"
	case !p.sendRequests():
		return "all requests are at the place"
	case p.condition.isEnding && !p.beginEnding():
		return "the router says that it ends"
	}
	if p.condition.isFrozen {
		p.freeze()
	}
	return ""
}

// beginEnding tells the router to end, and returns once it says so.
func (p *departure) beginEnding() bool {
	p.signal(syscall.SIGTERM)
	return pollUntil(func() bool {
		p.stayers[0].askHealth(1)
		return p.stayers[0].readHealth(1) == "not ready"
	})
}

// pollUntil polls until reached is true, and tells whether it was in time.
func pollUntil(reached func() bool) bool {
	for begin := time.Now(); time.Since(begin) < setUpWithin; time.Sleep(2 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// connectAll opens all connections and asks on each at once: the router closes those that say nothing for long.
func (p *departure) connectAll() bool {
	each := p.place.clientsPerWay
	if each == 0 {
		each = 3
	}
	if p.place.descriptors == minDescriptors {
		each = 2 // more clients find no place
	}
	for _, way := range departureWays {
		for range each {
			ref := fmt.Sprintf("%016x", 1+len(p.leavers))
			p.leavers = append(p.leavers, &leaver{caller: p.connect(), ref: ref, way: way})
			p.leavers[len(p.leavers)-1].askHealth(1)
		}
	}
	for range stayerCount {
		p.stayers = append(p.stayers, p.connect())
		p.stayers[len(p.stayers)-1].askHealth(1)
	}
	for _, l := range p.leavers {
		if l.readHealth(1) != "ready" {
			return false
		}
	}
	for _, c := range p.stayers {
		if c.readHealth(1) != "ready" {
			return false
		}
	}
	return true
}

// sendRequests brings the requests to the place where they wait.
func (p *departure) sendRequests() bool {
	if p.place.pausesCaches {
		for _, cache := range p.caches {
			cache.Pause()
		}
	}
	if p.place.blockers > 0 {
		blocker := p.connect()
		for number := range p.place.blockers {
			blocker.Write(request(byte(2+number), fmt.Sprintf("b%015x", number), departedDeadline, longCommand))
		}
		if !p.awaitUnread(p.place.blockers) {
			return false
		}
	}
	sent := map[string]*caller{}
	if !p.place.asksOnLeaving {
		for _, l := range p.leavers {
			if !l.way.asksAtOnce {
				sent[l.ref] = l.caller
			}
		}
	}
	for number, c := range p.stayers {
		sent[stayerRef(number)] = c
	}
	for ref, c := range sent {
		c.Write(request(2, ref, departedDeadline, p.place.bodySize))
		c.askHealth(1)
	}
	for _, c := range sent {
		if c.readHealth(1) != "ready" { // the router has read the request before it answers
			return false
		}
	}
	switch {
	case p.place.dialsLate:
		return pollUntil(func() bool {
			p.pendingDials = p.cacheConnections(dialling)
			return 2*p.pendingDials >= len(sent)
		})
	case p.place.holdsAttempts:
		return pollUntil(func() bool { return p.allArrived(sent) })
	case p.place.bodySize > 0:
		return p.awaitUnread(len(sent))
	}
	return true
}

func stayerRef(number int) string { return fmt.Sprintf("a%015x", number) }

// allArrived tells whether an attempt of each request has come to a cache.
func (p *departure) allArrived(sent map[string]*caller) bool {
	came := map[string]bool{}
	for _, g := range p.requests.Requests() {
		came[g.ID] = true
	}
	for ref := range sent {
		if !came[ref] {
			return false
		}
	}
	return true
}

// awaitUnread waits until so many connections hold the beginning of a command.
func (p *departure) awaitUnread(want int) bool {
	return pollUntil(func() bool {
		all := 0
		for _, cache := range p.caches {
			_, _, unread := cache.Connections()
			all += unread
		}
		return all >= want
	})
}

// States of a connection, as the system's table numbers them.
const (
	established = 1
	dialling    = 2 // its first packet is out, and nothing was heard
)

// cacheConnections counts those to the caches that are in a state.
func (p *departure) cacheConnections(state int) (count int) {
	p.t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		p.t.Fatal(err)
	}
	for _, cache := range p.caches {
		count += strings.Count(string(table), fmt.Sprintf(" 0100007F:%04X %02X ", cache.Addr().Port(), state))
	}
	return count
}

// freeze takes the processor from the router.
func (p *departure) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	testwait.Until(p.t, "the router is stopped", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err == nil && strings.Contains(string(text), ") T ")
	})
}
