package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"spantack/internal/testwait"
)

// setUp runs the steps before the clients leave. It returns the step for which the machine was too slow; empty if all
// are done.
func (p *departure) setUp() (slowStep string) {
	switch {
	case !p.connectAll():
		return "connect all clients"
	case !p.sendRequests():
		return "get all requests to the stage under test"
	case p.condition.isShuttingDown && !p.beginShutdown():
		return "begin the shutdown"
	}
	if p.condition.isSuspended {
		p.suspendRouter()
	}
	return ""
}

// beginShutdown sends SIGTERM, and waits until the router reports that it is not ready. It returns false on a timeout.
func (p *departure) beginShutdown() bool {
	p.signal(syscall.SIGTERM)
	return pollUntil(func() bool {
		p.remaining[0].askHealth(1)
		return p.remaining[0].readHealth(1) == "not ready"
	})
}

// pollUntil polls until reached returns true. It returns false after setUpTimeout.
func pollUntil(reached func() bool) bool {
	for begin := time.Now(); time.Since(begin) < setUpTimeout; time.Sleep(2 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// connectAll opens all connections and at once makes a health call on each, because the router closes connections on
// which it receives nothing for long. It returns false unless the router reports on each connection that it is ready.
func (p *departure) connectAll() bool {
	perWay := p.stage.clientsPerWay
	if perWay == 0 {
		perWay = 3
	}
	if p.stage.descriptors == minDescriptors {
		perWay = 2 // the descriptors are too few for more clients
	}
	for _, way := range departureWays {
		for range perWay {
			ref := fmt.Sprintf("%016x", 1+len(p.departing))
			p.departing = append(p.departing, &departingClient{clientConn: p.connect(), ref: ref, way: way})
			p.departing[len(p.departing)-1].askHealth(1)
		}
	}
	for range remainingCount {
		p.remaining = append(p.remaining, p.connect())
		p.remaining[len(p.remaining)-1].askHealth(1)
	}
	for _, client := range p.departing {
		if client.readHealth(1) != "ready" {
			return false
		}
	}
	for _, c := range p.remaining {
		if c.readHealth(1) != "ready" {
			return false
		}
	}
	return true
}

// sendRequests sends the requests, and waits until they are at the stage. It returns false on a timeout.
func (p *departure) sendRequests() bool {
	if p.stage.pausesCaches {
		for _, cache := range p.caches {
			cache.Pause()
		}
	}
	if p.stage.blockingCommands > 0 {
		sender := p.connect()
		for number := range p.stage.blockingCommands {
			sender.Write(request(byte(2+number), fmt.Sprintf("b%015x", number), longDeadline, longCommand))
		}
		if !p.awaitUnread(p.stage.blockingCommands) {
			return false
		}
	}
	sent := map[string]*clientConn{}
	if !p.stage.sendsOnLeaving {
		for _, client := range p.departing {
			if !client.way.sendsRequest {
				sent[client.ref] = client.clientConn
			}
		}
	}
	for number, c := range p.remaining {
		sent[remainingRef(number)] = c
	}
	for ref, c := range sent {
		c.Write(request(2, ref, longDeadline, p.stage.bodySize))
		c.askHealth(1)
	}
	for _, c := range sent {
		if c.readHealth(1) != "ready" { // the router reads the request before it responds
			return false
		}
	}
	switch {
	case p.stage.dialsLate:
		return pollUntil(func() bool {
			p.pendingDials = p.cacheConnections(synSent)
			return 2*p.pendingDials >= len(sent)
		})
	case p.stage.holdsAttempts:
		return pollUntil(func() bool { return p.allArrived(sent) })
	case p.stage.bodySize > 0:
		return p.awaitUnread(len(sent))
	}
	return true
}

// remainingRef returns the reference of a remaining client's request.
func remainingRef(number int) string { return fmt.Sprintf("a%015x", number) }

// allArrived reports whether an attempt of each request has arrived at a cache.
func (p *departure) allArrived(sent map[string]*clientConn) bool {
	arrived := map[string]bool{}
	for _, attempt := range p.requests.Requests() {
		arrived[attempt.ID] = true
	}
	for ref := range sent {
		if !arrived[ref] {
			return false
		}
	}
	return true
}

// awaitUnread waits until at least want connections to caches have unread bytes. It returns false on a timeout.
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

// States of a TCP connection in /proc/net/tcp.
const (
	established = 1
	synSent     = 2 // SYN_SENT
)

// cacheConnections returns the number of connections to the caches in a state.
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

// suspendRouter suspends the router with SIGSTOP, and returns once it is suspended.
func (p *departure) suspendRouter() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	testwait.Until(p.t, "the router to stop on SIGSTOP", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err == nil && strings.Contains(string(text), ") T ")
	})
}
