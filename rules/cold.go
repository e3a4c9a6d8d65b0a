package rules

// What a server that started lately may be sent.

import "slices"

const coldSafety = 0.6 // share of a cold budget used: parts are uneven, estimates rough

// affordable keeps what this router sends to a cold server within its part of the budget at the span's start.
func (r *Router) affordable(n *node, work float64) bool {
	frac, mult, cold := r.warmth(n)
	if !cold {
		return true
	}
	// Hundreds have less than a request each: a draw a span lets so many send one as keep the sum.
	fall, sum := r.set.Guarantees.Fall, 0.0
	if r.drawDue(n) {
		n.drawnAt, n.luck = r.now, r.rng.Float64()
	}
	n.spent = slices.DeleteFunc(n.spent, func(s sent) bool { return r.now-s.at > fall })
	for _, s := range n.spent {
		sum += s.work
	}
	if sum <= 0 {
		work *= n.luck
	}
	return sum+work <= coldSafety*r.accounted(n)*mult*frac*r.capacity(n)*float64(fall)
}

// drawDue reports that the next look at a cold n draws its luck anew.
func (r *Router) drawDue(n *node) bool { return r.now-n.drawnAt > r.set.Guarantees.Fall }

// warmth tells the least share of its capacity that a server started lately can give.
func (r *Router) warmth(n *node) (frac, mult float64, cold bool) {
	from, span := r.set.Guarantees.ColdFrom, r.set.Guarantees.Cold
	mult = r.set.Guarantees.TipMultiple
	if n.role == roleParent {
		from, span, mult = r.set.Extra.ParentFloor, r.set.Extra.ParentWarmsIn, r.set.Extra.UpperFallMultiple
	}
	age := r.now - n.cameUp
	if n.role == roleOrigin || n.cameUp <= 0 || age >= span+r.set.Guarantees.Fall {
		return 1, mult, false
	}
	age = max(age-r.set.Guarantees.Fall, 0)
	return from + (1-from)*float64(age)/float64(max(span, 1)), mult, true
}

func (r *Router) spend(n *node, work float64) {
	if _, _, cold := r.warmth(n); cold {
		n.spent = append(n.spent, sent{r.now, work})
	}
}
