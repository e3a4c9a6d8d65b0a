package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Times in microseconds.
const (
	demandLifetime    = 4_000_000 // of what a lessee has asked for
	fairShareLifetime = 100_000   // of fair shares that were computed
)

const (
	// shorterLeaseFactor is how many times as much an older lease must yield for a grant out of it to be preferred to
	// one out of the present lease, which lasts longer.
	shorterLeaseFactor = 4.0 / 3

	// maxAccounts bounds the processes that a holder keeps account of: several times the ranks of the largest group
	// below the fleet's children.
	maxAccounts = 4096

	// maxLeases of one lessee may be out at once: at no level does a lease last longer than seven of the intervals in
	// which it is renewed. Beyond that Record merges two.
	maxLeases = 8
)

// lesseeKey names a process: after a restart what the process before it had on lease may still be in use.
type lesseeKey struct {
	rank        int
	incarnation uint32
}

// demand is an amount that a lessee wants, for so many routers.
type demand struct {
	amount float64
	weight int
}

// account is what a holder knows of a lessee.
type account struct {
	demand   demand
	demandAt int64                // when it last asked
	leases   [maxLeases]Allotment // by the holder's clock; those that have not expired may be in use
}

// isAsking reports whether the lessee has asked of late.
func (a *account) isAsking(now int64) bool { return now-a.demandAt < demandLifetime }

// holder grants leases to the members of one group, or to the holders of the groups in it.
type holder struct {
	accounts map[lesseeKey]*account

	// Fair shares, for each router below a lessee.
	sharesComputedAt int64
	fairShare        float64 // none gets more, where there is too little for all
	surplusShare     float64 // what each gets besides, where there is more than all want
}

func newHolder() *holder { return &holder{accounts: map[lesseeKey]*account{}} }

// demand is what all lessees want together; its weight is 0 if none has asked of late.
func (h *holder) demand(now int64) (sum demand) {
	for _, a := range h.accounts {
		if a.isAsking(now) {
			sum.amount += a.demand.amount
			sum.weight += a.demand.weight
		}
	}
	return sum
}

// hasDemand reports whether any lessee has asked of late.
func (h *holder) hasDemand(now int64) bool { return h.demand(now).weight > 0 }

// grant gives a lessee a lease out of one of the capacities, the first of which is the present one. The lease expires
// before that capacity does and after lifetime at the latest. A term of 0 means that there is none to be had.
func (h *holder) grant(now int64, key lesseeKey, wanted demand, capacities []Allotment, lifetime int64) (
	amount float64, term int64) {
	lessee := h.accountOf(now, key)
	if lessee == nil {
		return 0, 0
	}
	lessee.demand = wanted
	lessee.demandAt = now
	h.computeFairShares(now, capacities[0].Amount)
	weight := float64(wanted.weight)
	fair := min(wanted.amount, h.fairShare*weight) + h.surplusShare*weight
	amount, term = fitGrant(now, fair, h.outstandingToOthers(now, key), capacities, lifetime)
	if term == 0 {
		return 0, 0
	}
	amount = math.Floor(amount/AmountUnit) * AmountUnit // as it goes over the wire
	expiresAt := now + term + int64(math.Ceil(float64(term)*maxClockDrift))
	Record(now, lessee.leases[:], Allotment{amount, expiresAt})
	return amount, term
}

// accountOf returns a lessee's account; nil if too many others are kept.
func (h *holder) accountOf(now int64, key lesseeKey) *account {
	if known := h.accounts[key]; known != nil {
		return known
	}
	h.expireAccounts(now)
	if len(h.accounts) >= maxAccounts {
		return nil
	}
	added := &account{}
	h.accounts[key] = added
	return added
}

// expireAccounts removes the accounts of processes that ask no more and have nothing out.
func (h *holder) expireAccounts(now int64) {
	maps.DeleteFunc(h.accounts, func(_ lesseeKey, a *account) bool {
		return !a.isAsking(now) && Outstanding(now, a.leases[:]) == 0
	})
}

// fitGrant fits a grant of a fair amount into the best of the capacities, each of which also has to bear what
// others have out. It prefers an earlier capacity, which lasts longer, unless a later one yields shorterLeaseFactor
// times as much.
func fitGrant(now int64, fair, others float64, capacities []Allotment, lifetime int64) (amount float64, term int64) {
	for _, capacity := range capacities {
		untilExpiry := int64(float64(capacity.ExpiresAt-now) / (1 + maxClockDrift))
		fittingTerm := min(lifetime, untilExpiry) / TermUnit * TermUnit
		if fittingTerm < minLeaseTerm {
			continue
		}
		fittingAmount := max(min(fair, capacity.Amount-others), 0)
		if term == 0 || fittingAmount > amount*shorterLeaseFactor {
			amount = fittingAmount
			term = fittingTerm
		}
	}
	return amount, term
}

// outstandingToOthers is the most that all lessees but one may have in use.
func (h *holder) outstandingToOthers(now int64, key lesseeKey) (sum float64) {
	for other, a := range h.accounts {
		if other != key {
			sum += Outstanding(now, a.leases[:])
		}
	}
	return sum
}

// computeFairShares divides a capacity by weighted max-min fairness: each lessee gets what it wants or, where that
// is too much, none gets more for each router below it than a share that the capacity just bears.
func (h *holder) computeFairShares(now int64, capacity float64) {
	if h.sharesComputedAt != 0 && now-h.sharesComputedAt < fairShareLifetime {
		return
	}
	h.sharesComputedAt = now
	var asking []*account
	for _, a := range h.accounts {
		if a.isAsking(now) {
			asking = append(asking, a)
		}
	}
	slices.SortFunc(asking, byDemandPerRouter)
	wanted, weights := 0.0, 0.0
	for _, a := range asking {
		wanted += a.demand.amount
		weights += float64(a.demand.weight)
	}
	h.fairShare = capacity
	h.surplusShare = 0
	if wanted <= capacity {
		h.surplusShare = (capacity - wanted) / max(weights, 1)
		return
	}
	left := capacity
	for _, a := range asking { // the modest first: what they leave is shared by the others
		share := left / weights
		if a.demand.amount >= share*float64(a.demand.weight) {
			h.fairShare = share
			return
		}
		left -= a.demand.amount
		weights -= float64(a.demand.weight)
	}
}

// byDemandPerRouter orders lessees by what they want for each router, without a division.
func byDemandPerRouter(a, b *account) int {
	return cmp.Compare(a.demand.amount*float64(b.demand.weight), b.demand.amount*float64(a.demand.weight))
}
