package rules

// When a server is shut off for a while, and whom an outcome is charged to.

import "slices"

// Times are microseconds; the rest are ratios or counts.
const (
	breakerHeld     = 3          // outcomes held before a breaker may open: the design's
	breakerShare    = 0.5        // share of failed outcomes that opens it: the design's
	breakerRing     = 8          // outcomes held at most: a sudden fault opens it after four
	breakerCoolDown = 10_000_000 // us a failing source is skipped before its trial: the design's
	breakerSpread   = 0.3        // random share more: routers must not try a cold parent together
	cacheCoolDown   = 2_000_000  // us a failing cache is skipped: a trial is one request, peers are few
	cacheShare      = 0.75       // share of failures that opens a cache: half is better sent again
)

func (b *breaker) open(now int64) bool { return b.until != 0 && (now < b.until || b.trial) }

// ready reports that the next user of the server would be the trial.
func (b *breaker) ready(now int64) bool { return b.until != 0 && now >= b.until && !b.trial }

// record holds one outcome and opens or resets the breaker.
func (b *breaker) record(now int64, failed, trial bool, weight, share float64, coolDown int64) {
	if b.until != 0 {
		if trial && failed {
			b.until, b.dead = now+coolDown, true
		} else if trial {
			*b = breaker{}
		}
		return
	}
	held := &b.ring[b.next%breakerRing]
	if held.weight, held.failed = weight, 0; failed {
		held.failed = weight
	}
	b.next++
	sum, bad := 0.0, 0.0
	for _, o := range b.ring {
		sum += o.weight
		bad += o.failed
	}
	if sum >= breakerHeld && bad >= share*sum && failed {
		*b = breaker{until: now + coolDown}
	}
}

// blame names whom an outcome is charged to. A time-out charges a cache, else a source, only if nothing came,
// and nobody if the client's time ended before the answer was due: clients in a hurry shut no good server.
func (r *Router) blame(q *request, a *attempt, ev *Event) *node {
	alive := a.node.answered > a.nodeHad
	switch {
	case ev.Code == TimedOut && (a.lost || !a.silent && float64(ev.Rtt) < r.aim(q)):
		return nil
	case ev.Note == 10:
		return r.origin
	case a.fills && (ev.Note == 6 || ev.Note == 7):
		return a.source
	case ev.Code == Failed && a.fills && alive && r.set.Extra.NotesGiven != "all":
		return a.source
	case ev.Code == Refused, ev.Code == Reset, ev.Code == Failed, ev.Code == TimedOut && !alive:
		return a.node
	case ev.Code == TimedOut && a.fills && a.source.answered-a.sourceHad < 1:
		return a.source
	}
	return nil
}

// judge charges the breakers with an outcome, and books what answered.
func (r *Router) judge(q *request, a *attempt, ev *Event, bad *node) {
	charge := func(n *node, failed bool, weight float64) {
		base, share := float64(breakerCoolDown), breakerShare
		if n.role == roleCache {
			base, share = cacheCoolDown, cacheShare
		}
		if !failed {
			n.answered += weight
			n.answers.add(r.now, rateSpan, weight)
		}
		brk := n.gate(q.account)
		brk.record(r.now, failed, slices.Contains(a.trials, brk), weight, share,
			int64(base*(1+breakerSpread*r.rng.Float64())))
	}
	write := at(r.set.Extra.PassOn, q.class)
	if ev.Code == Cancelled || ev.Code == Skipped || write && a.node.role != roleCache {
		return
	}
	// A bare error may be the request's own fault, as with an object that nobody knows.
	if doubt := ev.Code == Failed && ev.Note == 0 && bad == a.node; doubt {
		q.doubts = append(q.doubts, bad)
	} else if bad != nil {
		charge(bad, true, 1)
	}
	if ev.Code == Done {
		for _, n := range q.doubts {
			charge(n, true, 1)
		}
	}
	if ev.Code == Done || ev.Code == Miss || ev.Note >= 6 {
		charge(a.node, false, 1)
	}
	if ev.Code != Done {
		return
	}
	if t := &r.tail[q.class]; float64(ev.Rtt) > *t*r.usual(q) {
		*t *= 1 + tailUp
	} else {
		*t *= 1 - tailDown
	}
	r.book(q, a, ev)
	switch {
	case !a.fills || write:
	case ev.Note == 2 || ev.Note == 3:
		charge(a.source, false, 1)
		if ev.Note == 3 && a.source != r.origin && r.origin != nil {
			charge(r.origin, false, 1)
		}
	case r.set.Extra.NotesGiven == "silent":
		charge(a.source, false, a.node.missPart)
	}
}
