package rules

// How many requests may be out at a server, and what is learnt of sizes and times.

import (
	"cmp"
	"slices"
)

// Times are microseconds; the rest are ratios or counts.
const (
	rateSpan        = 4_000_000 // us over which rates are averaged
	unknownMisses   = 0.3       // share of misses where neither notes nor reports tell
	firstLimit      = 16        // requests out at a new server; grows fast until the first cut
	firstSpare      = 2         // more of them for each router: that many come together by chance
	leastLimit      = 0.05      // least limit: of few requests a router tries one now and then
	limitCut        = 0.85      // factor on a limit at a late answer, for each mean sending time
	limitRoom       = 2.0       // most out for each transfer of a router's part of a server found late
	behindGrowth    = 1.1       // growth of the limit on fills that may ask the origin through a parent
	behindStep      = 0.5       // and in requests: it comes back from one in a few answers
	behindLeast     = 1         // that limit at least, or no recovery would be seen
	behindMost      = 1000      // that limit at most, and at the start: few fills get that far
	limitGrowth     = 9         // added to a limit, summed over a server's routers, a round of answers
	limitTarget     = 0.5       // share of the aim less the sending time past which an answer cuts a limit
	limitTargetMean = 0.8       // the same where sizes are not told: a large part is late by nature
	denseReserve    = 0.5       // share of a limit kept for what earns most for its sending time
	shareKept       = 1_000_000 // us over which what an account keeps free of its share is forgotten
	linkFull        = 1.5       // transfers on the own link for those that fit: fills must become fewer
	linkStep        = 0.1       // step of that figure at a report
	meanStep        = 0.02      // step of the mean sending times
	farRoom         = 3         // times its least wait that a fill may wait for a far origin
	baseRise        = 0.0005    // by which the least wait for the origin of late grows at each answer
)

// room reports that n is under its limit. A part of one is at random: hundreds of routers keep to their sum.
func (r *Router) room(q *request, n *node) bool {
	earns := min(r.set.Classes[q.class].Gain/max(r.sending(q), 1)/r.densest(n.role != roleOther), 1)
	if q.over {
		earns *= r.set.OverShareWorth
	}
	limit, luck := n.limit*(1-denseReserve*(1-earns)), r.rng.Float64()
	if q.account == 0 || n.role == roleCache || n.role == roleOther {
		return float64(n.out)+luck < limit
	}
	// An account's share is its own; past it, it borrows what others leave that had work of late: their share
	// of those that have more out for it than this one has, of the rest all they had.
	out, share := float64(n.stake(q.account).out), r.shares[q.account]
	if out+luck < share*limit {
		return true
	}
	kept := 0.0
	for account, s := range n.stakes {
		most := limit
		if account == 0 || account == q.account {
			continue
		}
		if float64(s.out)*share > out*r.shares[account] {
			most *= r.shares[account]
		}
		kept += s.keeps(r.now, most)
	}
	return float64(n.out)+kept+luck < limit
}

