package routing

// How many requests may be out at a server, and what is learnt of sizes and times.

import (
	"cmp"
	"slices"
)

// Times are microseconds; the rest are ratios or counts.
const (
	rateWindow                = 4_000_000 // us over which rates are averaged
	defaultMissRatio          = 0.3       // share of misses where neither notes nor reports tell
	initialLimit              = 16        // requests out at a new server; grows fast until the first cut
	initialLimitExtra         = 2         // more of them for each router: that many come together by chance
	minLimit                  = 0.05      // least limit: of few requests a router tries one now and then
	limitDecreaseFactor       = 0.85      // factor on a limit at a late answer, for each mean sending time
	lateServerTransfers       = 2.0       // most out for each transfer of a router's part of a server found late
	originFillsGrowthFactor   = 1.1       // growth of the limit on fills that may ask the origin through a parent
	originFillsGrowthStep     = 0.5       // and in requests: it comes back from one in a few answers
	minOriginFills            = 1         // that limit at least, or no recovery would be seen
	unlimitedOriginFills      = 1000      // that limit at most, and at the start: few fills get that far
	limitGrowthPerRound       = 9         // added to a limit, summed over a server's routers, a round of answers
	lateObjectiveShare        = 0.5       // share of the aim less the sending time past which an answer cuts a limit
	lateObjectiveShareUnsized = 0.8       // the same where sizes are not told: a large part is late by nature
	reservedLimitShare        = 0.5       // share of a limit kept for what earns most for its sending time
	reservedShareDecay        = 1_000_000 // us over which what an account keeps free of its share is forgotten
	overloadedLinkUse         = 1.5       // transfers on the own link for those that fit: fills must become fewer
	linkUseStep               = 0.1       // step of that figure at a report
	meanSendTimeStep          = 0.02      // step of the mean sending times
	maxOriginWaitMultiple     = 3         // times its least wait that a fill may wait for a far origin
	minOriginWaitRise         = 0.0005    // by which the least wait for the origin of late grows at each answer
)

// hasCapacity reports that n is under its limit. A part of one is at random: hundreds of routers keep to their sum.
func (r *Engine) hasCapacity(q *request, n *server) bool {
	earns := min(r.settings.Classes[q.class].PriorityWeight/max(r.sendTime(q), 1)/r.maxWeightDensity(n.role != roleRemoteCache), 1)
	if q.isOverQuota {
		earns *= r.settings.OverQuotaWeightFactor
	}
	limit, luck := n.concurrencyLimit*(1-reservedLimitShare*(1-earns)), r.rng.Float64()
	if q.accountingGroup == 0 || n.role == roleEdgeCache || n.role == roleRemoteCache {
		return float64(n.inFlight)+luck < limit
	}
	// An account's share is its own; past it, it borrows what others leave that had work of late: their share
	// of those that have more out for it than this one has, of the rest all they had.
	out, share := float64(n.usageOf(q.accountingGroup).inFlight), r.capacityShares[q.accountingGroup]
	if out+luck < share*limit {
		return true
	}
	kept := 0.0
	for account, s := range n.groupUsage {
		most := limit
		if account == 0 || account == q.accountingGroup {
			continue
		}
		if float64(s.inFlight)*share > out*r.capacityShares[account] {
			most *= r.capacityShares[account]
		}
		kept += s.reserved(r.now, most)
	}
	return float64(n.inFlight)+kept+luck < limit
}

