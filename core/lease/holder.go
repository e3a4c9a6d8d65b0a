package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Times in microseconds.
const (
	demandLifetime    = 4_000_000 // how long the demand in a request counts
	fairShareInterval = 100_000   // minimum time between two computations of fair shares
)

const (
	// shorterLeaseFactor is a ratio of amounts. A grant from an older lease ends sooner. It is preferred only if its
	// amount is more than shorterLeaseFactor times the amount of a grant from the current lease.
	shorterLeaseFactor = 4.0 / 3

	// maxAccounts is the maximum number of accounts of a holder, one for each process. A holder grants no leases to
	// further processes. maxAccounts is meant to be several times the number of ranks in the largest group below the
	// groups that lease from the holder of the fleet. Topology.Validate does not check this.
	maxAccounts = 4096

	// maxLeases is the number of leases of one lessee that are recorded separately. At every level a lease lasts at most
	// seven renew intervals of that level. If more than maxLeases leases are unexpired, RecordLease merges two.
	maxLeases = 8
)

// lesseeKey identifies a process. After a restart, the leases of the previous incarnation may still be in use.
type lesseeKey struct {
	rank        int
	incarnation uint32
}

// demand is the amount that a lessee wants and the number of routers that the amount is for.
type demand struct {
	amount float64
	weight int
}

// account is the record that a holder has of one lessee.
type account struct {
	demand   demand
	demandAt int64            // time of the last request
	leases   [maxLeases]Lease // granted leases, with times by the holder's clock; unexpired ones may be in use
}

// hasRecentRequest reports whether the lessee has sent a request within the last demandLifetime.
func (a *account) hasRecentRequest(now int64) bool { return now-a.demandAt < demandLifetime }

// holder is the state of a router as the holder of one group. It grants leases to the members of the group, or to the
// holders of its subgroups.
type holder struct {
	accounts map[lesseeKey]*account

	// Fair shares per unit of weight. The weight of a lessee's request is the number of routers that it requests for.
	sharesComputedAt int64
	fairShare        float64 // upper bound if demand exceeds capacity
	surplusShare     float64 // added to each grant if capacity exceeds demand
}

func newHolder() *holder { return &holder{accounts: map[lesseeKey]*account{}} }

// demand returns the sum of the demands of all lessees with a recent request. The weight of the sum is 0 if there is no
// such lessee.
func (h *holder) demand(now int64) (sum demand) {
	for _, a := range h.accounts {
		if a.hasRecentRequest(now) {
			sum.amount += a.demand.amount
			sum.weight += a.demand.weight
		}
	}
	return sum
}

// hasDemand reports whether any lessee has sent a request within the last demandLifetime.
func (h *holder) hasDemand(now int64) bool { return h.demand(now).weight > 0 }

// grant grants a lessee a lease from one of the sources: the leases of this holder, the current one first. The granted
// lease expires before its source, and its term (us) is at most lifetime. A term of 0 means that no lease is granted.
func (h *holder) grant(now int64, key lesseeKey, wanted demand, sources []Lease, lifetime int64) (
	amount float64, term int64) {
	to := h.accountOf(now, key)
	if to == nil {
		return 0, 0
	}
	to.demand = wanted
	to.demandAt = now
	h.computeFairShares(now, sources[0].Amount)
	weight := float64(wanted.weight)
	fair := min(wanted.amount, h.fairShare*weight) + h.surplusShare*weight
	amount, term = fitGrant(now, fair, h.outstandingToOthers(now, key), sources, lifetime)
	if term == 0 {
		return 0, 0
	}
	amount = math.Floor(amount/AmountUnit) * AmountUnit // as encoded on the wire
	expiresAt := now + term + int64(math.Ceil(float64(term)*maxClockDrift))
	RecordLease(now, to.leases[:], Lease{amount, expiresAt})
	return amount, term
}

// accountOf returns the account of a lessee and creates it if it is missing. It returns nil if maxAccounts others
// exist.
func (h *holder) accountOf(now int64, key lesseeKey) *account {
	if existing := h.accounts[key]; existing != nil {
		return existing
	}
	h.expireAccounts(now)
	if len(h.accounts) >= maxAccounts {
		return nil
	}
	added := &account{}
	h.accounts[key] = added
	return added
}

// expireAccounts removes the accounts of processes that have neither a recent request nor an unexpired lease.
func (h *holder) expireAccounts(now int64) {
	maps.DeleteFunc(h.accounts, func(_ lesseeKey, a *account) bool {
		return !a.hasRecentRequest(now) && Outstanding(now, a.leases[:]) == 0
	})
}

// fitGrant chooses the best source for a grant of a fair amount. It returns the term (us) that the source allows, at
// most lifetime. The returned amount is the amount of the source minus others, the sum of the leases of the other
// lessees. It is at most fair. Sources that do not last for minLeaseTerm are skipped. The first remaining source is
// usually the current lease. A later one is chosen only if it allows more than shorterLeaseFactor times the amount of
// the source chosen before. The term is 0 if no source lasts for minLeaseTerm.
func fitGrant(now int64, fair, others float64, sources []Lease, lifetime int64) (amount float64, term int64) {
	for _, source := range sources {
		untilExpiry := int64(float64(source.ExpiresAt-now) / (1 + maxClockDrift))
		fittingTerm := min(lifetime, untilExpiry) / TermUnit * TermUnit
		if fittingTerm < minLeaseTerm {
			continue
		}
		fittingAmount := max(min(fair, source.Amount-others), 0)
		if term == 0 || fittingAmount > amount*shorterLeaseFactor {
			amount = fittingAmount
			term = fittingTerm
		}
	}
	return amount, term
}

// outstandingToOthers returns an upper bound on the amount that all lessees except one may have in use together.
func (h *holder) outstandingToOthers(now int64, key lesseeKey) (sum float64) {
	for other, a := range h.accounts {
		if other != key {
			sum += Outstanding(now, a.leases[:])
		}
	}
	return sum
}

// computeFairShares divides a capacity by weighted max-min fairness. If the capacity covers the total demand, each
// lessee gets its demand and a part of the surplus. Otherwise each lessee gets at most fairShare per unit of its
// weight. fairShare is then the largest share that the capacity allows.
func (h *holder) computeFairShares(now int64, capacity float64) {
	if h.sharesComputedAt != 0 && now-h.sharesComputedAt < fairShareInterval {
		return
	}
	h.sharesComputedAt = now
	var active []*account
	for _, a := range h.accounts {
		if a.hasRecentRequest(now) {
			active = append(active, a)
		}
	}
	slices.SortFunc(active, byDemandPerRouter)
	wanted, weights := 0.0, 0.0
	for _, a := range active {
		wanted += a.demand.amount
		weights += float64(a.demand.weight)
	}
	h.fairShare = capacity
	h.surplusShare = 0
	if wanted <= capacity {
		h.surplusShare = (capacity - wanted) / max(weights, 1)
		return
	}
	remaining := capacity
	for _, a := range active { // in ascending order, so that the unused share of small demands goes to larger ones
		share := remaining / weights
		if a.demand.amount >= share*float64(a.demand.weight) {
			h.fairShare = share
			return
		}
		remaining -= a.demand.amount
		weights -= float64(a.demand.weight)
	}
}

// byDemandPerRouter compares lessees by their demand per router (unit of weight), without a division.
func byDemandPerRouter(a, b *account) int {
	return cmp.Compare(a.demand.amount*float64(b.demand.weight), b.demand.amount*float64(a.demand.weight))
}
