package routing

// When a server is shut off for a while, and whom an outcome is charged to.

import "slices"

// Times are microseconds; the rest are ratios or counts.
const (
	breakerMinOutcomes       = 3          // outcomes held before a breaker may open: the design's
	breakerFailureRatio      = 0.5        // share of failed outcomes that opens it: the design's
	breakerMaxOutcomes       = 8          // outcomes held at most: a sudden fault opens it after four
	breakerCoolDown          = 10_000_000 // us a failing source is skipped before its trial: the design's
	breakerCoolDownJitter    = 0.3        // random share more: routers must not try a cold parent together
	cacheBreakerCoolDown     = 2_000_000  // us a failing cache is skipped: a trial is one request, peers are few
	cacheBreakerFailureRatio = 0.75       // share of failures that opens a cache: half is better sent again
)

func (b *circuitBreaker) isOpen(now int64) bool {
	return b.openUntil != 0 && (now < b.openUntil || b.trialInFlight)
}

// isReadyForTrial reports that the next user of the server would be the trial.
func (b *circuitBreaker) isReadyForTrial(now int64) bool {
	return b.openUntil != 0 && now >= b.openUntil && !b.trialInFlight
}

// record holds one outcome and opens or resets the breaker.
func (b *circuitBreaker) record(now int64, failed, trial bool, weight, share float64, coolDown int64) {
	if b.openUntil != 0 {
		if trial && failed {
			b.openUntil, b.trialFailed = now+coolDown, true
		} else if trial {
			*b = circuitBreaker{}
		}
		return
	}
	held := &b.outcomes[b.next%breakerMaxOutcomes]
	if held.weight, held.failed = weight, 0; failed {
		held.failed = weight
	}
	b.next++
	sum, bad := 0.0, 0.0
	for _, o := range b.outcomes {
		sum += o.weight
		bad += o.failed
	}
	if sum >= breakerMinOutcomes && bad >= share*sum && failed {
		*b = circuitBreaker{openUntil: now + coolDown}
	}
}

// chargedServer names whom an outcome is charged to. A time-out charges a cache, else a source, only if nothing came,
// and nobody if the client's time ended before the answer was due: clients in a hurry shut no good server.
func (r *Engine) chargedServer(q *request, a *attempt, ev *Event) *server {
	alive := a.server.answerCount > a.serverAnswersBefore
	switch {
	case ev.Outcome == OutcomeTimedOut && (a.canceledAsLost || !a.canceledAsSilent && float64(ev.ResponseTime) < r.latencyObjective(q)):
		return nil
	case ev.CacheStatus == 10:
		return r.origin
	case a.fills && (ev.CacheStatus == 6 || ev.CacheStatus == 7):
		return a.source
	case ev.Outcome == OutcomeError && a.fills && alive && r.settings.Hierarchy.CacheStatusReporting != "all":
		return a.source
	case ev.Outcome == OutcomeConnectionRefused, ev.Outcome == OutcomeConnectionReset, ev.Outcome == OutcomeError, ev.Outcome == OutcomeTimedOut && !alive:
		return a.server
	case ev.Outcome == OutcomeTimedOut && a.fills && a.source.answerCount-a.sourceAnswersBefore < 1:
		return a.source
	}
	return nil
}

// recordOutcome charges the breakers with an outcome, and books what answered.
func (r *Engine) recordOutcome(q *request, a *attempt, ev *Event, bad *server) {
	charge := func(n *server, failed bool, weight float64) {
		base, share := float64(breakerCoolDown), breakerFailureRatio
		if n.role == roleEdgeCache {
			base, share = cacheBreakerCoolDown, cacheBreakerFailureRatio
		}
		if !failed {
			n.answerCount += weight
			n.recentAnswers.add(r.now, rateWindow, weight)
		}
		brk := n.breakerFor(q.accountingGroup)
		brk.record(r.now, failed, slices.Contains(a.trials, brk), weight, share,
			int64(base*(1+breakerCoolDownJitter*r.rng.Float64())))
	}
	write := valueAt(r.settings.Hierarchy.Uncacheable, q.class)
	if ev.Outcome == OutcomeCanceled || ev.Outcome == OutcomeSkipped || write && a.server.role != roleEdgeCache {
		return
	}
	// A bare error may be the request's own fault, as with an object that nobody knows.
	if doubt := ev.Outcome == OutcomeError && ev.CacheStatus == 0 && bad == a.server; doubt {
		q.bareErrorCaches = append(q.bareErrorCaches, bad)
	} else if bad != nil {
		charge(bad, true, 1)
	}
	if ev.Outcome == OutcomeServed {
		for _, n := range q.bareErrorCaches {
			charge(n, true, 1)
		}
	}
	if ev.Outcome == OutcomeServed || ev.Outcome == OutcomeMiss || ev.CacheStatus >= 6 {
		charge(a.server, false, 1)
	}
	if ev.Outcome != OutcomeServed {
		return
	}
	if t := &r.tailMultiple[q.class]; float64(ev.ResponseTime) > *t*r.usualResponseTime(q) {
		*t *= 1 + tailIncrease
	} else {
		*t *= 1 - tailDecrease
	}
	r.learnFromAnswer(q, a, ev)
	switch {
	case !a.fills || write:
	case ev.CacheStatus == 2 || ev.CacheStatus == 3:
		charge(a.source, false, 1)
		if ev.CacheStatus == 3 && a.source != r.origin && r.origin != nil {
			charge(r.origin, false, 1)
		}
	case r.settings.Hierarchy.CacheStatusReporting == "silent":
		charge(a.source, false, a.server.missRatio)
	}
}