// adjustLimits moves limits in use: up with answers in time, down when one is late or turned away.
func (r *Engine) adjustLimits(q *request, a *attempt, ev *Event) {
	aim := lateObjectiveShareUnsized * r.latencyObjective(q)
	if q.SizeKB > 0 {
		aim = r.sendTime(q) + lateObjectiveShare*(r.latencyObjective(q)-r.sendTime(q))
	}
	move := func(n *server, use float64, late bool) { // use: part of the attempts counted that it serves
		switch {
		case float64(n.inFlight+1) < n.concurrencyLimit/2: // a limit that is not in use tells nothing
		case late && r.now-n.limitReducedAt > int64(r.meanSendTime[q.class]):
			r.reduceLimit(n, use)
			if n.role == roleParent && ev.Outcome != OutcomeTimedOut { // all fill from it, it is not what is behind
				r.emit(Action{Kind: ActionReportOverload, Server: n.name})
			}
		case late || ev.Outcome != OutcomeServed:
		case n.limitReducedAt == 0:
			n.concurrencyLimit++
		default: // the less, the more routers share n; small answers are in time in any jam and tell little
			n.concurrencyLimit += limitGrowthPerRound * r.sendTime(q) / slices.Max(r.meanSendTime) / (n.concurrencyLimit * n.routers)
		}
	}
	full := r.sourceRejectedFill(a, ev)
	// A lone answer that never comes is no jam: a server that answers others meanwhile keeps its limit.
	late := func(n *server, had, took float64) bool {
		if ev.Outcome == OutcomeTimedOut {
			return n.answerCount-had < 1 && (a.canceledAsSilent || took > aim)
		}
		return took > aim
	}
	many := a.fills && a.source.routers > initialLimit // share it: late fills, less their wait, are its doing
	rest := float64(ev.ResponseTime - ev.UpstreamWait)
	if a.server.role == roleEdgeCache || a.server.role == roleParent { // straight answers jam links
		turned := ev.Outcome == OutcomeRejected && ev.CacheStatus < 6 && !full
		move(a.server, 1, turned || !(many && (ev.CacheStatus == 2 || ev.CacheStatus == 3)) && late(a.server, a.serverAnswersBefore, rest))
	}
	lateAsk := a.mayReachOrigin && q.confirmedMisses > 0 && ev.Outcome == OutcomeTimedOut // the origin's doing
	waited, most := float64(ev.UpstreamWait), lateObjectiveShareUnsized*r.latencyObjective(q)
	if lateAsk {
		waited = float64(ev.ResponseTime)
	}
	switch b := &r.originFills; {
	case !a.fills || ev.CacheStatus != 3 && !lateAsk:
	case waited <= most:
		b.concurrencyLimit = min(b.concurrencyLimit*originFillsGrowthFactor+originFillsGrowthStep, r.maxPossibleOriginFills)
	case r.now-b.limitReducedAt > int64(r.meanSendTime[q.class]): // of what is out now, or hundreds of it would go on
		b.concurrencyLimit, b.limitReducedAt = max(min(b.concurrencyLimit, float64(b.inFlight+1))*min(most/waited, limitDecreaseFactor), minOriginFills), r.now
	}
	told := ev.Outcome == OutcomeTimedOut || r.settings.Hierarchy.CacheStatusReporting == "silent" || ev.CacheStatus == 2 || ev.CacheStatus == 3
	if a.fills && (full || told) {
		took := float64(ev.ResponseTime)
		switch s := a.source; {
		case many:
			took = rest
		case ev.CacheStatus == 3: // a far origin is not its doing; but on a full link fills must be fewer
			s.minOriginWait = min(cmp.Or(s.minOriginWait, waited)*(1+minOriginWaitRise), waited)
			if r.linkUseIndex < 0 { // nothing tells of the link: what is usual, in the time wanted, is not late
				aim = max(aim, min(r.sendTime(q)+maxOriginWaitMultiple*s.minOriginWait, r.latencyObjective(q)))
			} else if r.linkUse < overloadedLinkUse {
				took -= s.minOriginWait
			}
		}
		move(a.source, defaultMissRatio, full || !lateAsk && late(a.source, a.sourceAnswersBefore, took))
	}
}

// reduceLimit takes a limit down: where few answers are seen, to the share that is known, at once.
func (r *Engine) reduceLimit(n *server, use float64) {
	n.concurrencyLimit, n.limitReducedAt = max(n.concurrencyLimit*limitDecreaseFactor, minLimit), r.now
	if r.hasServerWeights && n.role != roleOrigin {
		n.concurrencyLimit = min(n.concurrencyLimit, lateServerTransfers*r.capacity(n)/use)
	}
}

// parentOverloaded heeds what routers of other depots found of a parent, as a late answer of its own.
func (r *Engine) parentOverloaded(n *server) {
	if n != nil && n.role == roleParent && r.now-n.limitReducedAt > int64(slices.Max(r.meanSendTime)) {
		r.reduceLimit(n, defaultMissRatio)
	}
}

// sourceRejectedFill reports that a source turned a fill away; without notes a full cache shows on the held attempt.
func (r *Engine) sourceRejectedFill(a *attempt, ev *Event) bool {
	return a.fills && ev.Outcome == OutcomeRejected && (ev.CacheStatus == 6 || ev.CacheStatus == 0 && r.settings.Hierarchy.CacheStatusReporting != "all")
}

// capacity estimates this router's part of what a warm n can do, in work a microsecond.
func (r *Engine) capacity(n *server) float64 {
	if r.hasServerWeights && n.weight > 0 {
		return n.weight / n.routers
	}
	return max(r.peakWorkRates[n.role], 1/n.routers) // one transfer, where nothing is known
}

// learnFromAnswer learns from an answer: sending times, and what warm servers take.
func (r *Engine) learnFromAnswer(q *request, a *attempt, ev *Event) {
	// Only a cache that is little used shows a sending time: in a jam the mean, and all aims, would drift.
	if q.SizeKB > 0 {
		r.meanSendTime[q.class] += meanSendTimeStep * (r.sendTime(q) - r.meanSendTime[q.class])
	} else if ev.CacheStatus != 2 && ev.CacheStatus != 3 && float64(a.server.inFlight) < a.server.concurrencyLimit/2 {
		r.meanSendTime[q.class] += meanSendTimeStep * (float64(ev.ResponseTime) - r.meanSendTime[q.class])
	}
	learn := func(n *server, work float64) {
		if _, _, cold := r.slowStartCapacity(n); cold || n.role == roleOrigin {
			return
		}
		n.recentWork.add(r.now, rateWindow, work)
		r.peakWorkRates[n.role] = max(r.peakWorkRates[n.role], n.recentWork.rate(r.now, rateWindow))
	}
	learn(a.server, a.work)
	switch {
	case !a.fills || a.source == a.server:
	case ev.CacheStatus == 2 || ev.CacheStatus == 3:
		learn(a.source, a.work)
	case ev.CacheStatus == 1 || ev.CacheStatus == 4 || ev.CacheStatus == 5: // it never reached the source
		r.recordColdSend(a.source, -a.work)
	case r.settings.Hierarchy.CacheStatusReporting == "silent":
		learn(a.source, a.work*a.server.missRatio)
	}
}
