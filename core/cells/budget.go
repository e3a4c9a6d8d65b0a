package cells

import "cmp"

const (
	defaultReclaimMillis = 250.0 // reclaim time if the budget sets none
	// maxOpenFraction is a fraction of the limit on open requests. A cell may exceed its share only while the open
	// requests of all cells and the reserved unused shares together are below this fraction. Only cells below their
	// shares may use the rest of the limit. This keeps the rest available to tenants with low usage.
	maxOpenFraction = 0.9
	// minRequestCost is the minimum cost of a request, in seconds. See budget.cost.
	minRequestCost = 1e-6
)

// budget is this router's part of the resources that the cells of a site share.
type budget struct {
	requests        *sharedRate // cacheable requests per second
	link            *sharedRate // KB per second of fills into the site
	parents         *sharedRate // KB per second of fills that parents send
	origin          *sharedRate // KB per second of fills that the origin sends
	uncacheable     *sharedRate // uncacheable requests per second
	maxOpenRequests int         // at this router; 0: no limit
}

// newBudget returns this router's part of the budget of a specification, divided among cells by their shares.
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

// cost returns the cost of a request in seconds. For one resource, the cost is the amount that the request needs,
// divided by the rate per second at which this router may use the resource. The result is the maximum over all
// resources with a limit, and at least minRequestCost. A request with a cost of 1 thus uses up one second of this
// router's part of a resource.
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

// check returns why a cell may not accept a cacheable request now, or ReasonNone.
func (b *budget) check(now int64, cell int, allowDebt bool) Reason {
	b.requests.refill(now)
	b.link.refill(now)
	b.parents.refill(now)
	b.origin.refill(now)
	switch {
	case !b.requests.mayTake(cell, allowDebt):
		return ReasonRequestRate
	case !b.link.mayTake(cell, allowDebt):
		return ReasonLinkRate
	case !b.parents.mayTake(cell, allowDebt):
		return ReasonParentRate
	case !b.origin.mayTake(cell, allowDebt):
		return ReasonOriginRate
	}
	return ReasonNone
}

// checkUncacheable returns why a cell may not accept an uncacheable request now, or ReasonNone.
func (b *budget) checkUncacheable(now int64, cell int, allowDebt bool) Reason {
	b.uncacheable.refill(now)
	if !b.uncacheable.mayTake(cell, allowDebt) {
		return ReasonUncacheableRate
	}
	return ReasonNone
}

// take subtracts the estimated usage of a cacheable request.
func (b *budget) take(cell int, fillKB, originKB float64) {
	b.requests.take(cell, 1)
	b.link.take(cell, fillKB)
	b.parents.take(cell, fillKB)
	b.origin.take(cell, originKB)
}

// correct replaces the estimated usage of a cacheable request by its actual usage.
func (b *budget) correct(request *openRequest, filledKB, originKB float64) {
	cell := int(request.cell)
	b.link.correct(cell, filledKB-request.fillKB)
	b.parents.correct(cell, filledKB-request.fillKB)
	b.origin.correct(cell, originKB-request.originKB)
}
