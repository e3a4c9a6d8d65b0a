package cells

import "cmp"

const (
	defaultReclaimMillis = 250.0 // where the budget names none
	// maxOpenFraction is the part of the requests open at once that cells may fill beyond their shares; the rest is for
	// tenants with little usage.
	maxOpenFraction = 0.9
	// minRequestCost is the least cost of a request, in seconds of what this router may use of the site.
	minRequestCost = 1e-6
)

// budget is this router's part of what the cells of a site share.
type budget struct {
	requests        *sharedRate // requests per second, uncacheable ones apart
	link            *sharedRate // KB per second of fills into the site
	parents         *sharedRate // KB per second of fills that parents send
	origin          *sharedRate // KB per second of fills that the origin sends
	uncacheable     *sharedRate // uncacheable requests per second
	maxOpenRequests int         // 0: no limit
}

// newBudget divides the budget of a specification among routers, and among cells by their shares.
func (s *shared) newBudget(spec *Spec) budget {
	shares := make([]float64, len(spec.Cells))
	for i := range spec.Cells {
		shares[i] = spec.Cells[i].Share
	}
	limits := &spec.Budget
	linkKBPerSecond := limits.FillKBPerSecond
	if linkKBPerSecond == 0 {
		linkKBPerSecond = s.linkKBPerSecond()
	}
	reclaim := cmp.Or(limits.ReclaimMillis, defaultReclaimMillis) * 1000
	atSite, inFleet := float64(s.routersAtSite()), float64(s.fleetSize())
	return budget{
		requests:        newSharedRate(limits.RequestsPerSecond/atSite, shares, reclaim),
		link:            newSharedRate(linkKBPerSecond/atSite, shares, reclaim),
		uncacheable:     newSharedRate(limits.UncacheablePerSecond/atSite, shares, reclaim),
		parents:         newSharedRate(limits.ParentKBPerSecond/inFleet, shares, reclaim),
		origin:          newSharedRate(limits.OriginKBPerSecond/inFleet, shares, reclaim),
		maxOpenRequests: limits.MaxOpenRequests,
	}
}

// cost returns what a request takes of this router's part, in seconds of the resource that it takes most of.
func (b *budget) cost(fillKB, originKB float64) float64 {
	cost := minRequestCost
	for _, use := range [...]struct {
		rate   *sharedRate
		amount float64
	}{{b.requests, 1}, {b.link, fillKB}, {b.parents, fillKB}, {b.origin, originKB}} {
		if use.rate.isLimited() {
			cost = max(cost, use.amount/use.rate.perSecond())
		}
	}
	return cost
}

// check returns why a cell may not take a cacheable request now, or ReasonNone.
func (b *budget) check(now int64, cell int, mayOwe bool) Reason {
	b.requests.refill(now)
	b.link.refill(now)
	b.parents.refill(now)
	b.origin.refill(now)
	switch {
	case !b.requests.mayTake(cell, mayOwe):
		return ReasonRequestRate
	case !b.link.mayTake(cell, mayOwe):
		return ReasonLinkRate
	case !b.parents.mayTake(cell, mayOwe):
		return ReasonParentRate
	case !b.origin.mayTake(cell, mayOwe):
		return ReasonOriginRate
	}
	return ReasonNone
}

// checkUncacheable returns why a cell may not take an uncacheable request now, or ReasonNone.
func (b *budget) checkUncacheable(now int64, cell int, mayOwe bool) Reason {
	b.uncacheable.refill(now)
	if !b.uncacheable.mayTake(cell, mayOwe) {
		return ReasonUncacheableRate
	}
	return ReasonNone
}

// take spends the estimate of a cacheable request.
func (b *budget) take(cell int, fillKB, originKB float64) {
	b.requests.take(cell, 1)
	b.link.take(cell, fillKB)
	b.parents.take(cell, fillKB)
	b.origin.take(cell, originKB)
}

// correct replaces the estimate of a cacheable request by what it used.
func (b *budget) correct(request *openRequest, filledKB, originKB float64) {
	cell := int(request.cell)
	b.link.correct(cell, filledKB-request.fillKB)
	b.parents.correct(cell, filledKB-request.fillKB)
	b.origin.correct(cell, originKB-request.originKB)
}
