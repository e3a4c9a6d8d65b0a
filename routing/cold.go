package routing

// What a server that started lately may be sent.

import "slices"

const coldBudgetShare = 0.6 // share of a cold budget used: parts are uneven, estimates rough

// fitsColdBudget keeps what this router sends to a cold server within its part of the budget at the span's start.
func (r *Engine) fitsColdBudget(n *server, work float64) bool {
	frac, mult, cold := r.slowStartCapacity(n)
	if !cold {
		return true
	}
	// Hundreds have less than a request each: a draw a span lets so many send one as keep the sum.
	fall, sum := r.settings.Guarantees.OverloadWindow, 0.0
	if r.coldDrawDue(n) {
		n.coldDrawAt, n.coldDraw = r.now, r.rng.Float64()
	}
	n.coldSends = slices.DeleteFunc(n.coldSends, func(s coldSend) bool { return r.now-s.sentAt > fall })
	for _, s := range n.coldSends {
		sum += s.work
	}
	if sum <= 0 {
		work *= n.coldDraw
	}
	return sum+work <= coldBudgetShare*r.knownHistoryShare(n)*mult*frac*r.capacity(n)*float64(fall)
}

// coldDrawDue reports that the next look at a cold n draws its luck anew.
func (r *Engine) coldDrawDue(n *server) bool {
	return r.now-n.coldDrawAt > r.settings.Guarantees.OverloadWindow
}

// slowStartCapacity tells the least share of its capacity that a server started lately can give.
func (r *Engine) slowStartCapacity(n *server) (frac, mult float64, cold bool) {
	from, span := r.settings.Guarantees.InitialCapacity, r.settings.Guarantees.WarmUpTime
	mult = r.settings.Guarantees.OverloadMultiple
	if n.role == roleParent {
		from, span, mult = r.settings.Hierarchy.ParentInitialCapacity, r.settings.Hierarchy.ParentWarmUpTime, r.settings.Hierarchy.ParentOverloadMultiple
	}
	age := r.now - n.startedAt
	if n.role == roleOrigin || n.startedAt <= 0 || age >= span+r.settings.Guarantees.OverloadWindow {
		return 1, mult, false
	}
	age = max(age-r.settings.Guarantees.OverloadWindow, 0)
	return from + (1-from)*float64(age)/float64(max(span, 1)), mult, true
}

func (r *Engine) recordColdSend(n *server, work float64) {
	if _, _, cold := r.slowStartCapacity(n); cold {
		n.coldSends = append(n.coldSends, coldSend{r.now, work})
	}
}
