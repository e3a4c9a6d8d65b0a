package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Times in microseconds.
const (
	demandLifetime = 4_000_000 // of what a lessee has asked for
	shareLifetime  = 100_000   // of a fair share that was computed
)

// worthShorter is how many times as much an older lease must bear to be granted of in place of the present one: what it bears ends sooner.
const worthShorter = 4.0 / 3

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
	want     float64
	weight   int // how many routers are below it
	wantedAt int64
	leases   [maxLeases]allotment // that may still be in use
}

// out is the most that a lessee may have in use from now on.
func (a *account) out(now int64) (most float64) {
	for _, l := range a.leases {
		if now < l.until {
			most = max(most, l.amount)
		}
	}
	return most
}

// add books a lease in place of one that has ended. Where none has, two become one that is no less than either.
func (a *account) add(now int64, l allotment) {
	oldest := &a.leases[0]
	for i := range a.leases {
		if a.leases[i].until < oldest.until {
			oldest = &a.leases[i]
		}
	}
	if now < oldest.until {
		l = allotment{max(l.amount, oldest.amount), max(l.until, oldest.until)}
	}
	*oldest = l
}

// holder grants leases to the members of one group, or to the holders of the groups in it.
type holder struct {
	accounts   map[lesseeKey]*account
	computedAt int64
	share      float64 // for each router below a lessee, that none gets more than
	surplus    float64 // for each router below, where there is more than all want
}

func newHolder() *holder { return &holder{accounts: map[lesseeKey]*account{}} }

// demand is what lessees want together.
func (h *holder) demand(now int64) (sum float64) {
	for _, a := range h.accounts {
		if now-a.wantedAt < demandLifetime {
			sum += a.want
		}
	}
	return sum
}

// weight is how many routers lessees ask for together; 0: nobody has asked lately.
func (h *holder) weight(now int64) (sum int) {
	for _, a := range h.accounts {
		if now-a.wantedAt < demandLifetime {
			sum += a.weight
		}
	}
	return sum
}

func (h *holder) active(now int64) bool { return h.weight(now) > 0 }

// expire forgets processes that ask no more and have nothing out.
func (h *holder) expire(now int64) {
	maps.DeleteFunc(h.accounts, func(_ lesseeKey, a *account) bool { return now-a.wantedAt >= demandLifetime && a.out(now) == 0 })
}

// divide computes the fair shares of a capacity: as much for each lessee as it wants, and where that is too much, none gets more for each router below it than
// a share that the capacity just bears (max-min fairness, weighted).
func (h *holder) divide(now int64, capacity float64) {
	if h.computedAt != 0 && now-h.computedAt < shareLifetime {
		return
	}
	h.computedAt = now
	var asking []*account
	wanted, weights := 0.0, 0.0
	for _, a := range h.accounts {
		if now-a.wantedAt < demandLifetime {
			asking = append(asking, a)
		}
	}
	slices.SortFunc(asking, func(a, b *account) int { return cmp.Compare(a.want*float64(b.weight), b.want*float64(a.weight)) })
	for _, a := range asking {
		wanted += a.want
		weights += float64(a.weight)
	}
	h.share, h.surplus = capacity, 0
	if wanted <= capacity {
		h.surplus = (capacity - wanted) / max(weights, 1)
		return
	}
	left := capacity
	for _, a := range asking {
		part := left / weights
		if a.want >= part*float64(a.weight) {
			h.share = part
			return
		}
		left -= a.want
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
	a.want, a.weight, a.wantedAt = want, weight, now
	h.divide(now, capacities[0].amount)
	fair := min(want, h.share*float64(weight)) + h.surplus*float64(weight)
	others := h.outOfOthers(now, key)
	for _, capacity := range capacities {
		lasts := min(lifetime, int64(float64(capacity.until-now)/(1+drift))) / TermUnit * TermUnit
		if lasts < minTerm {
			continue
		}
		if fits := max(min(fair, capacity.amount-others), 0); term == 0 || fits > amount*worthShorter {
			amount, term = fits, lasts
		}
	}
	if term == 0 {
		return 0, 0
	}
	amount = math.Floor(amount/AmountUnit) * AmountUnit // as it goes over the wire
	a.add(now, allotment{amount, now + term + int64(math.Ceil(float64(term)*drift))})
	return amount, term
}

// outOfOthers is the most that all other lessees may have in use.
func (h *holder) outOfOthers(now int64, key lesseeKey) (sum float64) {
	for other, its := range h.accounts {
		if other != key {
			sum += its.out(now)
		}
	}
	return sum
}
