package fleet

import "spantack/core/lease"

// Times in microseconds. A router that dies is declared dead by nearly all others within 7 s in a fleet of 300,
// each of which is probed once in that time or more.
const (
	probeInterval         = 500_000 // between two probes, with up to a fifth more at random
	probeTimeout          = 150_000 // for the ack of a direct probe, times 1 + health score
	indirectTimeout       = 350_000 // for the ack of an indirect probe, from the direct one, times 1 + health score
	indirectProbeLifetime = 2_000_000
)

const (
	indirectProbeCount = 3  // members that are asked to probe one that does not answer
	maxIndirectProbes  = 64 // probes for others that are out
	maxHealthScore     = 7  // bounds how patient a router grows that misses answers itself

	// deadProbeFraction, times the part of the fleet that is declared dead, is the part of all probes that go to dead
	// members: halves of a fleet must find one another again.
	deadProbeFraction = 0.5
)

// probe is one that is under way.
type probe struct {
	target     int // lease.NoRank: no probe is under way
	token      uint32
	sentAt     int64
	isIndirect bool // others have been asked to probe the target too
}

// noProbe is the state in which no probe is under way.
var noProbe = probe{target: lease.NoRank}

// indirectProbe is one made for another member.
type indirectProbe struct {
	requester      int
	requesterToken uint32
	sentAt         int64
}

func (n *Node) raiseHealthScore() { n.healthScore = min(n.healthScore+1, maxHealthScore) }
func (n *Node) lowerHealthScore() { n.healthScore = max(n.healthScore-1, 0) }

// scaleTimeout is a timeout lengthened by how far this router misses answers itself.
func (n *Node) scaleTimeout(timeout int64) int64 { return timeout * int64(1+n.healthScore) }

func (n *Node) shuffleProbeOrder() {
	n.rng.Shuffle(len(n.probeOrder), func(i, j int) {
		n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i]
	})
	n.probeIndex = 0
}

// checkProbe sees to the probe that is under way, if there is one: it asks others to probe the target too when the
// ack is overdue, and suspects the target when there is none to that either.
func (n *Node) checkProbe(now int64) {
	p := &n.currentProbe
	if p.target == lease.NoRank {
		return
	}
	switch {
	case !p.isIndirect && now >= p.sentAt+n.scaleTimeout(probeTimeout):
		p.isIndirect = true
		n.probeIndirectly(p)
	case now >= p.sentAt+n.scaleTimeout(indirectTimeout):
		n.raiseHealthScore()
		m := &n.members[p.target]
		p.target = lease.NoRank
		n.Counts.Suspected++
		n.applyUpdate(now, update{m.rank, m.incarnation, m.refutations, stateSuspect}, n.options.Rank)
	}
}

// probeIndirectly asks some others to probe a target.
func (n *Node) probeIndirectly(p *probe) {
	for range indirectProbeCount {
		helper := n.probeOrder[n.rng.IntN(len(n.probeOrder))]
		if helper != p.target && n.IsUp(helper) {
			n.sendProbeMessage(helper, indirectPingMessage, p.target, p.token)
		}
	}
}

// startProbe sends the next probe when that is due and none is under way.
func (n *Node) startProbe(now int64) {
	if n.currentProbe.target != lease.NoRank || now < n.nextProbeAt || len(n.probeOrder) == 0 {
		return
	}
	n.nextProbeAt = now + probeInterval + int64(n.rng.Float64()*probeInterval/5)
	deadFraction := 1 - float64(n.LiveCount())/float64(n.options.FleetSize)
	wantsDead := n.rng.Float64() < deadProbeFraction*deadFraction
	target := n.nextProbeTarget(wantsDead)
	if target == lease.NoRank {
		return
	}
	n.token++
	if !wantsDead { // a dead member owes no ack; if it is there after all, its ack shows that
		n.currentProbe = probe{target: target, token: n.token, sentAt: now}
	}
	n.sendProbeMessage(target, pingMessage, target, n.token)
}

// nextProbeTarget is the next member in the order of probes that is up or, if wantsDead, declared dead;
// lease.NoRank if there is none.
func (n *Node) nextProbeTarget(wantsDead bool) int {
	for range n.probeOrder {
		if n.probeIndex >= len(n.probeOrder) {
			n.shuffleProbeOrder()
		}
		rank := n.probeOrder[n.probeIndex]
		n.probeIndex++
		if n.IsUp(rank) != wantsDead {
			return rank
		}
	}
	return lease.NoRank
}

// sendProbeMessage sends a ping, an ack or an indirect ping, with the holder of one limit as this router knows it;
// the limits take turns.
func (n *Node) sendProbeMessage(to int, kind messageKind, target int, token uint32) {
	m := message{kind: kind, target: target, token: token, holder: lease.NoRank}
	if len(n.limits) > 0 {
		m.limit = int(n.sequence) % len(n.limits)
		m.holder = n.limits[m.limit].currentHolder(n.lastCalledAt)
	}
	n.send(to, &m)
}

// handlePing answers a probe of this router.
func (n *Node) handlePing(m *message) {
	n.sendProbeMessage(m.rank, ackMessage, n.options.Rank, m.token)
}

// handleIndirectPing probes a target for another member.
func (n *Node) handleIndirectPing(now int64, m *message) {
	if m.target >= n.options.FleetSize || m.target == n.options.Rank || len(n.indirectProbes) >= maxIndirectProbes {
		return
	}
	n.token++
	n.indirectProbes[n.token] = indirectProbe{requester: m.rank, requesterToken: m.token, sentAt: now}
	n.sendProbeMessage(m.target, pingMessage, m.target, n.token)
}

// handleAck ends a probe, this router's or one that it made for another member.
func (n *Node) handleAck(now int64, m *message) {
	if p := &n.currentProbe; p.target == m.target && p.token == m.token {
		p.target = lease.NoRank
		n.lowerHealthScore()
		n.prolongSuspicion(now, &n.members[m.target])
		return
	}
	if p, isKnown := n.indirectProbes[m.token]; isKnown {
		delete(n.indirectProbes, m.token)
		n.sendProbeMessage(p.requester, ackMessage, m.target, p.requesterToken)
	}
}

func (n *Node) expireIndirectProbes(now int64) {
	for token, p := range n.indirectProbes {
		if now-p.sentAt > indirectProbeLifetime {
			delete(n.indirectProbes, token)
		}
	}
}

// handlePause makes up for a time in which this process did not run: it was away, not the others.
func (n *Node) handlePause(pause int64) {
	n.currentProbe.target = lease.NoRank
	n.raiseHealthScore()
	for rank := range n.members {
		n.members[rank].suspicionEndsAt += pause
	}
}