// adapt moves limits in use: up with answers in time, down when one is late or turned away.
func (r *Router) adapt(q *request, a *attempt, ev *Event) {
	aim := limitTargetMean * r.aim(q)
	if q.SizeKb > 0 {
		aim = r.sending(q) + limitTarget*(r.aim(q)-r.sending(q))
	}
	move := func(n *node, use float64, late bool) { // use: part of the attempts counted that it serves
		switch {
		case float64(n.out+1) < n.limit/2: // a limit that is not in use tells nothing
		case late && r.now-n.cutAt > int64(r.sendMean[q.class]):
			r.cut(n, use)
			if n.role == roleParent && ev.Code != TimedOut { // all fill from it, it is not what is behind
				r.act(Action{Kind: Tell, Node: n.name})
			}
		case late || ev.Code != Done:
		case n.cutAt == 0:
			n.limit++
		default: // the less, the more routers share n; small answers are in time in any jam and tell little
			n.limit += limitGrowth * r.sending(q) / slices.Max(r.sendMean) / (n.limit * n.seats)
		}
	}
	full := r.sourceFull(a, ev)
	// A lone answer that never comes is no jam: a server that answers others meanwhile keeps its limit.
	late := func(n *node, had, took float64) bool {
		if ev.Code == TimedOut {
			return n.answered-had < 1 && (a.silent || took > aim)
		}
		return took > aim
	}
	many := a.fills && a.source.seats > firstLimit // share it: late fills, less their wait, are its doing
	rest := float64(ev.Rtt - ev.UpstreamWait)
	if a.node.role == roleCache || a.node.role == roleParent { // straight answers jam links
		turned := ev.Code == Busy && ev.Note < 6 && !full
		move(a.node, 1, turned || !(many && (ev.Note == 2 || ev.Note == 3)) && late(a.node, a.nodeHad, rest))
	}
	lateAsk := a.deep && q.looked > 0 && ev.Code == TimedOut // the origin's doing
	waited, most := float64(ev.UpstreamWait), limitTargetMean*r.aim(q)
	if lateAsk {
		waited = float64(ev.Rtt)
	}
	switch b := &r.behind; {
	case !a.fills || ev.Note != 3 && !lateAsk:
	case waited <= most:
		b.limit = min(b.limit*behindGrowth+behindStep, r.behindMost)
	case r.now-b.cutAt > int64(r.sendMean[q.class]): // of what is out now, or hundreds of it would go on
		b.limit, b.cutAt = max(min(b.limit, float64(b.out+1))*min(most/waited, limitCut), behindLeast), r.now
	}
	told := ev.Code == TimedOut || r.set.Extra.NotesGiven == "silent" || ev.Note == 2 || ev.Note == 3
	if a.fills && (full || told) {
		took := float64(ev.Rtt)
		switch s := a.source; {
		case many:
			took = rest
		case ev.Note == 3: // a far origin is not its doing; but on a full link fills must be fewer
			s.base = min(cmp.Or(s.base, waited)*(1+baseRise), waited)
			if r.hasX1 < 0 { // nothing tells of the link: what is usual, in the time wanted, is not late
				aim = max(aim, min(r.sending(q)+farRoom*s.base, r.aim(q)))
			} else if r.linkUse < linkFull {
				took -= s.base
			}
		}
		move(a.source, unknownMisses, full || !lateAsk && late(a.source, a.sourceHad, took))
	}
}

// cut takes a limit down: where few answers are seen, to the share that is known, at once.
func (r *Router) cut(n *node, use float64) {
	n.limit, n.cutAt = max(n.limit*limitCut, leastLimit), r.now
	if r.weighs && n.role != roleOrigin {
		n.limit = min(n.limit, limitRoom*r.capacity(n)/use)
	}
}

// crowded heeds what routers of other depots found of a parent, as a late answer of its own.
func (r *Router) crowded(n *node) {
	if n != nil && n.role == roleParent && r.now-n.cutAt > int64(slices.Max(r.sendMean)) {
		r.cut(n, unknownMisses)
	}
}

// sourceFull reports that a source turned a fill away; without notes a full cache shows on the held attempt.
func (r *Router) sourceFull(a *attempt, ev *Event) bool {
	return a.fills && ev.Code == Busy && (ev.Note == 6 || ev.Note == 0 && r.set.Extra.NotesGiven != "all")
}

// capacity estimates this router's part of what a warm n can do, in work a microsecond.
func (r *Router) capacity(n *node) float64 {
	if r.weighs && n.weight > 0 {
		return n.weight / n.seats
	}
	return max(r.peak[n.role], 1/n.seats) // one transfer, where nothing is known
}

// book learns from an answer: sending times, and what warm servers take.
func (r *Router) book(q *request, a *attempt, ev *Event) {
	// Only a cache that is little used shows a sending time: in a jam the mean, and all aims, would drift.
	if q.SizeKb > 0 {
		r.sendMean[q.class] += meanStep * (r.sending(q) - r.sendMean[q.class])
	} else if ev.Note != 2 && ev.Note != 3 && float64(a.node.out) < a.node.limit/2 {
		r.sendMean[q.class] += meanStep * (float64(ev.Rtt) - r.sendMean[q.class])
	}
	learn := func(n *node, work float64) {
		if _, _, cold := r.warmth(n); cold || n.role == roleOrigin {
			return
		}
		n.work.add(r.now, rateSpan, work)
		r.peak[n.role] = max(r.peak[n.role], n.work.rate(r.now, rateSpan))
	}
	learn(a.node, a.work)
	switch {
	case !a.fills || a.source == a.node:
	case ev.Note == 2 || ev.Note == 3:
		learn(a.source, a.work)
	case ev.Note == 1 || ev.Note == 4 || ev.Note == 5: // it never reached the source
		r.spend(a.source, -a.work)
	case r.set.Extra.NotesGiven == "silent":
		learn(a.source, a.work*a.node.missPart)
	}
}
