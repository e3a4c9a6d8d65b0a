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
	case !p.fill():
		return "all requests are at the place"
	case p.under.ending && !p.end():
		return "the router says that it ends"
	}
	if p.under.stopped {
		p.stop()
	}
	return ""
}

// end tells the router to end, and returns once it says so.
func (p *departure) end() bool {
	p.signal(syscall.SIGTERM)
	return within(func() bool {
		p.stays[0].askHealth(1)
		return p.stays[0].readHealth(1) == "not ready"
	})
}

// within polls until reached is true, and tells whether it was in time.
func within(reached func() bool) bool {
	for begin := time.Now(); time.Since(begin) < setUpWithin; time.Sleep(2 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// connectAll opens all connections and asks on each at once: the router closes those that say nothing for long.
func (p *departure) connectAll() bool {
	each := p.place.each
	if each == 0 {
		each = 3
	}
	if p.place.sockets == minDescriptors {
		each = 2 // more clients find no place
	}
	for _, way := range departureWays {
		for range each {
			ref := fmt.Sprintf("%016x", 1+len(p.leavers))
			p.leavers = append(p.leavers, &leaver{caller: p.connect(), ref: ref, way: way})
			p.leavers[len(p.leavers)-1].askHealth(1)
		}
	}
	for range staying {
		p.stays = append(p.stays, p.connect())
		p.stays[len(p.stays)-1].askHealth(1)
	}
	for _, l := range p.leavers {
		if l.readHealth(1) != "ready" {
			return false
		}
	}
	for _, c := range p.stays {
		if c.readHealth(1) != "ready" {
			return false
		}
	}
	return true
}

// fill brings the requests to the place where they wait.
func (p *departure) fill() bool {
	if p.place.paused {
		for _, cache := range p.caches {
			cache.Pause()
		}
	}
	if p.place.blockers > 0 {
		blocker := p.connect()
		for number := range p.place.blockers {
			blocker.Write(request(byte(2+number), fmt.Sprintf("b%015x", number), departedDeadline, longCommand))
		}
		if !p.stuck(p.place.blockers) {
			return false
		}
	}
	sent := map[string]*caller{}
	if !p.place.unasked {
		for _, l := range p.leavers {
			if !l.way.asks {
				sent[l.ref] = l.caller
			}
		}
	}
	for number, c := range p.stays {
		sent[stayingRef(number)] = c
	}
	for ref, c := range sent {
		c.Write(request(2, ref, departedDeadline, p.place.body))
		c.askHealth(1)
	}
	for _, c := range sent {
		if c.readHealth(1) != "ready" { // the router has read the request before it answers
			return false
		}
	}
	switch {
	case p.place.lateDial:
		return within(func() bool {
			p.dials = p.connections(dialling)
			return 2*p.dials >= len(sent)
		})
	case p.place.held:
		return within(func() bool { return p.arrived(sent) })
	case p.place.body > 0:
		return p.stuck(len(sent))
	}
	return true
}

func stayingRef(number int) string { return fmt.Sprintf("a%015x", number) }

// arrived tells whether an attempt of each request has come to a cache.
func (p *departure) arrived(sent map[string]*caller) bool {
	came := map[string]bool{}
	for _, g := range p.requests.Gets() {
		came[g.ID] = true
	}
	for ref := range sent {
		if !came[ref] {
			return false
		}
	}
	return true
}

// stuck waits until so many connections hold the beginning of a command.
func (p *departure) stuck(want int) bool {
	return within(func() bool {
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

// connections counts those to the caches that are in a state.
func (p *departure) connections(state int) (count int) {
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

// stop takes the processor from the router.
func (p *departure) stop() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	testwait.Until(p.t, "the router is stopped", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err == nil && strings.Contains(string(text), ") T ")
	})
}
