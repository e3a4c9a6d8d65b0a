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
	fairShareLifetime = 100_000   // of a fair share that was computed
)

// shorterLeaseFactor is how many times as much an older lease must bear to be granted of in place of the present one: what it bears ends sooner.
const shorterLeaseFactor = 4.0 / 3

// maxAccounts bounds the processes that a holder keeps account of: several times the ranks of the largest group below the fleet's children.
const maxAccounts = 4096

// maxLeases of one lessee may be out at once: at no level does a lease last longer than seven of the intervals in which it is renewed. Beyond that two count as one
// that is no less than either, which ends only when no more are granted.
const maxLeases = 8

// lesseeKey names a process: one that restarts may still have out what it granted before.
type lesseeKey struct {
	rank        int
	incarnation uint32
}

// account is what a holder knows of a lessee.
type account struct {
	demand   float64
	weight   int // how many routers are below it
	demandAt int64
	leases   [maxLeases]allotment // that may still be in use
}

// outstanding is the most that a lessee may have in use from now on.
func (a *account) outstanding(now int64) (most float64) {
	for _, l := range a.leases {
		if now < l.expiresAt {
			most = max(most, l.amount)
		}
	}
	return most
}

// record books a lease in place of one that has ended. Where none has, two become one that is no less than either.
func (a *account) record(now int64, l allotment) {
	oldest := &a.leases[0]
	for i := range a.leases {
		if a.leases[i].expiresAt < oldest.expiresAt {
			oldest = &a.leases[i]
		}
	}
	if now < oldest.expiresAt {
		l = allotment{max(l.amount, oldest.amount), max(l.expiresAt, oldest.expiresAt)}
	}
	*oldest = l
}

// holder grants leases to the members of one group, or to the holders of the groups in it.
type holder struct {
	accounts         map[lesseeKey]*account
	sharesComputedAt int64
	fairShare        float64 // for each router below a lessee, that none gets more than
	surplusShare     float64 // for each router below, where there is more than all want
}

func newHolder() *holder { return &holder{accounts: map[lesseeKey]*account{}} }

// demand is what lessees want together.
func (h *holder) demand(now int64) (sum float64) {
	for _, a := range h.accounts {
		if now-a.demandAt < demandLifetime {
			sum += a.demand
		}
	}
	return sum
}

// weight is how many routers lessees ask for together; 0: nobody has asked lately.
func (h *holder) weight(now int64) (sum int) {
	for _, a := range h.accounts {
		if now-a.demandAt < demandLifetime {
			sum += a.weight
		}
	}
	return sum
}

func (h *holder) hasDemand(now int64) bool { return h.weight(now) > 0 }

// expire forgets processes that ask no more and have nothing out.
func (h *holder) expire(now int64) {
	maps.DeleteFunc(h.accounts, func(_ lesseeKey, a *account) bool { return now-a.demandAt >= demandLifetime && a.outstanding(now) == 0 })
}

// computeFairShares computes the fair shares of a capacity: as much for each lessee as it wants, and where that is too much, none gets more for each router below it than
// a share that the capacity just bears (max-min fairness, weighted).
func (h *holder) computeFairShares(now int64, capacity float64) {
	if h.sharesComputedAt != 0 && now-h.sharesComputedAt < fairShareLifetime {
		return
	}
	h.sharesComputedAt = now
	var asking []*account
	wanted, weights := 0.0, 0.0
	for _, a := range h.accounts {
		if now-a.demandAt < demandLifetime {
			asking = append(asking, a)
		}
	}
	slices.SortFunc(asking, func(a, b *account) int { return cmp.Compare(a.demand*float64(b.weight), b.demand*float64(a.weight)) })
	for _, a := range asking {
		wanted += a.demand
		weights += float64(a.weight)
	}
	h.fairShare, h.surplusShare = capacity, 0
	if wanted <= capacity {
		h.surplusShare = (capacity - wanted) / max(weights, 1)
		return
	}
	left := capacity
	for _, a := range asking {
		part := left / weights
		if a.demand >= part*float64(a.weight) {
			h.fairShare = part
			return
		}
		left -= a.demand
		weights -= float64(a.weight)
	}
}

// grant gives a lessee a lease of one of the capacities, the first of which is the present one. It ends before that one does, and lasts for the lifetime at
// most. Term 0: there is none to be had.
func (h *holder) grant(now int64, key lesseeKey, want float64, weight int, capacities []allotment, lifetime int64) (amount float64, term int64) {
	a := h.accounts[key]
	if a == nil {
		h.expire(now)
		if len(h.accounts) >= maxAccounts {
			return 0, 0
		}
		a = &account{}
		h.accounts[key] = a
	}
	a.demand, a.weight, a.demandAt = want, weight, now
	h.computeFairShares(now, capacities[0].amount)
	fair := min(want, h.fairShare*float64(weight)) + h.surplusShare*float64(weight)
	others := h.outstandingToOthers(now, key)
	for _, capacity := range capacities {
		lasts := min(lifetime, int64(float64(capacity.expiresAt-now)/(1+maxClockDrift))) / TermUnit * TermUnit
		if lasts < minTerm {
			continue
		}
		if fits := max(min(fair, capacity.amount-others), 0); term == 0 || fits > amount*shorterLeaseFactor {
			amount, term = fits, lasts
		}
	}
	if term == 0 {
		return 0, 0
	}
	amount = math.Floor(amount/AmountUnit) * AmountUnit // as it goes over the wire
	a.record(now, allotment{amount, now + term + int64(math.Ceil(float64(term)*maxClockDrift))})
	return amount, term
}

// outstandingToOthers is the most that all other lessees may have in use.
func (h *holder) outstandingToOthers(now int64, key lesseeKey) (sum float64) {
	for other, its := range h.accounts {
		if other != key {
			sum += its.outstanding(now)
		}
	}
	return sum
}
