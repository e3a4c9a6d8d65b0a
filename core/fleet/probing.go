package fleet

import "spantack/core/lease"

// Times in microseconds. With these values, when a router of a fleet of 300 dies, nearly all other routers declare it
// dead within 7 s. In that time each router is probed by at least one other router.
const (
	probeInterval = 500_000 // time between two probes, plus a random jitter of up to 20%

	// probeTimeout, multiplied by 1 + health score, is the time from a direct probe until indirect probes of its target
	// are requested if no ack has arrived.
	probeTimeout = 150_000
	// indirectTimeout, multiplied by 1 + health score, is the time from a direct probe until its target is suspected if
	// no ack of the direct probe or of an indirect probe has arrived.
	indirectTimeout       = 350_000
	indirectProbeLifetime = 2_000_000 // time after which a probe on behalf of another member is removed
)

const (
	indirectProbeCount = 3  // maximum number of requests to other members to probe a target that does not respond
	maxIndirectProbes  = 64 // maximum number of pending probes on behalf of other members
	maxHealthScore     = 7  // maximum health score; bounds the timeouts of a router that misses acks

	// deadProbeFraction, multiplied by the fraction of members that are declared dead, is the probability that a probe
	// goes to a dead member. These probes let members find each other after a partition has healed.
	deadProbeFraction = 0.5
)

// probe is a probe of this router that is in progress.
type probe struct {
	target     int // rank of the probed member; lease.NoRank: no probe is in progress
	token      uint32
	sentAt     int64
	isIndirect bool // whether other members were also requested to probe the target
}

// noProbe is the value of a probe when none is in progress.
var noProbe = probe{target: lease.NoRank}

// indirectProbe is a probe on behalf of another member.
type indirectProbe struct {
	requester      int    // rank of the member that requested the probe
	requesterToken uint32 // token of the requester's own probe
	sentAt         int64
}

func (n *Node) raiseHealthScore() { n.healthScore = min(n.healthScore+1, maxHealthScore) }
func (n *Node) lowerHealthScore() { n.healthScore = max(n.healthScore-1, 0) }

// scaleTimeout returns a timeout (us) multiplied by 1 + the health score of this router.
func (n *Node) scaleTimeout(timeout int64) int64 { return timeout * int64(1+n.healthScore) }

func (n *Node) shuffleProbeOrder() {
	n.rng.Shuffle(len(n.probeOrder), func(i, j int) {
		n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i]
	})
	n.probeIndex = 0
}

// checkProbe handles the timeouts of the probe in progress, if any. After probeTimeout it requests indirect probes from
// other members, and after indirectTimeout it suspects the target.
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

// probeIndirectly requests other members, chosen at random, to probe the target.
func (n *Node) probeIndirectly(p *probe) {
	for range indirectProbeCount {
		helper := n.probeOrder[n.rng.IntN(len(n.probeOrder))]
		if helper != p.target && n.IsUp(helper) {
			n.sendProbeMessage(helper, indirectPingMessage, p.target, p.token)
		}
	}
}

// startProbe sends the next probe if it is due and no probe is in progress.
func (n *Node) startProbe(now int64) {
	if n.currentProbe.target != lease.NoRank || now < n.nextProbeAt || len(n.probeOrder) == 0 {
		return
	}
	n.nextProbeAt = now + probeInterval + int64(n.rng.Float64()*probeInterval/5)
	deadFraction := 1 - float64(n.LiveCount())/float64(n.options.FleetSize)
	probeDead := n.rng.Float64() < deadProbeFraction*deadFraction
	target := n.nextProbeTarget(probeDead)
	if target == lease.NoRank {
		return
	}
	n.token++
	if !probeDead { // no ack is expected from a dead member; if one arrives, it shows that the member is alive
		n.currentProbe = probe{target: target, token: n.token, sentAt: now}
	}
	n.sendProbeMessage(target, pingMessage, target, n.token)
}

// nextProbeTarget returns the next member in probeOrder that is up or, if probeDead is set, declared dead. It returns
// lease.NoRank if there is none.
func (n *Node) nextProbeTarget(probeDead bool) int {
	for range n.probeOrder {
		if n.probeIndex >= len(n.probeOrder) {
			n.shuffleProbeOrder()
		}
		rank := n.probeOrder[n.probeIndex]
		n.probeIndex++
		if n.IsUp(rank) != probeDead {
			return rank
		}
	}
	return lease.NoRank
}

// sendProbeMessage sends a ping, an ack or an indirect ping. The message includes the holder of one of the limits, as
// this router knows it. The sequence number of the latest datagram determines the limit.
func (n *Node) sendProbeMessage(to int, kind messageKind, target int, token uint32) {
	m := message{kind: kind, target: target, token: token, holder: lease.NoRank}
	if len(n.limits) > 0 {
		m.limit = int(n.sequence) % len(n.limits)
		m.holder = n.limits[m.limit].currentHolder(n.lastCalledAt)
	}
	n.send(to, &m)
}

// handlePing responds to a probe of this router by another member.
func (n *Node) handlePing(m *message) {
	n.sendProbeMessage(m.rank, ackMessage, n.options.Rank, m.token)
}

// handleIndirectPing probes a target on behalf of another member, unless maxIndirectProbes are pending.
func (n *Node) handleIndirectPing(now int64, m *message) {
	if m.target >= n.options.FleetSize || m.target == n.options.Rank || len(n.indirectProbes) >= maxIndirectProbes {
		return
	}
	n.token++
	n.indirectProbes[n.token] = indirectProbe{requester: m.rank, requesterToken: m.token, sentAt: now}
	n.sendProbeMessage(m.target, pingMessage, m.target, n.token)
}

// handleAck ends the probe in progress, or forwards the ack of a probe on behalf of another member.
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

// handlePause compensates for a pause (us) of this process. Acks may be missing because of the pause, not because other
// members have failed. Therefore the probe in progress is dropped and suspicions are extended.
func (n *Node) handlePause(pause int64) {
	n.currentProbe.target = lease.NoRank
	n.raiseHealthScore()
	for rank := range n.members {
		n.members[rank].suspicionEndsAt += pause
	}
}
